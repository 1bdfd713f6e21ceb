#include "scheduling/rebalancer.hpp"

#include <spdlog/spdlog.h>

#include "scheduling/cluster_load.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;
using state::CommitStatus;

constexpr int kMaxJobsExamined = 8;     // per call
constexpr std::size_t kMaxRanges = 48;  // jobs with more ranges are not split further
constexpr double kMinTasksToMove = 1;   // for jobs that may be split

struct Destination {
  core::PartitionId partition;
  std::size_t tasks = 0;  // number of tasks to move
};

// Returns true if all tasks of the job run in one partition, so that they can only move together.
bool must_move_whole(const jobs::JobSpec& spec) { return spec.is_gang() || spec.single_zone; }

// Returns the number of additional tasks that the partition's zone may run, by the ranges in that zone.
// Ranges include all running tasks: a task is only assigned in the partition of its range, and moved tasks
// have no assignment.
std::uint32_t zone_headroom(const ControllerState& state, const jobs::JobRecord& job,
                            core::PartitionId partition) {
  std::uint32_t in_zone = 0;
  for (const auto& range : job.ranges)
    if (state.partitions.zone(range.partition) == state.partitions.zone(partition))
      in_zone += range.to - range.from;
  const auto zone_limit = job.spec.max_tasks_per_zone();
  return zone_limit - std::min(zone_limit, in_zone);
}

// Returns the partition with the most free capacity for the waiting tasks.
std::optional<Destination> best_destination(ControllerState& state, const jobs::JobRecord& job,
                                            const BacklogItem& item, core::TimePoint now) {
  const auto waiting = static_cast<double>(item.demand.tasks.size());
  const double min_tasks = must_move_whole(job.spec) ? waiting : kMinTasksToMove;
  std::optional<Destination> best;
  double max_free_after_backlog = 0;
  for (const auto& capacity : partition_capacities(state, job.spec, now)) {
    double free_after_backlog = capacity.free - capacity.backlog;
    // A move within the zone does not affect `spread`.
    if (job.spec.spread && state.partitions.zone(capacity.partition) != state.partitions.zone(item.partition))
      free_after_backlog =
          std::min(free_after_backlog, static_cast<double>(zone_headroom(state, job, capacity.partition)));
    if (capacity.partition == item.partition || !capacity.allowed || free_after_backlog < min_tasks ||
        free_after_backlog <= max_free_after_backlog)
      continue;
    max_free_after_backlog = free_after_backlog;
    best = {capacity.partition, static_cast<std::size_t>(std::min(free_after_backlog, waiting))};
  }
  return best;
}

// Returns true if the team's quota in all partitions allows the demand.
bool quota_allows(const ControllerState& state, const sched::Demand& demand,
                  const std::vector<core::Resources>& used_by_team) {
  const auto& team = state.settings.teams[demand.team.index];
  const sched::TeamQuota quota{used_by_team[demand.team.index], team.cpus_max, team.gpus_max};
  return quota.allows(demand.need_to_start());
}

// Returns the job's record, or nullptr if its tasks may not move or a move cannot help.
const jobs::JobRecord* movable_job(const ControllerState& state, const BacklogItem& item,
                                   const std::vector<core::Resources>& used_by_team) {
  const auto& demand = item.demand;
  const auto* job = state.cache.job(demand.job);
  if (!state.may_decide_for(item.partition) || !job || job->status != jobs::Status::live) return nullptr;
  if (job->ranges.size() > kMaxRanges || !quota_allows(state, demand, used_by_team)) return nullptr;
  if (must_move_whole(job->spec) && state.cache.placed_tasks(demand.job) > 0) return nullptr;
  return job;
}

// Returns nullopt if the job's record would exceed the maximum value size of the key-value store.
std::optional<RangeMove> plan_move(const ControllerState& state, const jobs::JobRecord& job,
                                   const BacklogItem& item, const Destination& destination) {
  const auto& waiting = item.demand.tasks;
  jobs::JobRecord next = job;
  if (must_move_whole(job.spec)) {
    next.ranges = {{0, job.spec.tasks, destination.partition}};
  } else {
    // Moves the last tasks, since the first ones start next in this partition.
    const std::set<std::uint32_t> moved(waiting.end() - static_cast<std::ptrdiff_t>(destination.tasks),
                                        waiting.end());
    next.ranges = move_tasks(job.ranges, item.partition, destination.partition, moved);
  }
  auto value = jobs::to_json(next, state.names);
  if (boost::json::serialize(value).size() > state.settings.store_limits.max_value_bytes())
    return std::nullopt;

  const auto& job_name = state.names.jobs.name(item.demand.job);
  const auto& from = state.names.partitions.name(item.partition);
  RangeMove move;
  auto& compares = move.transaction.compares;
  compares.push_back({state::keys::leadership(from), state.fencing_token(item.partition)});
  compares.push_back({state::keys::job(job_name), job.revision});
  // In-flight placements of this controller compare the job's old record and fail after the move.
  compares.push_back({state::keys::fence(from), state.cache.fence(item.partition)});
  move.transaction.writes.push_back({state::keys::job(job_name), std::move(value)});
  move.log_line = fmt::format("tasks moved job={} tasks={} from={} to={}", job_name, destination.tasks, from,
                              state.names.partitions.name(destination.partition));
  return move;
}

}  // namespace

std::vector<jobs::TaskRange> move_tasks(const std::vector<jobs::TaskRange>& ranges, core::PartitionId from,
                                        core::PartitionId to, const std::set<std::uint32_t>& tasks) {
  std::vector<jobs::TaskRange> result;
  for (const auto& range : ranges) {
    const auto moves = [&](std::uint32_t task) { return range.partition == from && tasks.contains(task); };
    for (auto task = range.from; task < range.to;) {
      auto end = task + 1;
      while (end < range.to && moves(end) == moves(task)) ++end;
      result.push_back({task, end, moves(task) ? to : range.partition});
      task = end;
    }
  }
  return result;
}

std::optional<RangeMove> plan_range_move(ControllerState& state, const Backlog& backlog,
                                         core::TimePoint now) {
  const auto used_by_team = state.used_by_team();
  int examined = 0;
  for (const auto& item : backlog) {
    const auto* job = movable_job(state, item, used_by_team);
    if (!job) continue;
    if (++examined > kMaxJobsExamined) break;
    const auto destination = best_destination(state, *job, item, now);
    if (!destination) continue;
    if (auto move = plan_move(state, *job, item, *destination)) return move;
  }
  return std::nullopt;
}

asio::awaitable<void> Rebalancer::rebalance(const Backlog& backlog) {
  const auto now = core::SteadyClock::now();
  auto move = state_.with([&](ControllerState& state) { return plan_range_move(state, backlog, now); });
  if (!move || !store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return;
  const auto result = co_await fences_.commit(std::move(move->transaction));
  if (result.outcome == CommitStatus::done) spdlog::info("{}", move->log_line);
}

}  // namespace finchrun::scheduling
