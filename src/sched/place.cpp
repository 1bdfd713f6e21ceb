#include "sched/place.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

// The terms of `start_cost`, in seconds of waiting and their like: what counts is which of two machines is
// cheaper, not the amounts.
constexpr double kFetchOverheadS = 2;       // of any fetch, however small the image is
constexpr double kOrdinaryMachineCost = 3;  // ordinary machines are kept for those that may not use spot ones
constexpr double kScarcityCost = 10;        // for a machine of which another job class needs all places
constexpr double kMostScarcity = 3;         // more than this makes no difference
constexpr double kDominantShareCost = 1.5;  // per accelerator that is made unusable for others
constexpr double kUnusedGpusCost = 4;       // for a machine that stays all free
constexpr double kUnusedCpusCost = 2;       // the same; accelerators are what is short
constexpr double kReplicaFetchWeight = 10;  // a replica is expected within seconds
constexpr double kReplicaTogetherCost = 50;  // for a second replica on one machine

// A machine that states no rate must not cost infinitely much.
constexpr double kLeastFetchGbPerS = 0.01;

// Estimates of run times are often wrong by half.
constexpr double kRunTimeMargin = 1.5;

double fetch_alone_s(const Demand& demand, const Node& node) {
  return demand.image_gb / std::max(node.fetch_gb_per_s, kLeastFetchGbPerS);
}

// With what any fetch takes before its first byte.
double fetch_with_overhead_s(const Demand& demand, const Node& node) {
  return holds(node, demand.image) ? 0 : kFetchOverheadS + fetch_alone_s(demand, node);
}

double dominant_share(const core::Resources& need, const core::Resources& size) {
  double share = 0;
  if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
  if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
  if (size.ram_gb > 0) share = std::max(share, need.ram_gb / size.ram_gb);
  return share;
}

bool can_host(const Node& node, const JobClassProfile& job_class) {
  if (node.spot && !job_class.spot) return false;
  return jobs::type_allowed(job_class.types, node.type) && job_class.need.fits_in(node.size);
}

// Beside what any task costs: a replica is small and is expected within seconds, so the fetch outweighs the
// room it takes; and one machine that is lost should not take several replicas of a job along.
double replica_cost(const Demand& demand, const Node& node) {
  double cost = 0;
  if (!holds(node, demand.image))
    cost += kReplicaFetchWeight * fetch_alone_s(demand, node) * static_cast<double>(1 + node.fetching);
  if (std::find(node.replicas.begin(), node.replicas.end(), demand.job) != node.replicas.end())
    cost += kReplicaTogetherCost;
  return cost;
}

// How much job classes other than the demand's own would miss the machine.
double scarcity_for_others(const Demand& demand, const Node& node) {
  double scarcity = 0;
  for (std::size_t job_class = 0; job_class < node.scarcity.size(); ++job_class)
    if (job_class != demand.job_class.index) scarcity += node.scarcity[job_class];
  return std::min(scarcity, kMostScarcity);
}

// What starting a task here costs, in seconds and their like: the fetch, the machine's risk, and the scarce
// room used up. Lower is better.
double start_cost(const Demand& demand, const Node& node) {
  double cost = node.risk_s;
  if (demand.standing) cost += replica_cost(demand, node);
  cost += fetch_with_overhead_s(demand, node);
  if (demand.spot && !node.spot) cost += kOrdinaryMachineCost;
  // Machines that other job classes can't do without are left to them.
  cost += kScarcityCost * scarcity_for_others(demand, node);
  // The share of the machine that it makes unusable for others, in units of accelerators.
  cost += kDominantShareCost * dominant_share(demand.need, node.size) * std::max(1.0, node.size.gpus);
  // Best fit: leave large holes whole.
  core::Resources left = node.free;
  left -= demand.need;
  if (node.size.gpus > 0) cost += kUnusedGpusCost * left.gpus / node.size.gpus;
  if (node.size.cpus > 0) cost += kUnusedCpusCost * left.cpus / node.size.cpus;
  return cost;
}

