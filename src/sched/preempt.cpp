#include "sched/preempt.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>

#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

// Bounds on the work of one round.
constexpr std::size_t kMostTasksOfJob = 16;          // of one array or service
constexpr std::size_t kMostDemands = 64;             // for which preemption is tried
constexpr std::size_t kMostGangsForReservation = 8;  // for which machines are looked for

// A gang of 16 machines was once stopped for one small task.
constexpr double kMostStoppedPerRoomMade = 2.5;

// What stopping a task costs beside its lost work: a gang brings down all its tasks.
constexpr double kStopTaskCostS = 5;
constexpr double kStopGangTaskCostS = 20;
// Work of higher priority is dearer to stop: by this much with each step of priority.
constexpr double kPriorityStopFactor = 3;

// Two costs that differ by rounding only are the same.
constexpr double kCostSlack = 1e-9;

// How many processors count as much as one accelerator.
constexpr double kCpusPerGpu = 8;

// Who runs where. Does not change during a search.
struct RunningIndex {
  std::vector<std::vector<std::size_t>> by_node;  // running tasks, by index of their node
  std::unordered_map<core::MachineId, std::size_t> node_of;
  std::unordered_map<core::JobId, std::vector<std::size_t>> gang;  // running tasks of one gang
};

RunningIndex index_running(const std::vector<Node>& nodes, const std::vector<RunningTask>& running) {
  RunningIndex index;
  index.by_node.resize(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) index.node_of[nodes[i].id] = i;
  for (std::size_t i = 0; i < running.size(); ++i) {
    if (const auto node = index.node_of.find(running[i].machine); node != index.node_of.end())
      index.by_node[node->second].push_back(i);
    if (running[i].gang) index.gang[running[i].job].push_back(i);
  }
  return index;
}

double stop_cost(const RunningTask& task) {
  return (task.stop_cost_s + (task.gang ? kStopGangTaskCostS : kStopTaskCostS)) *
         (1 + kPriorityStopFactor * task.priority);
}

double size_of(const core::Resources& amount) {
  return amount.gpus > 0 ? amount.gpus : amount.cpus / kCpusPerGpu;
}

// The demand could run on the node if nothing else did.
bool suitable(const Demand& demand, const Node& node) {
  return allowed(demand, node) && demand.need.fits_in(node.size) &&
         (!node.reserved_for.valid() || node.reserved_for == demand.job);
}

// Whatever makes room for `demand` would have made room for `tried` too: if none could be made for that, none
// can be made for this.
bool at_least_as_hard(const Demand& demand, const Demand& tried) {
  const bool needs_as_much = demand.need.cpus >= tried.need.cpus && demand.need.gpus >= tried.need.gpus &&
                             demand.need.ram_gb >= tried.need.ram_gb;
  const bool claims_no_more = demand.priority <= tried.priority && (!demand.within || tried.within) &&
                              (!demand.guaranteed || (tried.guaranteed && demand.team == tried.team));
  const bool goes_nowhere_else =
      demand.types == tried.types && demand.zone == tried.zone && (!demand.spot || tried.spot);
  const bool needs_as_many = !tried.gang || (demand.gang && demand.tasks.size() >= tried.tasks.size());
  return needs_as_much && claims_no_more && goes_nowhere_else && needs_as_many;
}

// What a round has decided to stop, and what that leaves.
struct SearchState {
  std::vector<core::Resources> free;  // by node
  std::vector<char> stopped;          // by running task
  std::vector<GuaranteeUsage> guarantees;
};

// What no decision of a round changes.
struct Snapshot {
  const std::vector<Node>& nodes;
  const std::vector<RunningTask>& running;
  RunningIndex index;
};

// What has to be stopped on one node.
struct Victims {
  std::vector<std::size_t> tasks;
  double cost = 0;
};

// Makes room for one demand, on a copy of the round's state.
class RoomSearch {
 public:
  RoomSearch(const Snapshot& snapshot, const Demand& demand, std::size_t demand_index, SearchState state,
             TeamQuota quota)
      : snapshot_(snapshot),
        demand_(demand),
        wanted_(demand.gang ? demand.tasks.size()
                            : std::min<std::size_t>(demand.tasks.size(), kMostTasksOfJob)),
        state_(std::move(state)),
        quota_(quota) {
    preemption_.demand = demand_index;
  }

  void run() {
    for (std::size_t node = 0; node < snapshot_.nodes.size(); ++node) {
      if (!suitable(demand_, snapshot_.nodes[node])) continue;
      if (const auto room = room_on(node)) queue_.emplace_back(room->cost, node);
    }
    std::make_heap(queue_.begin(), queue_.end(), std::greater<>());
    while (places_ < wanted_ && places_ < demand_.room_in_zone && quota_.allows(demand_.need) &&
           !queue_.empty())
      take_cheapest();
  }

