#include "sched/place.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

// Terms of `start_cost`, in seconds of waiting time or an equivalent penalty. Only the order of the machines'
// costs matters, not their values.
constexpr double kFetchOverheadS = 2;         // added to any fetch, regardless of the image size
constexpr double kOnDemandMachineCost = 3;    // if the job may use spot instances instead
constexpr double kScarcityCost = 10;          // if another job class needs all machines that can run it
constexpr double kMaxScarcity = 3;            // caps the sum over job classes
constexpr double kDominantShareCost = 1.5;    // per accelerator made unusable for others
constexpr double kUnusedGpusCost = 4;         // if all accelerators would stay unused
constexpr double kUnusedCpusCost = 2;         // less than for accelerators, which are scarcer
constexpr double kReplicaFetchWeight = 10;    // replicas should start within seconds
constexpr double kColocatedReplicaCost = 50;  // for a second replica of a service on one machine

// Avoids an infinite cost for a machine type without a fetch rate.
constexpr double kMinFetchGbPerS = 0.01;

// Run times often exceed their estimates by half.
constexpr double kRunTimeMargin = 1.5;

double uncontended_fetch_s(const Demand& demand, const Node& node) {
  return demand.image_gb / std::max(node.fetch_gb_per_s, kMinFetchGbPerS);
}

// Includes the time before the first byte arrives.
double fetch_with_overhead_s(const Demand& demand, const Node& node) {
  return has_or_fetches_image(node, demand.image) ? 0 : kFetchOverheadS + uncontended_fetch_s(demand, node);
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
  return jobs::type_allowed(job_class.allowed_types, node.type) && job_class.need.fits_in(node.size);
}

// Replicas are small and should start within seconds, so the fetch time outweighs the resources. Several
// replicas of a service on one machine would fail together.
double replica_cost(const Demand& demand, const Node& node) {
  double cost = 0;
  if (!has_or_fetches_image(node, demand.image))
    cost += kReplicaFetchWeight * uncontended_fetch_s(demand, node) *
            static_cast<double>(1 + node.fetches_in_progress);
  if (std::find(node.replicas.begin(), node.replicas.end(), demand.job) != node.replicas.end())
    cost += kColocatedReplicaCost;
  return cost;
}

// Excludes the demand's own job class.
double scarcity_for_others(const Demand& demand, const Node& node) {
  double scarcity = 0;
  for (std::size_t job_class = 0; job_class < node.scarcity.size(); ++job_class)
    if (job_class != demand.job_class.index) scarcity += node.scarcity[job_class];
  return std::min(scarcity, kMaxScarcity);
}

// Returns the expected start delay plus penalties for the use of scarce resources.
double start_cost(const Demand& demand, const Node& node) {
  double cost = node.start_delay_s;
  if (demand.is_service) cost += replica_cost(demand, node);
  cost += fetch_with_overhead_s(demand, node);
  // Leaves on-demand machines to jobs that may not use spot instances.
  if (demand.spot && !node.spot) cost += kOnDemandMachineCost;
  // Leaves machines to job classes that can run on no others.
  cost += kScarcityCost * scarcity_for_others(demand, node);
  // The share of the machine that becomes unusable for others, in accelerators.
  cost += kDominantShareCost * dominant_share(demand.need, node.size) * std::max(1.0, node.size.gpus);
  // Best fit keeps large free blocks intact.
  core::Resources free_after = node.free;
  free_after -= demand.need;
  if (node.size.gpus > 0) cost += kUnusedGpusCost * free_after.gpus / node.size.gpus;
  if (node.size.cpus > 0) cost += kUnusedCpusCost * free_after.cpus / node.size.cpus;
  return cost;
}

