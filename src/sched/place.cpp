#include "sched/place.hpp"

#include <algorithm>
#include <numeric>

namespace finchrun::sched {
namespace {

bool holds(const Node& n, core::ImageId image) {
  return std::find(n.images.begin(), n.images.end(), image) != n.images.end();
}

// Above this a priority's claim goes before the ranking; idle work takes part in the ranking like any other.
constexpr int kOrdinary = 1;

// What goes before the weight: see "changed or added" in docs/design.md.
int claim(const Demand& d) { return d.patient ? 0 : std::max(d.priority, kOrdinary); }

double dominant_share(const core::Resources& need, const core::Resources& size) {
  double share = 0;
  if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
  if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
  if (size.ram_gb > 0) share = std::max(share, need.ram_gb / size.ram_gb);
  return share;
}

bool hosts(const Node& n, const LaneProfile& lane) {
  if (n.spot && !lane.spot) return false;
  if (lane.types && std::find(lane.types->begin(), lane.types->end(), n.type) == lane.types->end())
    return false;
  return lane.need.fits(n.size);
}

// What starting the task here costs, in seconds and their like: the fetch, the machine's risk, and the scarce
// room used up. Lower is better.
double cost_here(const Demand& d, const Node& n) {
  double cost = n.risk;
  if (!holds(n, d.image)) cost += 2 + d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
  // Ordinary machines are kept for those that may not use spot machines.
  if (d.spot && !n.spot) cost += 3;
  // Machines that other lanes can't do without are left to them.
  double wanted = 0;
  for (std::size_t lane = 0; lane < n.wanted.size(); ++lane)
    if (lane != d.lane.v) wanted += n.wanted[lane];
  cost += 10 * std::min(wanted, 3.0);
  // The share of the machine that it makes unusable for others, in units of accelerators.
  cost += 1.5 * dominant_share(d.need, n.size) * std::max(1.0, n.size.gpus);
  // Best fit: leave large holes whole.
  core::Resources left = n.free;
  left -= d.need;
  if (n.size.gpus > 0) cost += 4 * left.gpus / n.size.gpus;
  if (n.size.cpus > 0) cost += 2 * left.cpus / n.size.cpus;
  return cost;
}

Node* best_node(std::vector<Node>& nodes, const Demand& d) {
  Node* best = nullptr;
  double best_cost = 0;
  for (auto& n : nodes) {
    if (!d.need.fits(n.free) || !allowed(d, n)) continue;
    if (n.reserved_for.valid() && n.reserved_for != d.job) continue;
    const double cost = cost_here(d, n);
    if (!best || cost < best_cost) best = &n, best_cost = cost;
  }
  return best;
}

void take(Node& n, const Demand& d) {
  n.free -= d.need;
  if (!holds(n, d.image)) n.images.push_back(d.image);
}

}  // namespace

void mark_wanted(std::vector<Node>& nodes, const std::vector<LaneProfile>& lanes) {
  for (auto& n : nodes) n.wanted.assign(lanes.size(), 0.0);
  for (std::size_t l = 0; l < lanes.size(); ++l) {
    if (lanes[l].tasks <= 0) continue;
    double places = 0;
    for (const auto& n : nodes)
      if (hosts(n, lanes[l])) places += lanes[l].need.times_in(n.size);
    if (places <= 0) continue;
    for (auto& n : nodes)
      if (hosts(n, lanes[l])) n.wanted[l] = lanes[l].tasks / places;
  }
}

bool allowed(const Demand& d, const Node& n) {
  if (n.spot && !d.spot) return false;
  if (d.zone && *d.zone != n.zone) return false;
  return !d.types || std::find(d.types->begin(), d.types->end(), n.type) != d.types->end();
}

Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamRoom> teams) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const int ca = claim(demands[a]), cb = claim(demands[b]);
    return ca != cb ? ca > cb : costs[a].weight > costs[b].weight;
  });
  Plan plan;
  for (const auto index : order) {
    const Demand& d = demands[index];
    TeamRoom& team = teams.at(d.team.v);
    const std::size_t before = plan.placements.size();
    if (d.gang) {
      const auto all = d.need * static_cast<double>(d.tasks.size());
      bool complete = d.tasks.size() <= d.room_in_zone && team.allows(all);
      std::vector<Node> trial;
      if (complete) trial = nodes;
      for (std::size_t i = 0; complete && i < d.tasks.size(); ++i) {
        Node* n = best_node(trial, d);
        if (!n) {
          complete = false;
          break;
        }
        take(*n, d);
        plan.placements.push_back({index, d.tasks[i], n->id});
      }
      if (!complete) {
        plan.placements.resize(before);
        plan.unplaced.push_back(index);
        continue;
      }
      nodes = std::move(trial);
      team.used += all;
      continue;
    }
    std::uint32_t placed = 0;
    for (const auto task : d.tasks) {
      if (placed >= d.room_in_zone || !team.allows(d.need)) break;
      Node* n = best_node(nodes, d);
      if (!n) break;
      take(*n, d);
      team.used += d.need;
      plan.placements.push_back({index, task, n->id});
      ++placed;
    }
    if (placed < d.count) plan.unplaced.push_back(index);
  }
  plan.nodes = std::move(nodes);
  plan.teams = std::move(teams);
  return plan;
}

}  // namespace finchrun::sched
