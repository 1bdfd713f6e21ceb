#include "sched/distribute.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace finchrun::sched {
namespace {

// Terms of `suitability`. Only the order of the partitions' scores matters, not their values.
constexpr double kFreeCapacityScore = 100;  // if all tasks fit now
constexpr double kImageScore = 10;          // decides between similar free capacities
constexpr double kQueueLengthScore = 5;     // decides if all are full or have enough free capacity
constexpr double kNoCapacityScore = -1000;  // tasks would wait until machines are added

// Returns the free capacity that the backlog leaves; negative if the backlog itself does not fit.
double free_after_backlog(const PartitionCapacity& partition) { return partition.free - partition.backlog; }

// Returns the weight of the partition when tasks wait. It is small, but not 0, for a partition without
// machines, since machines may be added.
double capacity_weight(const PartitionCapacity& partition) { return std::max(1.0, partition.capacity); }

// Returns a score of the partition for this many tasks of the job; the highest score is best.
double suitability(const PartitionCapacity& partition, double tasks) {
  double score = std::min(free_after_backlog(partition), tasks) / std::max(1.0, tasks) * kFreeCapacityScore;
  if (partition.has_image) score += kImageScore;
  // If all partitions are full, or all have enough free capacity, prefers the shortest queue per capacity.
  score += kQueueLengthScore * (free_after_backlog(partition) / capacity_weight(partition));
  if (partition.capacity <= 0) score += kNoCapacityScore;
  return score;
}

std::vector<PartitionCapacity> allowed_partitions(const std::vector<PartitionCapacity>& partitions) {
  std::vector<PartitionCapacity> allowed;
  for (const auto& partition : partitions)
    if (partition.allowed) allowed.push_back(partition);
  return allowed.empty() ? partitions : allowed;
}

// Numbers of tasks assigned to each partition, within the job's limit for each zone.
class TaskShares {
 public:
  explicit TaskShares(std::uint32_t tasks) : remaining_(tasks) {}

  [[nodiscard]] std::uint32_t remaining() const { return remaining_; }
  [[nodiscard]] std::uint32_t assigned_to(core::PartitionId partition) { return shares_[partition]; }
  // Assigns up to `wanted` more tasks to the partition, limited by the remaining tasks and the zone limit.
  void assign(const PartitionCapacity& partition, double wanted, std::uint32_t zone_limit) {
    auto& in_zone = in_zone_[partition.zone];
    const auto zone_room = zone_limit - std::min(zone_limit, in_zone);
    const auto count =
        std::min({remaining_, zone_room, static_cast<std::uint32_t>(std::max(0.0, std::floor(wanted)))});
    shares_[partition.partition] += count;
    in_zone += count;
    remaining_ -= count;
  }
  // Assigns all remaining tasks to the partition, regardless of the zone limit.
  void assign_remaining(core::PartitionId partition) {
    if (remaining_ > 0) shares_[partition] += remaining_;
    remaining_ = 0;
  }
  [[nodiscard]] std::vector<jobs::TaskRange> ranges() const {
    std::vector<jobs::TaskRange> ranges;
    std::uint32_t from = 0;
    for (const auto& [partition, count] : shares_) {
      if (count == 0) continue;
      ranges.push_back({from, from + count, partition});
      from += count;
    }
    return ranges;
  }

 private:
  std::uint32_t remaining_;
  std::map<core::PartitionId, std::uint32_t> shares_;
  std::map<core::ZoneId, std::uint32_t> in_zone_;
};

// Returns an equal share of the tasks for each zone, rounded up, within the job's limit for each zone.
std::uint32_t even_zone_limit(const jobs::JobSpec& spec, const std::vector<PartitionCapacity>& partitions) {
  std::set<core::ZoneId> zones;
  for (const auto& partition : partitions) zones.insert(partition.zone);
  const auto count = static_cast<std::uint32_t>(zones.size());
  return std::min(spec.max_tasks_per_zone(), (spec.tasks + count - 1) / count);
}

}  // namespace

std::vector<jobs::TaskRange> distribute(const jobs::JobSpec& spec,
                                        const std::vector<PartitionCapacity>& all_partitions) {
  auto partitions = allowed_partitions(all_partitions);
  if (spec.is_gang() || spec.single_zone) {
    const auto best = std::max_element(partitions.begin(), partitions.end(),
                                       [&](const PartitionCapacity& a, const PartitionCapacity& b) {
                                         return suitability(a, spec.tasks) < suitability(b, spec.tasks);
                                       });
    return {{0, spec.tasks, best->partition}};
  }
  // Assigns tasks in bulk, with the effect of assigning them one by one: first to free capacity, then in
  // proportion to total capacity.
  std::sort(partitions.begin(), partitions.end(),
            [&](const PartitionCapacity& a, const PartitionCapacity& b) {
              return suitability(a, spec.tasks) > suitability(b, spec.tasks);
            });
  TaskShares shares(spec.tasks);
  const auto zone_limit = spec.max_tasks_per_zone();
  // Spreads replicas evenly over zones: an uneven spread would lose more of them than necessary in a zone
  // outage.
  if (spec.is_service() && spec.spread) {
    const auto even_limit = even_zone_limit(spec, partitions);
    for (const auto& partition : partitions)
      shares.assign(partition, free_after_backlog(partition), even_limit);
  }
  for (const auto& partition : partitions)
    shares.assign(partition, free_after_backlog(partition) - shares.assigned_to(partition.partition),
                  zone_limit);
  double capacity = 0;
  for (const auto& partition : partitions) capacity += capacity_weight(partition);
  const std::uint32_t rest = shares.remaining();
  for (const auto& partition : partitions)
    shares.assign(partition, std::ceil(rest * capacity_weight(partition) / capacity), zone_limit);
  for (const auto& partition : partitions) shares.assign(partition, shares.remaining(), zone_limit);
  // With `spread` and too few zones, tasks beyond all zone limits wait in the first partition.
  shares.assign_remaining(partitions.front().partition);
  return shares.ranges();
}

}  // namespace finchrun::sched
