#include "sched/preempt.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>

#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

// Limits of the work in one round.
constexpr std::size_t kMaxTasksPerJob = 16;   // of one array or service
constexpr std::size_t kMaxDemandsTried = 64;  // for preemption
constexpr std::size_t kMaxGangsTried = 8;     // for reservations

// The maximum ratio of stopped to placed resources. Without this limit, a gang of 16 machines was stopped for
// one small task.
constexpr double kMaxStoppedPerPlaced = 2.5;

// Added to the lost work of a stopped task. Stopping a gang task stops the whole gang.
constexpr double kStopTaskCostS = 5;
constexpr double kStopGangTaskCostS = 20;
// The relative increase of the stop cost with each priority level.
constexpr double kPriorityStopFactor = 3;

// Tolerance for rounding errors when costs are compared.
constexpr double kCostTolerance = 1e-9;

// CPUs that are equivalent to one accelerator.
constexpr double kCpusPerGpu = 8;

// Indices over the running tasks; constant during a round.
struct RunningIndex {
  std::vector<std::vector<std::size_t>> by_node;  // by index of the node
  std::unordered_map<core::MachineId, std::size_t> node_index;
  std::unordered_map<core::JobId, std::vector<std::size_t>> by_gang;
};

RunningIndex index_running(const std::vector<Node>& nodes, const std::vector<RunningTask>& running) {
  RunningIndex index;
  index.by_node.resize(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) index.node_index[nodes[i].id] = i;
  for (std::size_t i = 0; i < running.size(); ++i) {
    if (const auto node = index.node_index.find(running[i].machine); node != index.node_index.end())
      index.by_node[node->second].push_back(i);
    if (running[i].gang) index.by_gang[running[i].job].push_back(i);
  }
  return index;
}

double stop_cost(const RunningTask& task) {
  return (task.stop_cost_s + (task.gang ? kStopGangTaskCostS : kStopTaskCostS)) *
         (1 + kPriorityStopFactor * task.priority);
}

double gpu_equivalents(const core::Resources& amount) {
  return amount.gpus > 0 ? amount.gpus : amount.cpus / kCpusPerGpu;
}

// Ignores other running tasks.
bool could_run_on(const Demand& demand, const Node& node) {
  return is_allowed_on(demand, node) && demand.need.fits_in(node.size) &&
         (!node.reserved_for.valid() || node.reserved_for == demand.job);
}

// Returns true if any preemption for `demand` would also make room for `infeasible`, for which none was
// found. `demand` can then be skipped.
bool is_at_least_as_hard(const Demand& demand, const Demand& infeasible) {
  const bool needs_as_much = demand.need.cpus >= infeasible.need.cpus &&
                             demand.need.gpus >= infeasible.need.gpus &&
                             demand.need.ram_gb >= infeasible.need.ram_gb;
  const bool has_no_stronger_claim =
      demand.priority <= infeasible.priority && (!demand.within_guarantee || infeasible.within_guarantee) &&
      (!demand.may_claim_guarantee || (infeasible.may_claim_guarantee && demand.team == infeasible.team));
  const bool allows_no_other_machines = demand.allowed_types == infeasible.allowed_types &&
                                        demand.zone == infeasible.zone && (!demand.spot || infeasible.spot);
  const bool needs_as_many =
      !infeasible.gang || (demand.gang && demand.tasks.size() >= infeasible.tasks.size());
  return needs_as_much && has_no_stronger_claim && allows_no_other_machines && needs_as_many;
}

// The effects of the preemptions selected so far in a round.
struct SearchState {
  std::vector<core::Resources> free;  // by node
  std::vector<char> stopped;          // by running task
  std::vector<GuaranteeUsage> guarantees;
};

// The input that is constant during a round.
struct Snapshot {
  const std::vector<Node>& nodes;
  const std::vector<RunningTask>& running;
  RunningIndex index;
};

// The tasks to stop on one node, and the cost.
struct Victims {
  std::vector<std::size_t> tasks;
  double cost = 0;
};

// Searches tasks to preempt for one demand, on a copy of the round's state.
class RoomSearch {
 public:
  RoomSearch(const Snapshot& snapshot, const Demand& demand, std::size_t demand_index, SearchState state,
             TeamQuota quota)
      : snapshot_(snapshot),
        demand_(demand),
        places_wanted_(demand.gang ? demand.tasks.size()
                                   : std::min<std::size_t>(demand.tasks.size(), kMaxTasksPerJob)),
        state_(std::move(state)),
        quota_(quota) {
    preemption_.demand = demand_index;
  }

