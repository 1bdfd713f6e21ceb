#include "assignments/exit_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace finchrun::assignments {

namespace {

// Of the writes of a transaction, one in so many is left to the jobs that are complete with it.
constexpr std::size_t kShareForJobs = 4;
// The fencing token and the job's record.
constexpr std::size_t kComparesPerJob = 2;

// Everything recorded of the partition is within the limits on values.
bool records_fit(const ControllerState& state, core::PartitionId partition) {
  const AssignmentWriter writer(state, partition);
  const auto shards = state.cache.shards(partition);
  return !writer.tombstones_too_long() &&
         std::all_of(shards.begin(), shards.end(), [&](core::ShardId shard) { return writer.fits(shard); });
}

// Jobs of which the writer records a done task, or of which the records say that some are done already.
std::set<core::JobId> record_exits(const ControllerState& state, core::PartitionId partition,
                                   AssignmentWriter& writer) {
  std::set<core::JobId> with_done_tasks;
  for (const auto& exit : state.fleet.observed_exits)
    if (exit.partition == partition && writer.record_exit(exit) && exit.done)
      with_done_tasks.insert(exit.job);
  state.cache.for_each_assignments([&](core::JobId job, core::PartitionId held_by, const jobs::JobAssignments& held) {
    if (held_by == partition && held.done.size() > 0) with_done_tasks.insert(job);
  });
  return with_done_tasks;
}

// A live job, of which no task is left to do. A service never completes.
bool completes(const ControllerState& state, const AssignmentWriter& writer, core::JobId id) {
  const auto* job = state.cache.job(id);
  return job && job->status == jobs::Status::live && !job->spec.standing() &&
         writer.done(id) >= job->spec.tasks;
}

void finish_job(const ControllerState& state, core::JobId id, PlannedTransaction& transaction) {
  const auto& job = *state.cache.job(id);
  const auto& name = state.names.jobs.name(id);
  const auto key = state::keys::job(name);
  transaction.require(key, job.revision);
  transaction.writes.push_back({key, jobs::to_json(finished(job), state.names)});
  transaction.log.push_back(fmt::format("job done job={}", name));
}

}  // namespace

jobs::JobRecord finished(const jobs::JobRecord& job) {
  jobs::JobRecord record;
  record.status = jobs::Status::done;
  record.spec = job.spec;
  return record;
}

PlannedTransaction plan_shrink(const ControllerState& state, core::PartitionId partition) {
  PlannedTransaction transaction;
  if (records_fit(state, partition)) return transaction;
  AssignmentWriter writer(state, partition);
  if (!writer.shrink()) return transaction;
  writer.finish(transaction);
  transaction.log.push_back(fmt::format("records shrunk partition={} writes={}",
                                        state.names.partitions.name(partition), transaction.writes.size()));
  return transaction;
}

PlannedTransaction plan_exits(const ControllerState& state, core::PartitionId partition) {
  PlannedTransaction transaction;
  const auto& limits = state.settings.state_limits;
  AssignmentWriter writer(state, partition, limits.max_writes() - limits.max_writes() / kShareForJobs);
  const auto jobs = record_exits(state, partition, writer);
  if (writer.touched() > 0) writer.finish(transaction);
  for (const auto job : jobs) {
    if (!completes(state, writer, job)) continue;
    if (transaction.writes.size() >= limits.max_writes()) break;
    if (transaction.compares.size() + kComparesPerJob > limits.max_compares()) break;
    transaction.require(state::keys::leadership(state.names.partitions.name(partition)),
                        state.fencing_token(partition));
    finish_job(state, job, transaction);
  }
  return transaction;
}

PlannedTransaction plan_next(const ControllerState& state, core::PartitionId partition) {
  auto shrink = plan_shrink(state, partition);
  return shrink.writes.empty() ? plan_exits(state, partition) : std::move(shrink);
}

}  // namespace finchrun::assignments
