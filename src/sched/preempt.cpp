#include "sched/preempt.hpp"

#include <algorithm>
#include <optional>

namespace finchrun::sched {
namespace {

struct Search {
  std::vector<Node> nodes;
  std::vector<bool> stopped;
  std::vector<TeamClaim> claims;
};

// Work of higher priority is dearer to stop, and a gang brings down all its tasks.
double cost_of(const Running& r) { return (r.loss_s + (r.gang ? 20 : 5)) * (1 + 3 * r.priority); }

bool may_stop(const Demand& d, const Running& r, const std::vector<TeamClaim>& claims) {
  if (r.job == d.job) return false;
  if (r.priority < d.priority) return true;
  return d.guaranteed && r.team != d.team && claims.at(r.team.v).beyond(r.need);
}

// All tasks of the victim's gang end with it.
void stop(Search& s, const std::vector<Running>& running, std::size_t victim, std::vector<std::size_t>& out) {
  for (std::size_t i = 0; i < running.size(); ++i) {
    const bool same = i == victim || (running[victim].gang && running[i].job == running[victim].job);
    if (!same || s.stopped[i]) continue;
    s.stopped[i] = true;
    out.push_back(i);
    s.claims.at(running[i].team.v).used -= running[i].need;
    for (auto& n : s.nodes)
      if (n.id == running[i].machine) n.free += running[i].need;
  }
}

std::optional<std::vector<std::size_t>> victims_on(const Search& s, const Node& n, const Demand& d,
                                                   const std::vector<Running>& running, double& loss) {
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < running.size(); ++i)
    if (!s.stopped[i] && running[i].machine == n.id && may_stop(d, running[i], s.claims)) open.push_back(i);
  std::sort(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
    if (running[a].priority != running[b].priority) return running[a].priority < running[b].priority;
    return running[a].loss_s < running[b].loss_s;
  });
  auto free = n.free;
  auto claims = s.claims;
  std::vector<std::size_t> chosen;
  loss = 0;
  for (const auto i : open) {
    if (d.need.fits(free)) break;
    if (!may_stop(d, running[i], claims)) continue;  // its team has come down to its guarantee
    claims.at(running[i].team.v).used -= running[i].need;
    free += running[i].need;
    loss += cost_of(running[i]);
    chosen.push_back(i);
  }
  if (!d.need.fits(free)) return std::nullopt;
  return chosen;
}

}  // namespace

std::vector<Eviction> preempt(std::vector<Node> nodes, const std::vector<Demand>& demands,
                              const std::vector<std::size_t>& unplaced, const std::vector<Running>& running,
                              std::vector<TeamRoom> rooms, std::vector<TeamClaim> claims) {
  constexpr std::size_t kMostTasks = 16;  // of one job in one round
  std::vector<Eviction> out;
  Search state{std::move(nodes), std::vector<bool>(running.size(), false), std::move(claims)};
  for (const auto index : unplaced) {
    const Demand& d = demands[index];
    if (d.has_reservation) continue;
    Search trial = state;
    auto room = rooms.at(d.team.v);
    Eviction e;
    e.demand = index;
    const std::size_t wanted = d.gang ? d.tasks.size() : std::min<std::size_t>(d.tasks.size(), kMostTasks);
    std::size_t got = 0;
    for (; got < wanted && got < d.room_in_zone && room.allows(d.need); ++got) {
      Node* best = nullptr;
      std::vector<std::size_t> best_victims;
      double best_loss = 0;
      for (auto& n : trial.nodes) {
        if (!allowed(d, n) || !d.need.fits(n.size) || (n.reserved_for.valid() && n.reserved_for != d.job))
          continue;
        double loss = 0;
        auto victims = victims_on(trial, n, d, running, loss);
        if (!victims) continue;
        loss += n.risk;
        if (std::find(n.images.begin(), n.images.end(), d.image) == n.images.end())
          loss += d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
        if (!best || loss < best_loss) best = &n, best_victims = std::move(*victims), best_loss = loss;
      }
      if (!best) break;
      for (const auto v : best_victims) stop(trial, running, v, e.victims);
      best->free -= d.need;
      room.used += d.need;
      e.machines.push_back(best->id);
    }
    if (got == 0 || (d.gang && got < wanted) || e.victims.empty()) continue;
    state = std::move(trial);
    rooms.at(d.team.v) = room;
    out.push_back(std::move(e));
  }
  return out;
}

}  // namespace finchrun::sched