  void run() {
    for (std::size_t node = 0; node < snapshot_.nodes.size(); ++node) {
      if (!could_run_on(demand_, snapshot_.nodes[node])) continue;
      if (const auto victims = victims_with_start_cost(node)) queue_.emplace_back(victims->cost, node);
    }
    std::make_heap(queue_.begin(), queue_.end(), std::greater<>());
    while (places_ < places_wanted_ && places_ < demand_.zone_headroom && quota_.allows(demand_.need) &&
           !queue_.empty())
      take_cheapest();
  }

  // Returns true if the search failed for lack of nodes and not because of the job's own limits.
  [[nodiscard]] bool infeasible() const {
    const bool blocked =
        places_ < std::min<std::size_t>(places_wanted_, demand_.zone_headroom) && quota_.allows(demand_.need);
    return blocked && (demand_.gang || places_ == 0);
  }
  [[nodiscard]] bool is_worthwhile() const {
    if (places_ == 0 || (demand_.gang && places_ < places_wanted_) || preemption_.victims.empty())
      return false;
    // Stopping a gang on many machines for one small task wastes more resources than it provides.
    double stopped = 0;
    for (const auto victim : preemption_.victims) stopped += gpu_equivalents(snapshot_.running[victim].need);
    const double placed = gpu_equivalents(demand_.need) * static_cast<double>(places_);
    return stopped <= kMaxStoppedPerPlaced * placed;
  }

  SearchState& state() { return state_; }
  [[nodiscard]] const TeamQuota& quota() const { return quota_; }
  Preemption& preemption() { return preemption_; }

 private:
  // Returns the tasks on the node that the demand may preempt.
  [[nodiscard]] std::vector<std::size_t> candidates_on(std::size_t node) const {
    const auto& running = snapshot_.running;
    std::vector<std::size_t> candidates;
    for (const auto i : snapshot_.index.by_node[node])
      if (!state_.stopped[i] && may_preempt_task(demand_, running[i], state_.guarantees))
        candidates.push_back(i);
    return candidates;
  }

  // Returns the tasks to stop so that one task of the demand fits on the node, or nullopt if it cannot fit.
  [[nodiscard]] std::optional<Victims> victims_on(std::size_t node) const {
    const auto& running = snapshot_.running;
    auto free = state_.free[node];
    if (demand_.need.fits_in(free)) return Victims{};
    auto candidates = candidates_on(node);
    auto max_free = free;
    for (const auto i : candidates) max_free += running[i].need;
    if (!demand_.need.fits_in(max_free)) return std::nullopt;
    // Lowest priority first, then lowest stop cost.
    std::sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) {
      if (running[a].priority != running[b].priority) return running[a].priority < running[b].priority;
      return running[a].stop_cost_s < running[b].stop_cost_s;
    });
    auto guarantees = state_.guarantees;
    Victims victims;
    for (const auto i : candidates) {
      if (demand_.need.fits_in(free)) break;
      // Earlier victims may have reduced the team's usage to its guarantee.
      if (!may_preempt_task(demand_, running[i], guarantees)) continue;
      guarantees.at(running[i].team.index).used -= running[i].need;
      free += running[i].need;
      victims.cost += stop_cost(running[i]);
      victims.tasks.push_back(i);
    }
    if (!demand_.need.fits_in(free)) return std::nullopt;
    return victims;
  }

  // Returns `victims_on` with the cost of starting the task added.
  [[nodiscard]] std::optional<Victims> victims_with_start_cost(std::size_t node) const {
    auto victims = victims_on(node);
    if (victims)
      victims->cost =
          victims->cost + snapshot_.nodes[node].start_delay_s + fetch_s(demand_, snapshot_.nodes[node]);
    return victims;
  }

  void enqueue(double cost, std::size_t node) {
    queue_.emplace_back(cost, node);
    std::push_heap(queue_.begin(), queue_.end(), std::greater<>());
  }

  // Takes a place on the cheapest node. Earlier choices may have raised the cost of a queued node, so the
  // cost is computed again, and the node returns to the queue if it has become more expensive.
  void take_cheapest() {
    std::pop_heap(queue_.begin(), queue_.end(), std::greater<>());
    const auto [queued_cost, node] = queue_.back();
    queue_.pop_back();
    const auto victims = victims_with_start_cost(node);
    if (!victims) return;
    if (victims->cost > queued_cost + kCostTolerance) return enqueue(victims->cost, node);
    for (const auto victim : victims->tasks) stop(victim);
    state_.free[node] -= demand_.need;
    quota_.used += demand_.need;
    preemption_.machines.push_back(snapshot_.nodes[node].id);
    ++places_;
    if (const auto again = victims_with_start_cost(node)) enqueue(again->cost, node);
  }

  // Stops the victim, or all tasks of its gang.
  void stop(std::size_t victim) {
    if (!snapshot_.running[victim].gang) return stop_one(victim);
    for (const auto i : snapshot_.index.by_gang.at(snapshot_.running[victim].job)) stop_one(i);
  }
  void stop_one(std::size_t i) {
    if (state_.stopped[i]) return;
    const auto& task = snapshot_.running[i];
    state_.stopped[i] = 1;
    preemption_.victims.push_back(i);
    state_.guarantees.at(task.team.index).used -= task.need;
    if (const auto node = snapshot_.index.node_index.find(task.machine);
        node != snapshot_.index.node_index.end())
      state_.free[node->second] += task.need;
  }

  const Snapshot& snapshot_;
  const Demand& demand_;
  const std::size_t places_wanted_;
  SearchState state_;
  TeamQuota quota_;
  std::vector<std::pair<double, std::size_t>> queue_;  // heap of cost and node
  std::size_t places_ = 0;
  Preemption preemption_;
};