// The machines that can take the demand's tasks, cheapest first; of two that cost the same the earlier one.
// Taking a machine changes the cost of that machine only, so a job's tasks cost one look at all machines and
// then a step each.
class CheapestNodes {
 public:
  CheapestNodes(std::vector<Node>& nodes, const Demand& demand) : nodes_(nodes), demand_(demand) {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (demand.need.fits_in(nodes[i].free) && allowed(demand, nodes[i]) && open_to(demand, nodes[i]))
        heap_.emplace_back(start_cost(demand, nodes[i]), i);
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
  }
  // Takes room for one task on the cheapest machine: its index; nothing if there is none.
  std::optional<std::size_t> take() {
    if (heap_.empty()) return std::nullopt;
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto index = heap_.back().second;
    heap_.pop_back();
    Node& node = nodes_[index];
    node.free -= demand_.need;
    if (demand_.standing) node.replicas.push_back(demand_.job);
    if (!holds(node, demand_.image)) {
      node.images.push_back(demand_.image);
      ++node.fetching;
      fetching_.push_back(index);
    }
    if (demand_.need.fits_in(node.free)) {
      heap_.emplace_back(start_cost(demand_, node), index);
      std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
    return index;
  }
  // Gives back what was taken: a gang that does not fit as a whole starts nothing.
  void undo(const std::vector<std::size_t>& taken) {
    for (const auto index : taken) nodes_[index].free += demand_.need;
    for (const auto index : fetching_) {
      nodes_[index].images.pop_back();
      --nodes_[index].fetching;
    }
  }

 private:
  std::vector<Node>& nodes_;
  const Demand& demand_;
  std::vector<std::pair<double, std::size_t>> heap_;  // cost, index of the machine
  std::vector<std::size_t> fetching_;                 // machines that we made fetch the image
};

// Indices of the demands in the order of placing.
std::vector<std::size_t> placing_order(const std::vector<Demand>& demands, const std::vector<Costs>& costs) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const int precedence_a = precedence(demands[a]), precedence_b = precedence(demands[b]);
    return precedence_a != precedence_b ? precedence_a > precedence_b : costs[a].weight > costs[b].weight;
  });
  return order;
}

// Places all tasks of a gang, or none. True if it was placed.
bool place_gang(std::size_t index, const Demand& demand, std::vector<Node>& nodes, TeamQuota& quota,
                std::vector<Placement>& placements) {
  const auto need_of_all = demand.need_at_once();
  if (demand.tasks.size() > demand.room_in_zone || !quota.allows(need_of_all)) return false;
  CheapestNodes cheapest(nodes, demand);
  std::vector<std::size_t> taken;
  while (taken.size() < demand.tasks.size()) {
    const auto node = cheapest.take();
    if (!node) {
      cheapest.undo(taken);
      return false;
    }
    taken.push_back(*node);
  }
  for (std::size_t i = 0; i < taken.size(); ++i)
    placements.push_back({index, demand.tasks[i], nodes[taken[i]].id});
  quota.used += need_of_all;
  return true;
}

// Places as many tasks as fit. True if none is left waiting.
bool place_tasks(std::size_t index, const Demand& demand, std::vector<Node>& nodes, TeamQuota& quota,
                 std::vector<Placement>& placements) {
  std::uint32_t placed = 0;
  // A team at its limit costs no look at the machines.
  if (quota.allows(demand.need)) {
    CheapestNodes cheapest(nodes, demand);
    for (const auto task : demand.tasks) {
      if (placed >= demand.room_in_zone || !quota.allows(demand.need)) break;
      const auto node = cheapest.take();
      if (!node) break;
      quota.used += demand.need;
      placements.push_back({index, task, nodes[*node].id});
      ++placed;
    }
  }
  return placed >= demand.count;
}

}  // namespace

int precedence(const Demand& demand) {
  // Above this a priority's claim goes before the ranking; idle work takes part in the ranking like any
  // other. See "changed or added" in docs/design.md.
  constexpr int kOrdinary = 1;
  return demand.deferrable ? 0 : std::max(demand.priority, kOrdinary);
}

void mark_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes) {
  for (auto& node : nodes) node.scarcity.assign(job_classes.size(), 0.0);
  for (std::size_t i = 0; i < job_classes.size(); ++i) {
    const auto& job_class = job_classes[i];
    if (job_class.tasks <= 0) continue;
    double places = 0;
    for (const auto& node : nodes)
      if (can_host(node, job_class)) places += job_class.need.max_copies_in(node.size);
    if (places <= 0) continue;
    for (auto& node : nodes)
      if (can_host(node, job_class)) node.scarcity[i] = job_class.tasks / places;
  }
}

bool holds(const Node& node, core::ImageId image) {
  return std::find(node.images.begin(), node.images.end(), image) != node.images.end();
}

double fetch_s(const Demand& demand, const Node& node) {
  return holds(node, demand.image) ? 0 : fetch_alone_s(demand, node);
}

bool open_to(const Demand& demand, const Node& node) {
  if (!node.reserved_for.valid() || node.reserved_for == demand.job) return true;
  return !demand.gang &&
         fetch_with_overhead_s(demand, node) + demand.expected_run_s * kRunTimeMargin < node.reserved_in_s;
}

bool allowed(const Demand& demand, const Node& node) {
  if (node.spot && !demand.spot) return false;
  if (demand.zone && *demand.zone != node.zone) return false;
  return jobs::type_allowed(demand.types, node.type);
}

Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamQuota> quotas) {
  Plan plan;
  for (const auto index : placing_order(demands, costs)) {
    const Demand& demand = demands[index];
    TeamQuota& quota = quotas.at(demand.team.index);
    const bool complete = demand.gang ? place_gang(index, demand, nodes, quota, plan.placements)
                                      : place_tasks(index, demand, nodes, quota, plan.placements);
    if (!complete) plan.unplaced.push_back(index);
  }
  plan.nodes = std::move(nodes);
  plan.teams = std::move(quotas);
  return plan;
}

}  // namespace finchrun::sched
