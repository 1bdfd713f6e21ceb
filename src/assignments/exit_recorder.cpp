#include "assignments/exit_recorder.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::assignments {

namespace {

using state::CommitStatus;

void finish_job(const ControllerState& w, core::JobId id, const jobs::JobRecord& job, PlannedTransaction& e) {
  const auto key = state::keys::job(w.names.jobs.name(id));
  e.require(key, job.revision);
  e.writes.push_back({key, jobs::to_json(finished(job), w.names)});
  e.log.push_back(fmt::format("job done id={}", w.names.jobs.name(id)));
}

// Everything recorded of the partition is within the limits on values.
bool records_fit(const ControllerState& w, core::PartitionId partition) {
  const AssignmentWriter writer(w, partition);
  const auto shards = w.cache.shards(partition);
  return !writer.tombstones_too_long() &&
         std::all_of(shards.begin(), shards.end(), [&](core::ShardId id) { return writer.fits(id); });
}

PlannedTransaction record_exits_of(const ControllerState& w, core::PartitionId partition) {
  PlannedTransaction e;
  // Some changes are left to the jobs that are done with this.
  const auto max_writes = w.settings.state_limits.max_writes();
  AssignmentWriter writer(w, partition, max_writes - max_writes / 4);
  std::set<core::JobId> marked;
  for (const auto& f : w.fleet.observed_exits)
    if (f.partition == partition && writer.apply_tombstones(f) && f.done)
      marked.insert(f.job);  // the rest in the next flush
  if (writer.touched() > 0) writer.finish(e);
  // Jobs that are complete with this, and those that became so without anyone having said it.
  w.cache.each_run([&](core::JobId id, core::PartitionId p, const jobs::JobAssignments& run) {
    if (p == partition && run.done.size() > 0) marked.insert(id);
  });
  for (const auto id : marked) {
    const auto* job = w.cache.job(id);
    if (!job || job->status != jobs::Status::live || job->spec.standing()) continue;
    if (writer.done(id) < job->spec.tasks) continue;
    if (e.writes.size() >= max_writes || e.compares.size() + 2 > w.settings.state_limits.max_compares())
      break;
    e.require(state::keys::partition(w.names.partitions.name(partition)), w.fencing_token(partition));
    finish_job(w, id, *job, e);
  }
  return e;
}

// What was written under larger limits is brought within those that hold now or may hold from any moment on.
PlannedTransaction shrink_partition(const ControllerState& w, core::PartitionId partition) {
  PlannedTransaction e;
  AssignmentWriter writer(w, partition);
  if (!writer.shrink()) return e;
  writer.finish(e);
  e.log.push_back(
      fmt::format("records shrunk part={} changes={}", w.names.partitions.name(partition), e.writes.size()));
  return e;
}

}  // namespace

asio::awaitable<void> ExitRecorder::flush() {
  std::vector<PlannedTransaction> edits;
  state_.with([&](ControllerState& w) {
    if (!w.loaded) return;  // while it is read anew, nothing is known to be ours, and facts would be dropped
    w.drop_recorded_exits();
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p)
      if (w.leads(core::PartitionId{p})) {
        auto shrunk = records_fit(w, core::PartitionId{p}) ? PlannedTransaction{}
                                                           : shrink_partition(w, core::PartitionId{p});
        edits.push_back(shrunk.writes.empty() ? record_exits_of(w, core::PartitionId{p}) : std::move(shrunk));
      }
  });
  for (auto& e : edits) {
    if (e.writes.empty()) continue;
    if (!store_.spend(static_cast<int>(e.writes.size()), state::KeyValueStore::For::records))
      co_return;  // the rest in the next flush
    state::Transaction txn{e.compares, std::move(e.writes)};
    const auto result = co_await follower_.commit(std::move(txn));
    if (result.outcome == CommitStatus::done) {
      for (const auto& line : e.log) spdlog::info("{}", line);
      continue;
    }
    // Facts stay, so the next flush tries again on what the next sync shows.
    follower_.wake();
    if (result.outcome != CommitStatus::conflict) co_return;
  }
}

}  // namespace finchrun::assignments
