#include "scheduling/scheduling_round.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::scheduling {

using controller::ControllerState;

asio::awaitable<std::optional<core::TimePoint>> SchedulingRound::run(double round_s) {
  co_await recorder_.move_fences();
  const auto now = core::Steady::now();
  backlog_.clear();
  quota_.clear();
  auto view = state_.with([&](ControllerState& w) { return build_round_view(w, round_s, now); });
  if (!view) co_return std::nullopt;
  auto& v = *view;

  const auto costs = sched::rank(v.queue, v.shares, v.usage,
                                 {tuning_.image_factor, tuning_.size_factor, tuning_.usage_factor});
  std::vector<assignments::PlannedPlacement> placings;
  const auto most_assignments = assignments::AssignmentWriter::most_assignments(settings_.state_limits);
  for (auto& [partition, part] : v.partitions) {
    std::vector<sched::Demand> mine;
    std::vector<sched::Costs> mine_costs;
    for (const auto i : part.demands) {
      mine.push_back(std::move(v.demands[i]));
      mine_costs.push_back(costs[i]);
    }
    const auto machines = part.nodes.size();
    auto plan = sched::place(std::move(part.nodes), mine, mine_costs, part.rooms);
    // In the order of placing: what does not get into this round's transactions is what ranks lowest.
    std::map<std::size_t, std::size_t> placed_of;
    for (const auto& pl : plan.placements) {
      // A large array is recorded in pieces that fit into one transaction; a gang starts as a whole.
      const auto placed = placed_of[pl.demand]++;
      if (placed == 0 || (!mine[pl.demand].gang && placed % most_assignments == 0))
        placings.push_back({partition,
                            part.fencing_token,
                            mine[pl.demand].job,
                            mine[pl.demand].job_revision,
                            mine_costs[pl.demand].weight,
                            {}});
      placings.back().tasks.emplace_back(pl.task, pl.machine);
    }
    for (const auto i : plan.unplaced) {
      auto& d = mine[i];
      const auto placed = placed_of.contains(i) ? placed_of[i] : 0;
      d.tasks.erase(d.tasks.begin(), d.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
      d.count -= static_cast<std::uint32_t>(placed);
    }
    preemptor_.make_room(partition, plan, mine, v, machines, now);
    if (spdlog::should_log(spdlog::level::debug)) log_partition(partition, plan, mine);
    quota_.collect(partition, plan, mine, v.used);
    for (const auto i : plan.unplaced) {
      backlog_.push_back({partition, std::move(mine[i])});
    }
  }
  const auto retry_at = co_await recorder_.record(std::move(placings), v.attempt);
  co_await quota_.share();
  co_return retry_at;
}

void SchedulingRound::log_partition(core::PartitionId partition, const sched::Plan& plan,
                                    const std::vector<sched::Demand>& demands) {
  core::Resources free, kept;
  std::size_t reserved = 0, limited = 0, waiting_for_reservation = 0;
  for (const auto& n : plan.nodes) {
    (n.reserved_for.valid() ? kept : free) += n.free;
    reserved += n.reserved_for.valid() ? 1 : 0;
  }
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    limited += plan.teams.at(d.team.index).allows(d.need * n) ? 0 : 1;
    waiting_for_reservation += d.has_reservation ? 1 : 0;
  }
  state_.with([&](ControllerState& w) {
    spdlog::debug(
        "round part={} machines={} reserved={} free_gpus={} kept_gpus={} jobs={} placed={} unplaced={} "
        "limited={} gathering={}",
        w.names.partitions.name(partition), plan.nodes.size(), reserved, free.gpus, kept.gpus, demands.size(),
        plan.placements.size(), plan.unplaced.size(), limited, waiting_for_reservation);
  });
}

}  // namespace finchrun::scheduling
