// Parts: machines are hashed by name into K partitions within their zone. Who owns a partition is a record in
// the state service; its revision is the partition's term, the fencing token that the partition's agents
// obey.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "jobs/job.hpp"

namespace finchrun::membership {

// Stable over processes and builds: every controller must put a machine into the same part.
inline std::uint64_t stable_hash(std::string_view s) {
  std::uint64_t h = 1469598103934665603ull;
  for (unsigned char c : s) h = (h ^ c) * 1099511628211ull;
  return h ^ (h >> 29);
}

// One part a zone unless there are several controllers for each zone: a gang then stays within a partition.
inline int partitions_per_zone(const config::Settings& s, const config::Tuning& t) {
  return t.partitions_per_zone > 0 ? t.partitions_per_zone
                                   : std::max(1, s.controller_count / (2 * static_cast<int>(s.zones.size())));
}

class PartitionMap {
 public:
  PartitionMap(const config::Settings& s, const config::Tuning& t, jobs::Names& names)
      : per_zone_(partitions_per_zone(s, t)) {
    auto zones = s.zones;
    std::sort(zones.begin(), zones.end());
    for (const auto& z : zones) {
      const auto zone = names.zones.intern(z);
      for (int k = 0; k < per_zone_; ++k) {
        const auto partition = names.partitions.intern(z + "." + std::to_string(k));
        zone_of_.resize(partition.index + 1);
        zone_of_[partition.index] = zone;
      }
    }
    labels_.push_back({s.label, s.zone});
    for (const auto& m : s.members) labels_.push_back({m.label, m.zone});
    std::sort(labels_.begin(), labels_.end());
    for (std::size_t p = 0; p < zone_of_.size(); ++p)
      preference_.push_back(
          order_for(names.zones.name(zone_of_[p]), p % static_cast<std::size_t>(per_zone_)));
  }

  [[nodiscard]] std::size_t size() const { return zone_of_.size(); }
  [[nodiscard]] core::ZoneId zone(core::PartitionId p) const { return zone_of_.at(p.index); }
  // Nothing for a machine outside the deployment's zones.
  [[nodiscard]] std::optional<core::PartitionId> partition_of(std::string_view machine,
                                                              core::ZoneId zone) const {
    for (std::size_t p = 0; p < zone_of_.size(); ++p) {
      if (zone_of_[p] == zone)
        return core::PartitionId{
            static_cast<std::uint32_t>(p + stable_hash(machine) % static_cast<std::size_t>(per_zone_))};
    }
    return std::nullopt;
  }
  // Labels in the order in which they should own the partition: those in its zone first.
  [[nodiscard]] const std::vector<std::string>& preference(core::PartitionId p) const {
    return preference_.at(p.index);
  }

 private:
  std::vector<std::string> order_for(const std::string& zone, std::size_t turn) const {
    std::vector<std::string> inside, outside;
    for (const auto& [label, z] : labels_) (z == zone ? inside : outside).push_back(label);
    auto turned = [&](std::vector<std::string>& v) {
      if (!v.empty())
        std::rotate(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(turn % v.size()), v.end());
    };
    turned(inside);
    turned(outside);
    inside.insert(inside.end(), outside.begin(), outside.end());
    return inside;
  }

  int per_zone_;
  std::vector<core::ZoneId> zone_of_;
  std::vector<std::pair<std::string, std::string>> labels_;
  std::vector<std::vector<std::string>> preference_;
};

}  // namespace finchrun::membership
