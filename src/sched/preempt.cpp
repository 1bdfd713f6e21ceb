#include "sched/preempt.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>

#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

struct Search {
  std::vector<core::Resources> free;  // by node
  std::vector<char> stopped;          // by running task
  std::vector<GuaranteeUsage> guarantees;
};

// What does not change during the search: who runs where.
struct Where {
  std::vector<std::vector<std::size_t>> on_node;  // running tasks
  std::unordered_map<core::MachineId, std::size_t> node;
  std::unordered_map<core::JobId, std::vector<std::size_t>> gang;  // tasks of one gang
};

Where locate(const std::vector<Node>& nodes, const std::vector<RunningTask>& running) {
  Where w;
  w.on_node.resize(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) w.node[nodes[i].id] = i;
  for (std::size_t i = 0; i < running.size(); ++i) {
    if (const auto n = w.node.find(running[i].machine); n != w.node.end()) w.on_node[n->second].push_back(i);
    if (running[i].gang) w.gang[running[i].job].push_back(i);
  }
  return w;
}

double fetch_s(const Demand& d, const Node& n) {
  if (std::find(n.images.begin(), n.images.end(), d.image) != n.images.end()) return 0;
  return d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
}

// Work of higher priority is dearer to stop, and a gang brings down all its tasks.
double cost_of(const RunningTask& r) { return (r.loss_s + (r.gang ? 20 : 5)) * (1 + 3 * r.priority); }

bool may_stop(const Demand& d, const RunningTask& r, const std::vector<GuaranteeUsage>& guarantees) {
  if (r.job == d.job) return false;
  // One strict order of claims: within a guarantee, then priority. With the two side by side, idle work
  // within its guarantee and high work beyond it stopped each other in turn for as long as both waited.
  if (r.within && !d.within) return false;
  if (r.priority < d.priority) return true;
  return d.guaranteed && !r.within && r.team != d.team && guarantees.at(r.team.index).beyond(r.need);
}

// All tasks of the victim's gang end with it.
void stop(Search& s, const Where& where, const std::vector<RunningTask>& running, std::size_t victim,
          std::vector<std::size_t>& out) {
  const auto end = [&](std::size_t i) {
    if (s.stopped[i]) return;
    s.stopped[i] = 1;
    out.push_back(i);
    s.guarantees.at(running[i].team.index).used -= running[i].need;
    if (const auto n = where.node.find(running[i].machine); n != where.node.end())
      s.free[n->second] += running[i].need;
  };
  if (!running[victim].gang) return end(victim);
  for (const auto i : where.gang.at(running[victim].job)) end(i);
}

struct Victims {
  std::vector<std::size_t> tasks;
  double loss = 0;
};

// The tasks to stop on the node so that one task of the demand fits there; nothing if that can't be.
std::optional<Victims> victims_on(const Search& s, const Where& where, std::size_t node, const Demand& d,
                                  const std::vector<RunningTask>& running) {
  auto free = s.free[node];
  if (d.need.fits(free)) return Victims{};
  std::vector<std::size_t> open;
  auto most = free;
  for (const auto i : where.on_node[node]) {
    if (s.stopped[i] || !may_stop(d, running[i], s.guarantees)) continue;
    open.push_back(i);
    most += running[i].need;
  }
  if (!d.need.fits(most)) return std::nullopt;
  std::sort(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
    if (running[a].priority != running[b].priority) return running[a].priority < running[b].priority;
    return running[a].loss_s < running[b].loss_s;
  });
  auto guarantees = s.guarantees;
  Victims out;
  for (const auto i : open) {
    if (d.need.fits(free)) break;
    if (!may_stop(d, running[i], guarantees)) continue;  // its team has come down to its guarantee
    guarantees.at(running[i].team.index).used -= running[i].need;
    free += running[i].need;
    out.loss += cost_of(running[i]);
    out.tasks.push_back(i);
  }
  if (!d.need.fits(free)) return std::nullopt;
  return out;
}

