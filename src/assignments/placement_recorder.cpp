#include "assignments/placement_recorder.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::assignments {

namespace {

namespace json = boost::json;
using state::CommitStatus;

// As many of the placements as fit into one transaction; at least one unless the partition is not ours any
// more.
PlannedTransaction plan_record(ControllerState& w, const std::vector<PlannedPlacement>& all, std::size_t& at,
                               std::uint64_t attempt) {
  PlannedTransaction e;
  const auto partition = all[at].partition;
  // Under another term, though it be ours again, others may have written what this was decided from.
  if (!w.leads(partition) || w.fencing_token(partition) != all[at].fencing_token) {
    ++at;
    return e;
  }
  AssignmentWriter writer(w, partition);
  // The room that was counted on: its end must be recorded with what takes its place. What does not fit into
  // this transaction has ended all the same.
  for (const auto& f : w.fleet.observed_exits)
    if (f.partition == partition) writer.apply_tombstones(f);
  const auto max_compares = w.settings.state_limits.max_compares();
  const auto& partition_name = w.names.partitions.name(partition);
  for (; at < all.size() && all[at].partition == partition; ++at) {
    const auto& p = all[at];
    const auto* job = w.cache.job(p.job);
    // Its range may have moved since.
    if (!job || job->revision != p.job_revision) continue;
    // The partition's term and fence, each open shard, and this job and its team.
    if (e.compares.size() + writer.touched() + 5 > max_compares) break;
    std::vector<jobs::TaskAssignment> assignments;
    for (const auto& [task, machine] : p.tasks) {
      const auto* m = w.fleet.find(machine);
      if (m && !m->gone && !m->terminating)
        assignments.push_back({task, attempt, machine, m->agent_incarnation});
    }
    if (assignments.size() != p.tasks.size()) continue;
    if (!writer.add(p.job, assignments)) {
      if (!e.starts.empty()) break;  // in the next transaction
      continue;                      // in another round, when less has to be written with it
    }
    const auto& job_name = w.names.jobs.name(p.job);
    // Nothing starts of a job that is over, or whose range has moved.
    e.require(state::keys::job(job_name), job->revision);
    // The partition's allowance is what we think it is: it is lowered, by giving, only through this key.
    e.require(state::keys::team(w.names.teams.name(job->spec.team)), w.cache.team(job->spec.team).revision);
    for (const auto& assignment : assignments) {
      e.starts[assignment.machine].push_back({p.job, assignment.task, attempt});
      const auto* m = w.fleet.find(assignment.machine);
      e.log.push_back(fmt::format(
          "place job={} task={} try={} machine={} part={} term={} weight={:.3f} image={} cached={}", job_name,
          assignment.task, attempt, w.names.machines.name(assignment.machine), partition_name,
          w.fencing_token(partition), p.weight, w.names.images.name(job->spec.image),
          m && m->holds(job->spec.image)));
    }
  }
  if (writer.touched() > 0) writer.finish(e);
  return e;
}

}  // namespace

asio::awaitable<std::optional<core::TimePoint>> PlacementRecorder::record(
    std::vector<PlannedPlacement> placements, std::uint64_t attempt) {
  constexpr double kRetryAfterS = 0.4;
  std::optional<core::TimePoint> retry_at;
  // The earliest of the moments counts.
  const auto retry = [&] {
    if (!retry_at) retry_at = core::Steady::now() + core::secs(kRetryAfterS);
  };
  for (std::size_t at = 0; at < placements.size();) {
    PlannedTransaction e =
        state_.with([&](ControllerState& w) { return plan_record(w, placements, at, attempt); });
    if (e.writes.empty()) continue;
    if (!store_.spend(static_cast<int>(e.writes.size()), state::KeyValueStore::For::records)) {
      retry();
      co_return retry_at;
    }
    // Named: GCC 12 destroys aggregates twice that are temporaries of a co_await.
    state::Transaction txn{e.compares, std::move(e.writes)};
    const auto result = co_await follower_.commit(std::move(txn));
    if (result.outcome == CommitStatus::done) {
      for (const auto& line : e.log) spdlog::info("{}", line);
      send_starts(e);
      continue;
    }
    spdlog::info("placing refused outcome={} failed={}", static_cast<int>(result.outcome),
                 result.failed.empty() ? "-" : result.failed.front());
    // Try again as soon as the next sync has shown what changed.
    retry();
    follower_.wake();
    if (result.outcome != CommitStatus::unknown) continue;
    require_new_fences(e.compares);
    co_return retry_at;
  }
  co_return retry_at;
}

void PlacementRecorder::require_new_fences(const std::vector<state::Compare>& compares) {
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const auto key = state::keys::fence(w.names.partitions.name(core::PartitionId{p}));
      if (std::any_of(compares.begin(), compares.end(), [&](const auto& c) { return c.key == key; }))
        w.fence_due[p] = 1;
    }
  });
}

asio::awaitable<void> PlacementRecorder::move_fences() {
  struct Raise {
    std::uint32_t partition;
    state::Transaction txn;
  };
  std::vector<Raise> raises;
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const core::PartitionId partition{p};
      if (!w.fence_due[p]) continue;
      if (!w.leads(partition)) {
        w.fence_due[p] = 0;  // another term: what was written under this one fails by itself
        continue;
      }
      const auto& name = w.names.partitions.name(partition);
      Raise r{p, {}};
      r.txn.compares.push_back({state::keys::partition(name), w.fencing_token(partition)});
      r.txn.writes.push_back({state::keys::fence(name), json::value(w.cache.newest())});
      raises.push_back(std::move(r));
    }
  });
  for (auto& r : raises) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    const auto result = co_await follower_.commit(std::move(r.txn));
    if (result.outcome != CommitStatus::done) continue;
    state_.with([&](ControllerState& w) {
      w.fence_due[r.partition] = 0;
      w.fenced_at[r.partition] = result.revision;
    });
    follower_.wake();
  }
}

void PlacementRecorder::send_starts(const PlannedTransaction& e) {
  for (const auto& [machine, starts] : e.starts) {
    std::vector<wire::Command> commands;
    state_.with([&](ControllerState& w) {
      for (const auto& [job, task, attempt] : starts)
        commands.push_back({wire::Command::Kind::start, w.names.jobs.name(job), task, attempt, 0});
    });
    runtime_.spawn(commands_.send(machine, std::move(commands), starts));
  }
}

}  // namespace finchrun::assignments
