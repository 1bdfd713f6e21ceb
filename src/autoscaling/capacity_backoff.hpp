// Kinds of machines that the cloud rents out, and the backoff for those that it refused lately.
#pragma once

#include <compare>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace finchrun::autoscaling {

/// A machine type in a zone, as a spot instance or on demand: the unit of requests to the cloud.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// Kinds that are not requested for a while, since the cloud had no capacity or the request failed.
class CapacityBackoff {
 public:
  void back_off(const MachineKind& kind, core::TimePoint until) { until_[kind] = until; }
  /// False from the end of the backoff on.
  [[nodiscard]] bool is_backed_off(const MachineKind& kind, core::TimePoint now) const {
    const auto it = until_.find(kind);
    return it != until_.end() && it->second > now;
  }

 private:
  std::map<MachineKind, core::TimePoint> until_;
};

}  // namespace finchrun::autoscaling