int lowest_priority(const std::vector<RunningTask>& running) {
  int lowest = running.front().priority;
  for (const auto& task : running) lowest = std::min(lowest, task.priority);
  return lowest;
}

// Returns the gangs that are eligible for a reservation, longest waiting first.
std::vector<std::size_t> gangs_to_reserve_for(const std::vector<Demand>& demands,
                                              const std::vector<std::size_t>& unplaced,
                                              const std::vector<TeamQuota>& quotas, double min_wait_s) {
  std::vector<std::size_t> gangs;
  for (const auto index : unplaced) {
    const auto& demand = demands[index];
    if (demand.gang && !demand.has_reservation && demand.waited_s > min_wait_s &&
        demand.tasks.size() <= demand.zone_headroom &&
        quotas.at(demand.team.index).allows(demand.need_to_start()))
      gangs.push_back(index);
  }
  std::stable_sort(gangs.begin(), gangs.end(),
                   [&](std::size_t a, std::size_t b) { return demands[a].waited_s > demands[b].waited_s; });
  return gangs;
}

// Resources for one task on a node, and when they are expected to be free.
struct FreePlace {
  double free_in_s = 0;
  std::size_t node = 0;
};

// Appends a place for each task of the gang that fits on the node, now or after running tasks have ended.
void append_free_places(const Demand& demand, const std::vector<Node>& nodes, std::size_t node,
                        const std::vector<RunningTask>& running, std::vector<std::size_t> running_here,
                        std::vector<FreePlace>& places) {
  std::sort(running_here.begin(), running_here.end(),
            [&](std::size_t a, std::size_t b) { return running[a].remaining_s < running[b].remaining_s; });
  auto free = nodes[node].free;
  int counted = 0;
  const auto append = [&](double free_in_s) {
    for (const int fitting = demand.need.max_copies_in(free); counted < fitting; ++counted)
      places.push_back({free_in_s, node});
  };
  append(0);
  for (const auto i : running_here) {
    if (running[i].remaining_s == jobs::kUnlimitedRunTimeS)
      break;  // a replica never frees its resources by itself
    free += running[i].need;
    append(running[i].remaining_s);
  }
}

// The nodes where the whole gang could start earliest.
struct GangPlaces {
  std::vector<std::size_t> nodes;
  double ready_in_s = 0;
};

std::optional<GangPlaces> earliest_places(const Demand& demand, const std::vector<Node>& nodes,
                                          const std::vector<char>& reserved,
                                          const std::vector<RunningTask>& running,
                                          const RunningIndex& index) {
  std::vector<FreePlace> places;
  for (std::size_t node = 0; node < nodes.size(); ++node)
    if (!reserved[node] && could_run_on(demand, nodes[node]))
      append_free_places(demand, nodes, node, running, index.by_node[node], places);
  if (places.size() < demand.tasks.size()) return std::nullopt;
  std::stable_sort(places.begin(), places.end(),
                   [](const FreePlace& a, const FreePlace& b) { return a.free_in_s < b.free_in_s; });
  GangPlaces chosen;
  for (std::size_t i = 0; i < demand.tasks.size(); ++i) {
    chosen.ready_in_s = std::max(chosen.ready_in_s, places[i].free_in_s);
    if (std::find(chosen.nodes.begin(), chosen.nodes.end(), places[i].node) == chosen.nodes.end())
      chosen.nodes.push_back(places[i].node);
  }
  return chosen;
}

}  // namespace

