#include "sched/place.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace finchrun::sched {
namespace {

bool holds(const Node& n, core::ImageId image) {
  return std::find(n.images.begin(), n.images.end(), image) != n.images.end();
}

// Above this a priority's claim goes before the ranking; idle work takes part in the ranking like any other.
constexpr int kOrdinary = 1;

// What goes before the weight: see "changed or added" in docs/design.md.
int leadership(const Demand& d) { return d.deferrable ? 0 : std::max(d.priority, kOrdinary); }

double dominant_share(const core::Resources& need, const core::Resources& size) {
  double share = 0;
  if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
  if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
  if (size.ram_gb > 0) share = std::max(share, need.ram_gb / size.ram_gb);
  return share;
}

bool hosts(const Node& n, const JobClassProfile& job_class) {
  if (n.spot && !job_class.spot) return false;
  if (job_class.types &&
      std::find(job_class.types->begin(), job_class.types->end(), n.type) == job_class.types->end())
    return false;
  return job_class.need.fits(n.size);
}

// Beside what any task costs: a replica is small and is expected within seconds, so the fetch outweighs the
// room it takes; and one machine that is lost should not take several replicas of a job along.
double replica_cost(const Demand& d, const Node& n) {
  constexpr double kFetchWeight = 10, kTogether = 50;
  double cost = 0;
  if (!holds(n, d.image)) {
    const double alone_s = d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
    cost += kFetchWeight * alone_s * static_cast<double>(1 + n.fetching);
  }
  if (std::find(n.replicas.begin(), n.replicas.end(), d.job) != n.replicas.end()) cost += kTogether;
  return cost;
}

// What starting the task here costs, in seconds and their like: the fetch, the machine's risk, and the scarce
// room used up. Lower is better.
double cost_here(const Demand& d, const Node& n) {
  double cost = n.risk;
  if (d.standing) cost += replica_cost(d, n);
  if (!holds(n, d.image)) cost += 2 + d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
  // Ordinary machines are kept for those that may not use spot machines.
  if (d.spot && !n.spot) cost += 3;
  // Machines that other job classes can't do without are left to them.
  double scarcity = 0;
  for (std::size_t job_class = 0; job_class < n.scarcity.size(); ++job_class)
    if (job_class != d.job_class.index) scarcity += n.scarcity[job_class];
  cost += 10 * std::min(scarcity, 3.0);
  // The share of the machine that it makes unusable for others, in units of accelerators.
  cost += 1.5 * dominant_share(d.need, n.size) * std::max(1.0, n.size.gpus);
  // Best fit: leave large holes whole.
  core::Resources left = n.free;
  left -= d.need;
  if (n.size.gpus > 0) cost += 4 * left.gpus / n.size.gpus;
  if (n.size.cpus > 0) cost += 2 * left.cpus / n.size.cpus;
  return cost;
}

// The demand's open machines, cheapest first; of two that cost the same the earlier one. Taking a machine
// changes the cost of that machine only, so a job's tasks cost one look at all machines and then a step each.
class Choice {
 public:
  Choice(std::vector<Node>& nodes, const Demand& d) : nodes_(nodes), d_(d) {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (d.need.fits(nodes[i].free) && allowed(d, nodes[i]) && open_to(d, nodes[i]))
        heap_.emplace_back(cost_here(d, nodes[i]), i);
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
  }
  // Takes room for one task on the cheapest machine; nothing if there is none.
  std::optional<std::size_t> take() {
    if (heap_.empty()) return std::nullopt;
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const auto i = heap_.back().second;
    heap_.pop_back();
    Node& n = nodes_[i];
    n.free -= d_.need;
    if (d_.standing) n.replicas.push_back(d_.job);
    if (!holds(n, d_.image)) {
      n.images.push_back(d_.image);
      ++n.fetching;
      fetching_.push_back(i);
    }
    if (d_.need.fits(n.free)) {
      heap_.emplace_back(cost_here(d_, n), i);
      std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
    return i;
  }
  // Gives back what was taken: a gang that does not fit as a whole starts nothing.
  void undo(const std::vector<std::size_t>& taken) {
    for (const auto i : taken) nodes_[i].free += d_.need;
    for (const auto i : fetching_) {
      nodes_[i].images.pop_back();
      --nodes_[i].fetching;
    }
  }

 private:
  std::vector<Node>& nodes_;
  const Demand& d_;
  std::vector<std::pair<double, std::size_t>> heap_;
  std::vector<std::size_t> fetching_;
};

}  // namespace

void mark_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes) {
  for (auto& n : nodes) n.scarcity.assign(job_classes.size(), 0.0);
  for (std::size_t l = 0; l < job_classes.size(); ++l) {
    if (job_classes[l].tasks <= 0) continue;
    double places = 0;
    for (const auto& n : nodes)
      if (hosts(n, job_classes[l])) places += job_classes[l].need.times_in(n.size);
    if (places <= 0) continue;
    for (auto& n : nodes)
      if (hosts(n, job_classes[l])) n.scarcity[l] = job_classes[l].tasks / places;
  }
}

bool open_to(const Demand& d, const Node& n) {
  if (!n.reserved_for.valid() || n.reserved_for == d.job) return true;
  // Estimates are often wrong by half.
  const double fetch = holds(n, d.image) ? 0 : 2 + d.image_gb / std::max(n.fetch_gb_per_s, 0.01);
  return !d.gang && fetch + d.expected_run_s * 1.5 < n.reserved_in_s;
}

bool allowed(const Demand& d, const Node& n) {
  if (n.spot && !d.spot) return false;
  if (d.zone && *d.zone != n.zone) return false;
  return !d.types || std::find(d.types->begin(), d.types->end(), n.type) != d.types->end();
}

Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamQuota> teams) {
  std::vector<std::size_t> command(demands.size());
  std::iota(command.begin(), command.end(), 0);
  std::stable_sort(command.begin(), command.end(), [&](std::size_t a, std::size_t b) {
    const int ca = leadership(demands[a]), cb = leadership(demands[b]);
    return ca != cb ? ca > cb : costs[a].weight > costs[b].weight;
  });
  Plan plan;
  for (const auto index : command) {
    const Demand& d = demands[index];
    TeamQuota& team = teams.at(d.team.index);
    if (d.gang) {
      const auto all = d.need * static_cast<double>(d.tasks.size());
      bool complete = d.tasks.size() <= d.room_in_zone && team.allows(all);
      if (complete) {
        Choice choice(nodes, d);
        std::vector<std::size_t> taken;
        while (taken.size() < d.tasks.size()) {
          const auto i = choice.take();
          if (!i) break;
          taken.push_back(*i);
        }
        complete = taken.size() == d.tasks.size();
        if (!complete) choice.undo(taken);
        for (std::size_t i = 0; complete && i < taken.size(); ++i)
          plan.placements.push_back({index, d.tasks[i], nodes[taken[i]].id});
      }
      if (!complete) {
        plan.unplaced.push_back(index);
        continue;
      }
      team.used += all;
      continue;
    }
    std::uint32_t placed = 0;
    if (team.allows(d.need)) {
      Choice choice(nodes, d);
      for (const auto task : d.tasks) {
        if (placed >= d.room_in_zone || !team.allows(d.need)) break;
        const auto i = choice.take();
        if (!i) break;
        team.used += d.need;
        plan.placements.push_back({index, task, nodes[*i].id});
        ++placed;
      }
    }
    if (placed < d.count) plan.unplaced.push_back(index);
  }
  plan.nodes = std::move(nodes);
  plan.teams = std::move(teams);
  return plan;
}

}  // namespace finchrun::sched
