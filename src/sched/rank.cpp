#include "sched/rank.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace finchrun::sched {
namespace {

// Avoid division by zero for tasks without cores and for a total cost of 0.
constexpr double kMinCpus = 0.01;
constexpr double kMinCost = 1e-9;
constexpr double kPercent = 100;

// Sums and maxima over the whole queue, by which the costs are scaled.
struct QueueTotals {
  double tasks = 0;
  double cpus_max = kMinCpus;
  std::unordered_map<core::ImageId, double> tasks_of_image;
  double max_tasks_of_image = 0;
  double size_sum = 0;  // sum of `unscaled_size` over all tasks
};

// Returns the cores of the largest task divided by the cores of this task.
double unscaled_size(double cpus, double cpus_max) { return cpus_max / std::max(cpus, kMinCpus); }

QueueTotals totals_of(const std::vector<QueuedTasks>& queue) {
  QueueTotals totals;
  for (const auto& entry : queue) {
    totals.tasks += entry.count;
    totals.tasks_of_image[entry.image] += entry.count;
    totals.cpus_max = std::max(totals.cpus_max, entry.cpus);
  }
  for (const auto& [image, tasks] : totals.tasks_of_image)
    totals.max_tasks_of_image = std::max(totals.max_tasks_of_image, tasks);
  for (const auto& entry : queue)
    totals.size_sum += entry.count * totals.cpus_max / std::max(entry.cpus, kMinCpus);
  return totals;
}

}  // namespace

std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors) {
  const auto totals = totals_of(queue);
  const double usage_sum = std::accumulate(usage.begin(), usage.end(), 0.0);
  std::vector<Costs> out;
  out.reserve(queue.size());
  // Equations 4 to 8 of the paper, see rank.hpp.
  for (const auto& entry : queue) {
    Costs costs;
    costs.image = totals.max_tasks_of_image / totals.tasks_of_image.at(entry.image) * kPercent / totals.tasks;
    costs.size = unscaled_size(entry.cpus, totals.cpus_max) * kPercent / totals.size_sum;
    costs.usage = usage_sum > 0 ? usage.at(entry.team.index) / usage_sum * kPercent : 0;
    costs.total = factors.image * costs.image + factors.size * costs.size + factors.usage * costs.usage;
    costs.weight = shares.at(entry.team.index) / std::max(costs.total, kMinCost);
    out.push_back(costs);
  }
  return out;
}

}  // namespace finchrun::sched