// A heap of the machines that can run the demand's tasks, ordered by cost, then index. An allocation changes
// the cost of its machine only, so a job needs one pass over all machines and one heap operation per task.
class CheapestNodes {
 public:
  CheapestNodes(std::vector<Node>& nodes, const Demand& demand) : nodes_(nodes), demand_(demand) {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (demand.need.fits_in(nodes[i].free) && is_allowed_on(demand, nodes[i]) &&
          respects_reservation(demand, nodes[i]))
        heap_.emplace_back(start_cost(demand, nodes[i]), i);
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
  }
  // Allocates one task on the cheapest machine and returns its index, or nullopt if none has room.
  std::optional<std::size_t> allocate() {
    if (heap_.empty()) return std::nullopt;
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto index = heap_.back().second;
    heap_.pop_back();
    Node& node = nodes_[index];
    node.free -= demand_.need;
    if (demand_.is_service) node.replicas.push_back(demand_.job);
    if (!has_or_fetches_image(node, demand_.image)) {
      node.images.push_back(demand_.image);
      ++node.fetches_in_progress;
      fetching_.push_back(index);
    }
    if (demand_.need.fits_in(node.free)) {
      heap_.emplace_back(start_cost(demand_, node), index);
      std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
    return index;
  }
  // Releases the allocations of a gang that does not fit as a whole.
  void undo(const std::vector<std::size_t>& allocated) {
    for (const auto index : allocated) nodes_[index].free += demand_.need;
    for (const auto index : fetching_) {
      nodes_[index].images.pop_back();
      --nodes_[index].fetches_in_progress;
    }
  }

 private:
  std::vector<Node>& nodes_;
  const Demand& demand_;
  std::vector<std::pair<double, std::size_t>> heap_;  // cost and node index
  std::vector<std::size_t> fetching_;                 // nodes that fetch the image for this demand
};

// Returns the demands' indices in the order of placing.
std::vector<std::size_t> placing_order(const std::vector<Demand>& demands, const std::vector<Costs>& costs) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const int precedence_a = precedence(demands[a]), precedence_b = precedence(demands[b]);
    return precedence_a != precedence_b ? precedence_a > precedence_b : costs[a].weight > costs[b].weight;
  });
  return order;
}

// Places all tasks of a gang or none. Returns true if it was placed.
bool place_gang(std::size_t index, const Demand& demand, std::vector<Node>& nodes, TeamQuota& quota,
                std::vector<Placement>& placements) {
  const auto need_of_all = demand.need_to_start();
  if (demand.tasks.size() > demand.zone_headroom || !quota.allows(need_of_all)) return false;
  CheapestNodes cheapest(nodes, demand);
  std::vector<std::size_t> allocated;
  while (allocated.size() < demand.tasks.size()) {
    const auto node = cheapest.allocate();
    if (!node) {
      cheapest.undo(allocated);
      return false;
    }
    allocated.push_back(*node);
  }
  for (std::size_t i = 0; i < allocated.size(); ++i)
    placements.push_back({index, demand.tasks[i], nodes[allocated[i]].id});
  quota.used += need_of_all;
  return true;
}

// Places as many tasks as fit. Returns true if no task is left waiting.
bool place_tasks(std::size_t index, const Demand& demand, std::vector<Node>& nodes, TeamQuota& quota,
                 std::vector<Placement>& placements) {
  std::uint32_t placed = 0;
  // Avoids the pass over all machines for a team at its limit.
  if (quota.allows(demand.need)) {
    CheapestNodes cheapest(nodes, demand);
    for (const auto task : demand.tasks) {
      if (placed >= demand.zone_headroom || !quota.allows(demand.need)) break;
      const auto node = cheapest.allocate();
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
  // Higher priorities are placed before the ranking applies; idle jobs are ranked like normal ones. See
  // "changed or added" in docs/design.md.
  constexpr int kMaxRankedPriority = 1;
  return demand.deferrable ? 0 : std::max(demand.priority, kMaxRankedPriority);
}

void compute_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes) {
  for (auto& node : nodes) node.scarcity.assign(job_classes.size(), 0.0);
  for (std::size_t i = 0; i < job_classes.size(); ++i) {
    const auto& job_class = job_classes[i];
    if (job_class.active_tasks <= 0) continue;
    double places = 0;
    for (const auto& node : nodes)
      if (can_host(node, job_class)) places += job_class.need.max_copies_in(node.size);
    if (places <= 0) continue;
    for (auto& node : nodes)
      if (can_host(node, job_class)) node.scarcity[i] = job_class.active_tasks / places;
  }
}

bool has_or_fetches_image(const Node& node, core::ImageId image) {
  return std::find(node.images.begin(), node.images.end(), image) != node.images.end();
}

double fetch_s(const Demand& demand, const Node& node) {
  return has_or_fetches_image(node, demand.image) ? 0 : uncontended_fetch_s(demand, node);
}

bool respects_reservation(const Demand& demand, const Node& node) {
  if (!node.reserved_for.valid() || node.reserved_for == demand.job) return true;
  return !demand.gang && fetch_with_overhead_s(demand, node) + demand.expected_run_s * kRunTimeMargin <
                             node.reservation_starts_in_s;
}

bool is_allowed_on(const Demand& demand, const Node& node) {
  if (node.spot && !demand.spot) return false;
  if (demand.zone && *demand.zone != node.zone) return false;
  return jobs::type_allowed(demand.allowed_types, node.type);
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
  plan.team_quotas = std::move(quotas);
  return plan;
}

}  // namespace finchrun::sched
