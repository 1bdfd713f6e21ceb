#include "sched/rank.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace finchrun::sched {

std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors) {
  // A task that asks for no cores at all would cost infinitely much; and a weight needs a cost above 0.
  constexpr double kLeastCpus = 0.01;
  constexpr double kLeastCost = 1e-9;

  double length = 0;
  double cpus_max = kLeastCpus;
  std::unordered_map<core::ImageId, double> per_image;
  for (const auto& w : queue) {
    length += w.count;
    per_image[w.image] += w.count;
    cpus_max = std::max(cpus_max, w.cpus);
  }
  double image_max = 0;
  for (const auto& [image, n] : per_image) image_max = std::max(image_max, n);
  double size_sum = 0;
  for (const auto& w : queue) size_sum += w.count * cpus_max / std::max(w.cpus, kLeastCpus);
  const double usage_sum = std::accumulate(usage.begin(), usage.end(), 0.0);

  std::vector<Costs> out;
  out.reserve(queue.size());
  for (const auto& w : queue) {
    Costs c;
    c.image = image_max / per_image[w.image] * 100 / length;
    c.size = cpus_max / std::max(w.cpus, kLeastCpus) * 100 / size_sum;
    c.usage = usage_sum > 0 ? usage.at(w.team.index) / usage_sum * 100 : 0;
    c.total = factors.image * c.image + factors.size * c.size + factors.usage * c.usage;
    c.weight = shares.at(w.team.index) / std::max(c.total, kLeastCost);
    out.push_back(c);
  }
  return out;
}

}  // namespace finchrun::sched