  // No place was left, rather than the job's own limits reached: another such job need not be tried.
  [[nodiscard]] bool hopeless() const {
    const bool blocked =
        places_ < std::min<std::size_t>(wanted_, demand_.room_in_zone) && quota_.allows(demand_.need);
    return blocked && (demand_.gang || places_ == 0);
  }
  [[nodiscard]] bool worthwhile() const {
    if (places_ == 0 || (demand_.gang && places_ < wanted_) || preemption_.victims.empty()) return false;
    // Bringing down a gang of many machines for the sake of one small task wastes more than it serves.
    double stopped = 0;
    for (const auto victim : preemption_.victims) stopped += size_of(snapshot_.running[victim].need);
    const double made = size_of(demand_.need) * static_cast<double>(places_);
    return stopped <= kMostStoppedPerRoomMade * made;
  }

  SearchState& state() { return state_; }
  [[nodiscard]] const TeamQuota& quota() const { return quota_; }
  Preemption& preemption() { return preemption_; }

 private:
  // Tasks on the node that may be stopped for the demand.
  [[nodiscard]] std::vector<std::size_t> candidates_on(std::size_t node) const {
    const auto& running = snapshot_.running;
    std::vector<std::size_t> candidates;
    for (const auto i : snapshot_.index.by_node[node])
      if (!state_.stopped[i] && may_preempt_task(demand_, running[i], state_.guarantees))
        candidates.push_back(i);
    return candidates;
  }

  // The tasks to stop on the node so that one task of the demand fits there; nothing if that can't be.
  [[nodiscard]] std::optional<Victims> victims_on(std::size_t node) const {
    const auto& running = snapshot_.running;
    auto free = state_.free[node];
    if (demand_.need.fits_in(free)) return Victims{};
    auto candidates = candidates_on(node);
    auto most_free = free;
    for (const auto i : candidates) most_free += running[i].need;
    if (!demand_.need.fits_in(most_free)) return std::nullopt;
    // The lowest priority first, then the least loss.
    std::sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) {
      if (running[a].priority != running[b].priority) return running[a].priority < running[b].priority;
      return running[a].stop_cost_s < running[b].stop_cost_s;
    });
    auto guarantees = state_.guarantees;
    Victims victims;
    for (const auto i : candidates) {
      if (demand_.need.fits_in(free)) break;
      // Its team may have come down to its guarantee.
      if (!may_preempt_task(demand_, running[i], guarantees)) continue;
      guarantees.at(running[i].team.index).used -= running[i].need;
      free += running[i].need;
      victims.cost += stop_cost(running[i]);
      victims.tasks.push_back(i);
    }
    if (!demand_.need.fits_in(free)) return std::nullopt;
    return victims;
  }

  // The same with all that starting there costs.
  [[nodiscard]] std::optional<Victims> room_on(std::size_t node) const {
    auto room = victims_on(node);
    if (room)
      room->cost = room->cost + snapshot_.nodes[node].risk_s + fetch_s(demand_, snapshot_.nodes[node]);
    return room;
  }

  void enqueue(double cost, std::size_t node) {
    queue_.emplace_back(cost, node);
    std::push_heap(queue_.begin(), queue_.end(), std::greater<>());
  }

  // Takes a place on the cheapest node. A choice changes what others cost, so each is looked at again when
  // its turn comes and goes back into the queue if it has become dearer.
  void take_cheapest() {
    std::pop_heap(queue_.begin(), queue_.end(), std::greater<>());
    const auto [queued_cost, node] = queue_.back();
    queue_.pop_back();
    const auto room = room_on(node);
    if (!room) return;
    if (room->cost > queued_cost + kCostSlack) return enqueue(room->cost, node);
    for (const auto victim : room->tasks) stop(victim);
    state_.free[node] -= demand_.need;
    quota_.used += demand_.need;
    preemption_.machines.push_back(snapshot_.nodes[node].id);
    ++places_;
    if (const auto again = room_on(node)) enqueue(again->cost, node);
  }

  // All tasks of the victim's gang end with it.
  void stop(std::size_t victim) {
    if (!snapshot_.running[victim].gang) return stop_one(victim);
    for (const auto i : snapshot_.index.gang.at(snapshot_.running[victim].job)) stop_one(i);
  }
  void stop_one(std::size_t i) {
    if (state_.stopped[i]) return;
    const auto& task = snapshot_.running[i];
    state_.stopped[i] = 1;
    preemption_.victims.push_back(i);
    state_.guarantees.at(task.team.index).used -= task.need;
    if (const auto node = snapshot_.index.node_of.find(task.machine); node != snapshot_.index.node_of.end())
      state_.free[node->second] += task.need;
  }

  const Snapshot& snapshot_;
  const Demand& demand_;
  const std::size_t wanted_;  // places
  SearchState state_;
  TeamQuota quota_;
  std::vector<std::pair<double, std::size_t>> queue_;  // heap of cost and node
  std::size_t places_ = 0;                             // found so far
  Preemption preemption_;
};