bool usable(const Demand& d, const Node& n) {
  return allowed(d, n) && d.need.fits(n.size) && (!n.reserved_for.valid() || n.reserved_for == d.job);
}

double weight_of(const core::Resources& r) { return r.gpus > 0 ? r.gpus : r.cpus / 8; }

// Nothing that can be done for the one can't be done for the other, so if `tried` got no room, `d` won't.
bool as_hard(const Demand& d, const Demand& tried) {
  return d.need.cpus >= tried.need.cpus && d.need.gpus >= tried.need.gpus &&
         d.need.ram_gb >= tried.need.ram_gb && d.priority <= tried.priority &&
         (d.guaranteed ? tried.guaranteed && d.team == tried.team : true) && (!d.within || tried.within) &&
         d.types == tried.types && d.zone == tried.zone && (!d.spot || tried.spot) &&
         (!tried.gang || (d.gang && d.tasks.size() >= tried.tasks.size()));
}

}  // namespace

bool may_preempt(const Demand& d, int lowest_running) { return d.guaranteed || d.priority > lowest_running; }

std::vector<Preemption> preempt(std::vector<Node> nodes, const std::vector<Demand>& demands,
                                const std::vector<std::size_t>& unplaced,
                                const std::vector<RunningTask>& running, std::vector<TeamQuota> rooms,
                                std::vector<GuaranteeUsage> guarantees) {
  constexpr std::size_t kMostTasks = 16;    // of one job in one round
  constexpr std::size_t kMostDemands = 64;  // looked at in one round
  constexpr double kMostWaste = 2.5;        // stopped, for each unit of room made
  std::vector<Preemption> out;
  if (running.empty()) return out;
  const Where where = locate(nodes, running);
  int lowest = running.front().priority;
  for (const auto& r : running) lowest = std::min(lowest, r.priority);
  Search state;
  for (const auto& n : nodes) state.free.push_back(n.free);
  state.stopped.assign(running.size(), 0);
  state.guarantees = std::move(guarantees);
  std::size_t looked = 0;
  // Shapes for which no room could be made: another job of the same shape need not be tried.
  std::vector<const Demand*> hopeless;
  for (const auto index : unplaced) {
    const Demand& d = demands[index];
    if (d.has_reservation || !may_preempt(d, lowest)) continue;
    if (std::any_of(hopeless.begin(), hopeless.end(), [&](const Demand* h) { return as_hard(d, *h); }))
      continue;
    if (++looked > kMostDemands) break;
    Search trial = state;
    auto room = rooms.at(d.team.index);
    Preemption e;
    e.demand = index;
    const std::size_t scarcity = d.gang ? d.tasks.size() : std::min<std::size_t>(d.tasks.size(), kMostTasks);
    // The cheapest node first. A choice changes what others cost, so each is looked at again when its turn
    // comes and goes back into the queue if it has become dearer.
    using TaskAssignment = std::pair<double, std::size_t>;
    std::vector<TaskAssignment> heap;
    const auto price = [&](std::size_t n) -> std::optional<std::pair<double, Victims>> {
      auto v = victims_on(trial, where, n, d, running);
      if (!v) return std::nullopt;
      const double loss = v->loss + nodes[n].risk + fetch_s(d, nodes[n]);
      return std::pair(loss, std::move(*v));
    };
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (!usable(d, nodes[n])) continue;
      if (const auto p = price(n)) heap.emplace_back(p->first, n);
    }
    std::make_heap(heap.begin(), heap.end(), std::greater<>());
    std::size_t got = 0;
    while (got < scarcity && got < d.room_in_zone && room.allows(d.need) && !heap.empty()) {
      std::pop_heap(heap.begin(), heap.end(), std::greater<>());
      const auto [old, n] = heap.back();
      heap.pop_back();
      const auto p = price(n);
      if (!p) continue;
      if (p->first > old + 1e-9) {
        heap.emplace_back(p->first, n);
        std::push_heap(heap.begin(), heap.end(), std::greater<>());
        continue;
      }
      for (const auto v : p->second.tasks) stop(trial, where, running, v, e.victims);
      trial.free[n] -= d.need;
      room.used += d.need;
      e.machines.push_back(nodes[n].id);
      ++got;
      if (const auto again = price(n)) {
        heap.emplace_back(again->first, n);
        std::push_heap(heap.begin(), heap.end(), std::greater<>());
      }
    }
    const bool blocked = got < std::min<std::size_t>(scarcity, d.room_in_zone) && room.allows(d.need);
    if (blocked && (d.gang || got == 0)) hopeless.push_back(&d);
    if (got == 0 || (d.gang && got < scarcity) || e.victims.empty()) continue;
    // Bringing down a gang of many machines for the sake of one small task wastes more than it serves.
    double stopped = 0, made = 0;
    for (const auto v : e.victims) stopped += weight_of(running[v].need);
    made = weight_of(d.need) * static_cast<double>(got);
    if (stopped > kMostWaste * made) continue;
    state = std::move(trial);
    rooms.at(d.team.index) = room;
    out.push_back(std::move(e));
  }
  return out;
}