bool may_preempt_any(const Demand& demand, int lowest_running_priority) {
  return demand.may_claim_guarantee || demand.priority > lowest_running_priority;
}

bool may_preempt_task(const Demand& demand, const RunningTask& task,
                      const std::vector<GuaranteeUsage>& guarantees) {
  if (task.job == demand.job) return false;
  // Without a strict order, idle jobs within their guarantee and high-priority jobs beyond theirs preempted
  // each other in turn.
  if (task.within_guarantee && !demand.within_guarantee) return false;
  if (task.priority < demand.priority) return true;
  return demand.may_claim_guarantee && !task.within_guarantee && task.team != demand.team &&
         guarantees.at(task.team.index).fully_used_without(task.need);
}

std::vector<Preemption> preempt(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                const std::vector<std::size_t>& unplaced,
                                const std::vector<RunningTask>& running, std::vector<TeamQuota> quotas,
                                std::vector<GuaranteeUsage> guarantees) {
  std::vector<Preemption> preemptions;
  if (running.empty()) return preemptions;
  const Snapshot snapshot{nodes, running, index_running(nodes, running)};
  const int lowest = lowest_priority(running);
  SearchState state;
  for (const auto& node : nodes) state.free.push_back(node.free);
  state.stopped.assign(running.size(), 0);
  state.guarantees = std::move(guarantees);
  std::size_t tried = 0;
  std::vector<const Demand*> infeasible;  // demands for which no preemption was found
  for (const auto index : unplaced) {
    const Demand& demand = demands[index];
    if (demand.has_reservation || !may_preempt_any(demand, lowest)) continue;
    if (std::any_of(infeasible.begin(), infeasible.end(),
                    [&](const Demand* other) { return is_at_least_as_hard(demand, *other); }))
      continue;
    if (++tried > kMaxDemandsTried) break;
    RoomSearch search(snapshot, demand, index, state, quotas.at(demand.team.index));
    search.run();
    if (search.infeasible()) infeasible.push_back(&demand);
    if (!search.is_worthwhile()) continue;
    state = std::move(search.state());
    quotas.at(demand.team.index) = search.quota();
    preemptions.push_back(std::move(search.preemption()));
  }
  return preemptions;
}

std::vector<Reservation> reserve_for_gangs(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                           const std::vector<std::size_t>& unplaced,
                                           const std::vector<RunningTask>& running,
                                           const std::vector<TeamQuota>& quotas, double min_wait_s,
                                           std::size_t max_machines) {
  std::vector<Reservation> reservations;
  const auto gangs = gangs_to_reserve_for(demands, unplaced, quotas, min_wait_s);
  if (gangs.empty()) return reservations;
  const RunningIndex index = index_running(nodes, running);
  std::vector<char> reserved(nodes.size(), 0);  // by node
  for (std::size_t i = 0; i < nodes.size(); ++i) reserved[i] = nodes[i].reserved_for.valid() ? 1 : 0;
  auto reserved_count = static_cast<std::size_t>(std::count(reserved.begin(), reserved.end(), 1));
  std::size_t tried = 0;
  for (const auto gang : gangs) {
    if (reserved_count >= max_machines || ++tried > kMaxGangsTried) break;
    const auto places = earliest_places(demands[gang], nodes, reserved, running, index);
    if (!places) continue;
    // The longest waiting gang gets its reservation even if it exceeds the limit in a small partition.
    if (reserved_count > 0 && reserved_count + places->nodes.size() > max_machines) continue;
    Reservation reservation;
    reservation.demand = gang;
    reservation.ready_in_s = places->ready_in_s;
    for (const auto node : places->nodes) {
      reserved[node] = 1;
      reservation.machines.push_back(nodes[node].id);
    }
    reserved_count += places->nodes.size();
    reservations.push_back(std::move(reservation));
  }
  return reservations;
}

}  // namespace finchrun::sched