int lowest_priority(const std::vector<RunningTask>& running) {
  int lowest = running.front().priority;
  for (const auto& task : running) lowest = std::min(lowest, task.priority);
  return lowest;
}

// Gangs that may have machines reserved for them, the longest waiting first.
std::vector<std::size_t> gangs_to_reserve_for(const std::vector<Demand>& demands,
                                              const std::vector<std::size_t>& unplaced,
                                              const std::vector<TeamQuota>& quotas, double min_wait_s) {
  std::vector<std::size_t> gangs;
  for (const auto index : unplaced) {
    const auto& demand = demands[index];
    if (demand.gang && !demand.has_reservation && demand.waited_s > min_wait_s &&
        demand.tasks.size() <= demand.room_in_zone &&
        quotas.at(demand.team.index).allows(demand.need_at_once()))
      gangs.push_back(index);
  }
  std::stable_sort(gangs.begin(), gangs.end(),
                   [&](std::size_t a, std::size_t b) { return demands[a].waited_s > demands[b].waited_s; });
  return gangs;
}

// A place for one task that comes free.
struct FreePlace {
  double in_s = 0;
  std::size_t node = 0;
};

// Appends when the node could take how many of the gang's tasks, by the estimates of what runs there.
void append_free_places(const Demand& demand, const std::vector<Node>& nodes, std::size_t node,
                        const std::vector<RunningTask>& running, std::vector<std::size_t> running_here,
                        std::vector<FreePlace>& places) {
  std::sort(running_here.begin(), running_here.end(),
            [&](std::size_t a, std::size_t b) { return running[a].remaining_s < running[b].remaining_s; });
  auto free = nodes[node].free;
  int counted = 0;
  const auto append = [&](double in_s) {
    for (const int fitting = demand.need.max_copies_in(free); counted < fitting; ++counted)
      places.push_back({in_s, node});
  };
  append(0);
  for (const auto i : running_here) {
    if (running[i].remaining_s == jobs::kNoEnd) break;  // this room never comes free by itself
    free += running[i].need;
    append(running[i].remaining_s);
  }
}

// Where the gang could start soonest as a whole.
struct GangPlaces {
  std::vector<std::size_t> nodes;
  double ready_in_s = 0;
};

std::optional<GangPlaces> soonest_places(const Demand& demand, const std::vector<Node>& nodes,
                                         const std::vector<char>& reserved,
                                         const std::vector<RunningTask>& running, const RunningIndex& index) {
  std::vector<FreePlace> places;
  for (std::size_t node = 0; node < nodes.size(); ++node)
    if (!reserved[node] && suitable(demand, nodes[node]))
      append_free_places(demand, nodes, node, running, index.by_node[node], places);
  if (places.size() < demand.tasks.size()) return std::nullopt;
  std::stable_sort(places.begin(), places.end(),
                   [](const FreePlace& a, const FreePlace& b) { return a.in_s < b.in_s; });
  GangPlaces chosen;
  for (std::size_t i = 0; i < demand.tasks.size(); ++i) {
    chosen.ready_in_s = std::max(chosen.ready_in_s, places[i].in_s);
    if (std::find(chosen.nodes.begin(), chosen.nodes.end(), places[i].node) == chosen.nodes.end())
      chosen.nodes.push_back(places[i].node);
  }
  return chosen;
}

}  // namespace

bool may_preempt(const Demand& demand, int lowest_running_priority) {
  return demand.guaranteed || demand.priority > lowest_running_priority;
}

bool may_preempt_task(const Demand& demand, const RunningTask& task,
                      const std::vector<GuaranteeUsage>& guarantees) {
  if (task.job == demand.job) return false;
  // One strict order of claims: within a guarantee, then priority. With the two side by side, idle work
  // within its guarantee and high work beyond it stopped each other in turn for as long as both waited.
  if (task.within && !demand.within) return false;
  if (task.priority < demand.priority) return true;
  return demand.guaranteed && !task.within && task.team != demand.team &&
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
  std::vector<const Demand*> hopeless;  // no room could be made for these
  for (const auto index : unplaced) {
    const Demand& demand = demands[index];
    if (demand.has_reservation || !may_preempt(demand, lowest)) continue;
    if (std::any_of(hopeless.begin(), hopeless.end(),
                    [&](const Demand* other) { return at_least_as_hard(demand, *other); }))
      continue;
    if (++tried > kMostDemands) break;
    RoomSearch search(snapshot, demand, index, state, quotas.at(demand.team.index));
    search.run();
    if (search.hopeless()) hopeless.push_back(&demand);
    if (!search.worthwhile()) continue;
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
    if (reserved_count >= max_machines || ++tried > kMostGangsForReservation) break;
    const auto places = soonest_places(demands[gang], nodes, reserved, running, index);
    if (!places) continue;
    // The gang that has waited longest gets its reservation however much that takes of a small partition.
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