std::vector<Reservation> reserve_for_gangs(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                           const std::vector<std::size_t>& unplaced,
                                           const std::vector<RunningTask>& running,
                                           const std::vector<TeamQuota>& rooms, double patience_s,
                                           std::size_t most) {
  std::vector<std::size_t> waiting;
  for (const auto index : unplaced) {
    const auto& d = demands[index];
    const auto all = d.need * static_cast<double>(d.tasks.size());
    if (d.gang && !d.has_reservation && d.waited_s > patience_s && d.tasks.size() <= d.room_in_zone &&
        rooms.at(d.team.index).allows(all))
      waiting.push_back(index);
  }
  std::vector<Reservation> out;
  if (waiting.empty()) return out;
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](std::size_t a, std::size_t b) { return demands[a].waited_s > demands[b].waited_s; });
  const Where where = locate(nodes, running);
  std::vector<char> kept(nodes.size(), 0);
  std::size_t count = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].reserved_for.valid()) kept[i] = 1, ++count;
  constexpr std::size_t kMostLooks = 8;  // in one round
  std::size_t looked = 0;
  for (const auto index : waiting) {
    if (count >= most || ++looked > kMostLooks) break;
    const auto& d = demands[index];
    // When each node could take how many of the gang's tasks, by the estimates of what runs there.
    struct Slot {
      double at;
      std::size_t node;
    };
    std::vector<Slot> slots;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (kept[n] || !usable(d, nodes[n])) continue;
      auto tombstones = where.on_node[n];
      std::sort(tombstones.begin(), tombstones.end(),
                [&](std::size_t a, std::size_t b) { return running[a].left_s < running[b].left_s; });
      auto free = nodes[n].free;
      int had = 0;
      const auto add = [&](double at) {
        for (const int now = d.need.times_in(free); had < now; ++had) slots.push_back({at, n});
      };
      add(0);
      for (const auto i : tombstones) {
        if (running[i].left_s == jobs::kNoEnd) break;  // this room never comes free by itself
        free += running[i].need;
        add(running[i].left_s);
      }
    }
    if (slots.size() < d.tasks.size()) continue;
    std::stable_sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.at < b.at; });
    Reservation g;
    g.demand = index;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < d.tasks.size(); ++i) {
      g.in_s = std::max(g.in_s, slots[i].at);
      if (std::find(chosen.begin(), chosen.end(), slots[i].node) == chosen.end())
        chosen.push_back(slots[i].node);
    }
    // The oldest may always gather, however much that takes of a small part.
    if (count > 0 && count + chosen.size() > most) continue;
    for (const auto n : chosen) {
      kept[n] = 1;
      g.machines.push_back(nodes[n].id);
    }
    count += chosen.size();
    out.push_back(std::move(g));
  }
  return out;
}

}  // namespace finchrun::sched
