#include "scheduling/scheduling_round.hpp"

#include <spdlog/spdlog.h>

#include <iterator>
#include <map>

namespace finchrun::scheduling {

using assignments::PlannedPlacement;
using controller::ControllerState;

std::vector<PlannedPlacement> split_into_batches(core::PartitionId partition, std::uint64_t fencing_token,
                                                 const std::vector<sched::Placement>& placements,
                                                 const std::vector<sched::Demand>& demands,
                                                 const std::vector<sched::Costs>& costs,
                                                 std::size_t max_assignments) {
  std::vector<PlannedPlacement> batches;
  std::map<std::size_t, std::size_t> placed;  // number of tasks placed so far, by demand
  for (const auto& placement : placements) {
    const auto& demand = demands[placement.demand];
    const auto before = placed[placement.demand]++;
    if (before == 0 || (!demand.gang && before % max_assignments == 0))
      batches.push_back(
          {partition, fencing_token, demand.job, demand.job_revision, costs[placement.demand].weight, {}});
    batches.back().tasks.emplace_back(placement.task, placement.machine);
  }
  return batches;
}

void remove_placed_tasks(const sched::Plan& plan, std::vector<sched::Demand>& demands) {
  std::map<std::size_t, std::uint32_t> placed;  // by demand
  for (const auto& placement : plan.placements) ++placed[placement.demand];
  for (const auto index : plan.unplaced) {
    const auto count = placed.find(index);
    if (count == placed.end()) continue;
    auto& demand = demands[index];
    // Tasks are placed in the order of `demand.tasks`.
    demand.tasks.erase(demand.tasks.begin(), demand.tasks.begin() + count->second);
    demand.count -= count->second;
  }
}

PartitionSummary summarize(const sched::Plan& plan, const std::vector<sched::Demand>& demands) {
  PartitionSummary summary;
  summary.machines = plan.nodes.size();
  for (const auto& node : plan.nodes) {
    const bool reserved = node.reserved_for.valid();
    (reserved ? summary.reserved_free : summary.free) += node.free;
    summary.reserved += reserved ? 1 : 0;
  }
  for (const auto index : plan.unplaced) {
    const auto& demand = demands[index];
    summary.over_quota += plan.team_quotas.at(demand.team.index).allows(demand.need_to_start()) ? 0 : 1;
    summary.with_reservation += demand.has_reservation ? 1 : 0;
  }
  return summary;
}

asio::awaitable<std::optional<core::TimePoint>> SchedulingRound::run(double round_s) {
  const auto now = core::SteadyClock::now();
  backlog_.clear();
  quota_.clear();
  auto view = state_.with([&](ControllerState& state) { return build_round_view(state, round_s, now); });
  if (!view) co_return std::nullopt;

  const auto costs = sched::rank(view->queue, view->team_shares, view->decayed_usage,
                                 {tuning_.image_factor, tuning_.size_factor, tuning_.usage_factor});
  std::vector<PlannedPlacement> batches;
  for (const auto& [partition, _] : view->partitions) {
    auto here = place_partition(partition, *view, costs, now);
    std::move(here.begin(), here.end(), std::back_inserter(batches));
  }
  const auto retry_at = co_await recorder_.record(std::move(batches), view->attempt);
  co_await quota_.commit_changes();
  co_return retry_at;
}

std::vector<PlannedPlacement> SchedulingRound::place_partition(core::PartitionId partition, RoundView& view,
                                                               const std::vector<sched::Costs>& costs,
                                                               core::TimePoint now) {
  auto& partition_view = view.partitions.at(partition);
  std::vector<sched::Demand> demands;
  std::vector<sched::Costs> demand_costs;
  for (const auto index : partition_view.demands) {
    demands.push_back(std::move(view.demands[index]));
    demand_costs.push_back(costs[index]);
  }
  const auto machines = partition_view.nodes.size();
  const auto plan =
      sched::place(std::move(partition_view.nodes), demands, demand_costs, partition_view.team_quotas);
  auto batches =
      split_into_batches(partition, partition_view.fencing_token, plan.placements, demands, demand_costs,
                         assignments::AssignmentWriter::max_assignments(settings_.store_limits));
  remove_placed_tasks(plan, demands);
  preemptor_.make_room(partition, plan, demands, view, machines, now);
  if (spdlog::should_log(spdlog::level::debug)) log_partition(partition, plan, demands);
  quota_.collect(partition, plan, demands, view.used_by_team);
  for (const auto index : plan.unplaced) backlog_.push_back({partition, std::move(demands[index])});
  return batches;
}

void SchedulingRound::log_partition(core::PartitionId partition, const sched::Plan& plan,
                                    const std::vector<sched::Demand>& demands) {
  const auto summary = summarize(plan, demands);
  state_.with([&](ControllerState& state) {
    spdlog::debug(
        "scheduling round partition={} machines={} reserved={} free_gpus={} reserved_free_gpus={} demands={} "
        "placed={} unplaced={} over_quota={} with_reservation={}",
        state.names.partitions.name(partition), summary.machines, summary.reserved, summary.free.gpus,
        summary.reserved_free.gpus, demands.size(), plan.placements.size(), plan.unplaced.size(),
        summary.over_quota, summary.with_reservation);
  });
}

}  // namespace finchrun::scheduling
