#include "scheduling/rebalancer.hpp"

#include <spdlog/spdlog.h>

#include "scheduling/cluster_load.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;
using state::CommitStatus;

constexpr int kMaxJobsExamined = 8;      // in one call
constexpr std::size_t kMaxRanges = 48;   // of a job that is split further
constexpr double kLeastTasksToMove = 1;  // of a job that may be split

struct Destination {
  core::PartitionId partition;
  std::size_t tasks = 0;  // how many should go there
};

// Its tasks run in one partition, so that they can only move together.
bool moves_as_a_whole(const jobs::JobSpec& spec) { return spec.gang() || spec.one_zone; }

// How many tasks of the job that zone may still take, by the ranges of its partitions: a task has no
// assignment but in the partition of its range, and one that moves has none at all, so what the ranges say
// covers what runs.
std::uint32_t room_in_zone(const ControllerState& state, const jobs::JobRecord& job,
                           core::PartitionId partition) {
  std::uint32_t there = 0;
  for (const auto& range : job.ranges)
    if (state.partitions.zone(range.partition) == state.partitions.zone(partition))
      there += range.to - range.from;
  const auto cap = job.spec.zone_cap();
  return cap - std::min(cap, there);
}

// The partition with most room for what waits.
std::optional<Destination> best_destination(ControllerState& state, const jobs::JobRecord& job,
                                            const BacklogItem& item, core::TimePoint now) {
  const auto waiting = static_cast<double>(item.demand.tasks.size());
  const double least = moves_as_a_whole(job.spec) ? waiting : kLeastTasksToMove;
  std::optional<Destination> best;
  double most = 0;
  for (const auto& capacity : partition_capacities(state, job.spec, now)) {
    double spare = capacity.free - capacity.backlog;
    // Within one zone a move changes nothing about `scatter`.
    if (job.spec.spread && state.partitions.zone(capacity.partition) != state.partitions.zone(item.partition))
      spare = std::min(spare, static_cast<double>(room_in_zone(state, job, capacity.partition)));
    if (capacity.partition == item.partition || !capacity.allowed || spare < least || spare <= most) continue;
    most = spare;
    best = {capacity.partition, static_cast<std::size_t>(std::min(spare, waiting))};
  }
  return best;
}

// The team's quota, over all partitions, does not keep the demand from starting: it waits for machines.
bool quota_allows(const ControllerState& state, const sched::Demand& demand,
                  const std::vector<core::Resources>& used_by_team) {
  const auto& team = state.settings.teams[demand.team.index];
  const sched::TeamQuota quota{used_by_team[demand.team.index], team.cpus_max, team.gpus_max};
  return quota.allows(demand.need_at_once());
}

// The record of the item's job, if this controller may move tasks of it and moving them may help.
const jobs::JobRecord* movable_job(const ControllerState& state, const BacklogItem& item,
                                   const std::vector<core::Resources>& used_by_team) {
  const auto& demand = item.demand;
  const auto* job = state.cache.job(demand.job);
  if (!state.leads(item.partition) || !job || job->status != jobs::Status::live) return nullptr;
  if (job->ranges.size() > kMaxRanges || !quota_allows(state, demand, used_by_team)) return nullptr;
  if (moves_as_a_whole(job->spec) && state.cache.placed_tasks(demand.job) > 0) return nullptr;
  return job;
}

// Nothing if the job's record would become too long for one value of the store.
std::optional<RangeMove> move_to(const ControllerState& state, const jobs::JobRecord& job,
                                 const BacklogItem& item, const Destination& destination) {
  const auto& waiting = item.demand.tasks;
  jobs::JobRecord next = job;
  if (moves_as_a_whole(job.spec)) {
    next.ranges = {{0, job.spec.tasks, destination.partition}};
  } else {
    // The last ones: the first are those that would start here next.
    const std::set<std::uint32_t> moved(waiting.end() - static_cast<std::ptrdiff_t>(destination.tasks),
                                        waiting.end());
    next.ranges = move_tasks(job.ranges, item.partition, destination.partition, moved);
  }
  auto value = jobs::to_json(next, state.names);
  if (boost::json::serialize(value).size() > state.settings.state_limits.value_bytes()) return std::nullopt;

  const auto& job_name = state.names.jobs.name(item.demand.job);
  const auto& from = state.names.partitions.name(item.partition);
  RangeMove move;
  auto& compares = move.transaction.compares;
  compares.push_back({state::keys::leadership(from), state.fencing_token(item.partition)});
  compares.push_back({state::keys::job(job_name), job.revision});
  // A placement of ours that is still under way requires the job's record as it was.
  compares.push_back({state::keys::fence(from), state.cache.fence(item.partition)});
  move.transaction.writes.push_back({state::keys::job(job_name), std::move(value)});
  move.log = fmt::format("tasks moved job={} tasks={} from={} to={}", job_name, destination.tasks, from,
                         state.names.partitions.name(destination.partition));
  return move;
}

}  // namespace

std::vector<jobs::Range> move_tasks(const std::vector<jobs::Range>& ranges, core::PartitionId from,
                                    core::PartitionId to, const std::set<std::uint32_t>& tasks) {
  std::vector<jobs::Range> result;
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
    if (auto move = move_to(state, *job, item, *destination)) return move;
  }
  return std::nullopt;
}

asio::awaitable<void> Rebalancer::rebalance(const Backlog& backlog) {
  const auto now = core::SteadyClock::now();
  auto move = state_.with([&](ControllerState& state) { return plan_range_move(state, backlog, now); });
  if (!move || !store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return;
  const auto result = co_await follower_.commit(std::move(move->transaction));
  if (result.outcome == CommitStatus::done) spdlog::info("{}", move->log);
}

}  // namespace finchrun::scheduling
