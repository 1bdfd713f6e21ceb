// What the cloud rents out, and what of it was refused a moment ago.
#pragma once

#include <compare>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace finchrun::autoscaling {

/// What a request to the cloud names: a machine type in a zone, as a spot instance or on demand.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// Kinds that are not asked for again for a while, since the cloud had no capacity or gave no answer.
class CapacityBackoff {
 public:
  void back_off(const MachineKind& kind, core::TimePoint until) { until_[kind] = until; }
  /// False again from the end of the back-off on.
  [[nodiscard]] bool backing_off(const MachineKind& kind, core::TimePoint now) const {
    const auto it = until_.find(kind);
    return it != until_.end() && it->second > now;
  }

 private:
  std::map<MachineKind, core::TimePoint> until_;
};

}  // namespace finchrun::autoscaling
