#include "sched/distribute.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace finchrun::sched {
namespace {

// How good the partition is for so many tasks at once; higher is better.
double suits(const PartitionCapacity& p, double tasks) {
  const double spare = p.free - p.backlog;
  double score = std::min(spare, tasks) / std::max(1.0, tasks) * 100;
  if (p.has_image) score += 10;
  // Between partitions that are all full (or all free enough): the one whose queue is shortest for its size.
  score += 5 * (spare / std::max(1.0, p.capacity));
  if (p.capacity <= 0) score -= 1000;
  return score;
}

}  // namespace

std::vector<jobs::Range> distribute(const jobs::JobSpec& spec,
                                    const std::vector<PartitionCapacity>& partitions) {
  std::vector<PartitionCapacity> open;
  for (const auto& p : partitions)
    if (p.allowed) open.push_back(p);
  if (open.empty()) open = partitions;

  if (spec.gang() || spec.one_zone) {
    const auto best = std::max_element(open.begin(), open.end(),
                                       [&](const PartitionCapacity& a, const PartitionCapacity& b) {
                                         return suits(a, spec.tasks) < suits(b, spec.tasks);
                                       });
    return {{0, spec.tasks, best->partition}};
  }
  // Task by task in effect, but computed by levels: first the room that is free, then by capacity.
  std::map<core::PartitionId, std::uint32_t> share;
  std::map<core::ZoneId, std::uint32_t> in_zone;
  std::uint32_t left = spec.tasks;
  const auto grant_lease = [&](const PartitionCapacity& p, double requested, std::uint32_t most_in_zone) {
    const auto cap = most_in_zone - std::min(most_in_zone, in_zone[p.zone]);
    const auto n = std::min({left, cap, static_cast<std::uint32_t>(std::max(0.0, std::floor(requested)))});
    share[p.partition] += n;
    in_zone[p.zone] += n;
    left -= n;
  };
  std::sort(open.begin(), open.end(), [&](const PartitionCapacity& a, const PartitionCapacity& b) {
    return suits(a, spec.tasks) > suits(b, spec.tasks);
  });
  // A zone that is lost should take no more replicas along than it must.
  if (spec.standing() && spec.spread) {
    std::set<core::ZoneId> zones;
    for (const auto& p : open) zones.insert(p.zone);
    const auto even = (spec.tasks + static_cast<std::uint32_t>(zones.size()) - 1) / zones.size();
    for (const auto& p : open)
      grant_lease(p, p.free - p.backlog, std::min(spec.zone_cap(), static_cast<std::uint32_t>(even)));
  }
  for (const auto& p : open) grant_lease(p, p.free - p.backlog - share[p.partition], spec.zone_cap());
  double capacity = 0;
  for (const auto& p : open) capacity += std::max(1.0, p.capacity);
  const std::uint32_t rest = left;
  for (const auto& p : open)
    grant_lease(p, std::ceil(rest * std::max(1.0, p.capacity) / capacity), spec.zone_cap());
  for (const auto& p : open) grant_lease(p, left, spec.zone_cap());
  // `spread` in a deployment with too few zones: what no zone may take waits in the first part.
  if (left > 0) share[open.front().partition] += left;

  std::vector<jobs::Range> out;
  std::uint32_t at = 0;
  for (const auto& [partition, n] : share) {
    if (n == 0) continue;
    out.push_back({at, at + n, partition});
    at += n;
  }
  return out;
}

}  // namespace finchrun::sched
