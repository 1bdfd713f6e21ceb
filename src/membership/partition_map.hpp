// Partitions: machines are hashed by name into K partitions within their zone. The leader of a partition is
// a record in the key-value store; its revision is the fencing token that the partition's agents check.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "jobs/job.hpp"

namespace finchrun::membership {

// FNV-1a with another offset basis and a final mix. It is the same in all processes and builds: every
// controller must map a machine to the same partition.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ull;
  return hash ^ (hash >> 29);
}

// Returns the number in the tuning if it is set, else one for every two controllers of a zone, at least one.
// A gang stays within a partition, so a zone is not divided among few controllers.
inline int partitions_per_zone(const config::Settings& settings, const config::Tuning& tuning) {
  return tuning.partitions_per_zone > 0
             ? tuning.partitions_per_zone
             : std::max(1, settings.controller_count / (2 * static_cast<int>(settings.zones.size())));
}

/// The partitions of the deployment, and the order in which controllers should lead each.
class PartitionMap {
 public:
  PartitionMap(const config::Settings& settings, const config::Tuning& tuning, jobs::Names& names)
      : per_zone_(partitions_per_zone(settings, tuning)) {
    auto zones = settings.zones;
    std::sort(zones.begin(), zones.end());
    for (const auto& zone_name : zones) {
      const auto zone = names.zones.intern(zone_name);
      for (int number = 0; number < per_zone_; ++number) {
        const auto partition = names.partitions.intern(zone_name + "." + std::to_string(number));
        zones_.resize(partition.index + 1);
        zones_[partition.index] = zone;
      }
    }
    labels_and_zones_.push_back({settings.label, settings.zone});
    for (const auto& member : settings.members) labels_and_zones_.push_back({member.label, member.zone});
    std::sort(labels_and_zones_.begin(), labels_and_zones_.end());
    for (std::size_t index = 0; index < zones_.size(); ++index)
      preferences_.push_back(
          leader_order(names.zones.name(zones_[index]), index % static_cast<std::size_t>(per_zone_)));
  }

  [[nodiscard]] std::size_t size() const { return zones_.size(); }
  [[nodiscard]] core::ZoneId zone(core::PartitionId partition) const { return zones_.at(partition.index); }
  /// Returns nullopt for a machine outside the deployment's zones.
  [[nodiscard]] std::optional<core::PartitionId> partition_of(std::string_view machine,
                                                              core::ZoneId zone) const {
    for (std::size_t index = 0; index < zones_.size(); ++index) {
      if (zones_[index] == zone)
        return core::PartitionId{
            static_cast<std::uint32_t>(index + stable_hash(machine) % static_cast<std::size_t>(per_zone_))};
    }
    return std::nullopt;
  }
  /// Labels in the order of preference as leaders of the partition: those in its zone first.
  [[nodiscard]] const std::vector<std::string>& leader_preference(core::PartitionId partition) const {
    return preferences_.at(partition.index);
  }

 private:
  std::vector<std::string> leader_order(const std::string& zone, std::size_t rotation) const {
    std::vector<std::string> inside, outside;
    for (const auto& [label, label_zone] : labels_and_zones_)
      (label_zone == zone ? inside : outside).push_back(label);
    auto rotate = [&](std::vector<std::string>& labels) {
      if (!labels.empty())
        std::rotate(labels.begin(), labels.begin() + static_cast<std::ptrdiff_t>(rotation % labels.size()),
                    labels.end());
    };
    rotate(inside);
    rotate(outside);
    inside.insert(inside.end(), outside.begin(), outside.end());
    return inside;
  }

  int per_zone_;
  std::vector<core::ZoneId> zones_;
  std::vector<std::pair<std::string, std::string>> labels_and_zones_;
  std::vector<std::vector<std::string>> preferences_;
};

}  // namespace finchrun::membership
