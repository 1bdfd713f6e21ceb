#include "sched/rank.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace finchrun::sched {
namespace {

// A task that asks for no cores at all would cost infinitely much; and a weight needs a cost above 0.
constexpr double kLeastCpus = 0.01;
constexpr double kLeastCost = 1e-9;
constexpr double kPercent = 100;

// Sums and maxima over the whole queue, against which the paper scales each cost.
struct QueueTotals {
  double tasks = 0;
  double cpus_max = kLeastCpus;
  std::unordered_map<core::ImageId, double> tasks_of_image;
  double tasks_of_image_max = 0;
  double size_sum = 0;  // of all tasks' `raw_size`
};

// Before scaling: how often a task's cores go into those of the largest task.
double raw_size(double cpus, double cpus_max) { return cpus_max / std::max(cpus, kLeastCpus); }

QueueTotals totals_of(const std::vector<QueuedTasks>& queue) {
  QueueTotals totals;
  for (const auto& entry : queue) {
    totals.tasks += entry.count;
    totals.tasks_of_image[entry.image] += entry.count;
    totals.cpus_max = std::max(totals.cpus_max, entry.cpus);
  }
  for (const auto& [image, tasks] : totals.tasks_of_image)
    totals.tasks_of_image_max = std::max(totals.tasks_of_image_max, tasks);
  for (const auto& entry : queue)
    totals.size_sum += entry.count * totals.cpus_max / std::max(entry.cpus, kLeastCpus);
  return totals;
}

}  // namespace

std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors) {
  const auto totals = totals_of(queue);
  const double usage_sum = std::accumulate(usage.begin(), usage.end(), 0.0);
  std::vector<Costs> out;
  out.reserve(queue.size());
  // Equations 4 to 8 of the paper.
  for (const auto& entry : queue) {
    Costs costs;
    costs.image = totals.tasks_of_image_max / totals.tasks_of_image.at(entry.image) * kPercent / totals.tasks;
    costs.size = raw_size(entry.cpus, totals.cpus_max) * kPercent / totals.size_sum;
    costs.usage = usage_sum > 0 ? usage.at(entry.team.index) / usage_sum * kPercent : 0;
    costs.total = factors.image * costs.image + factors.size * costs.size + factors.usage * costs.usage;
    costs.weight = shares.at(entry.team.index) / std::max(costs.total, kLeastCost);
    out.push_back(costs);
  }
  return out;
}

}  // namespace finchrun::sched
