#include "sched/distribute.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace finchrun::sched {
namespace {

// The parts of `suitability`: what counts is which of two partitions has more.
constexpr double kRoomScore = 100;  // for room for all tasks now
constexpr double kImageScore = 10;  // an image that is there decides between partitions with like room
constexpr double kSpareScore = 5;   // decides between partitions that are all full, or all free enough
constexpr double kNoCapacityScore = -1000;  // tasks would wait there until machines come

// How many tasks fit beside what waits there already; below 0: even that does not fit.
double spare(const PartitionCapacity& partition) { return partition.free - partition.backlog; }

// A partition without machines still counts a little, since machines may come.
double capacity_of(const PartitionCapacity& partition) { return std::max(1.0, partition.capacity); }

// How good the partition is for so many tasks at once; higher is better.
double suitability(const PartitionCapacity& partition, double tasks) {
  double score = std::min(spare(partition), tasks) / std::max(1.0, tasks) * kRoomScore;
  if (partition.has_image) score += kImageScore;
  // Between partitions that are all full (or all free enough): the one whose queue is shortest for its size.
  score += kSpareScore * (spare(partition) / capacity_of(partition));
  if (partition.capacity <= 0) score += kNoCapacityScore;
  return score;
}

std::vector<PartitionCapacity> allowed_partitions(const std::vector<PartitionCapacity>& partitions) {
  std::vector<PartitionCapacity> allowed;
  for (const auto& partition : partitions)
    if (partition.allowed) allowed.push_back(partition);
  return allowed.empty() ? partitions : allowed;
}

// Shares of a job's tasks, given out step by step under the job's cap for each zone.
class TaskShares {
 public:
  explicit TaskShares(std::uint32_t tasks) : left_(tasks) {}

  [[nodiscard]] std::uint32_t left() const { return left_; }
  [[nodiscard]] std::uint32_t of(core::PartitionId partition) { return shares_[partition]; }
  // Gives the partition up to `wanted` more, as far as tasks are left and its zone may take them.
  void give(const PartitionCapacity& partition, double wanted, std::uint32_t zone_cap) {
    auto& in_zone = in_zone_[partition.zone];
    const auto zone_room = zone_cap - std::min(zone_cap, in_zone);
    const auto count =
        std::min({left_, zone_room, static_cast<std::uint32_t>(std::max(0.0, std::floor(wanted)))});
    shares_[partition.partition] += count;
    in_zone += count;
    left_ -= count;
  }
  // Gives the partition all that is left, whatever its zone may take.
  void give_rest(core::PartitionId partition) {
    if (left_ > 0) shares_[partition] += left_;
    left_ = 0;
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
  std::uint32_t left_;
  std::map<core::PartitionId, std::uint32_t> shares_;
  std::map<core::ZoneId, std::uint32_t> in_zone_;
};

// An equal part of the tasks for each zone, rounded up.
std::uint32_t even_zone_cap(const jobs::JobSpec& spec, const std::vector<PartitionCapacity>& partitions) {
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
  // Task by task in effect, but computed by levels: first the room that is free, then by capacity.
  std::sort(partitions.begin(), partitions.end(),
            [&](const PartitionCapacity& a, const PartitionCapacity& b) {
              return suitability(a, spec.tasks) > suitability(b, spec.tasks);
            });
  TaskShares shares(spec.tasks);
  const auto zone_cap = spec.max_tasks_per_zone();
  // A zone that is lost should take no more replicas along than it must.
  if (spec.is_service() && spec.spread) {
    const auto even_cap = even_zone_cap(spec, partitions);
    for (const auto& partition : partitions) shares.give(partition, spare(partition), even_cap);
  }
  for (const auto& partition : partitions)
    shares.give(partition, spare(partition) - shares.of(partition.partition), zone_cap);
  double capacity = 0;
  for (const auto& partition : partitions) capacity += capacity_of(partition);
  const std::uint32_t rest = shares.left();
  for (const auto& partition : partitions)
    shares.give(partition, std::ceil(rest * capacity_of(partition) / capacity), zone_cap);
  for (const auto& partition : partitions) shares.give(partition, shares.left(), zone_cap);
  // `spread` in a deployment with too few zones: what no zone may take waits in the first partition.
  shares.give_rest(partitions.front().partition);
  return shares.ranges();
}

}  // namespace finchrun::sched
