// Which machines to return to the cloud: decided from a snapshot, carried out by the Autoscaler.
#pragma once

#include <string>
#include <vector>

#include "controller/controller_state.hpp"

namespace finchrun::autoscaling {

/// Why a machine is returned. The first that applies, in this order.
enum class ScaleInReason {
  failed,         ///< the cloud lists it as failed
  unlisted,       ///< in use and silent, and the cloud lists it no more: the deletion's answer makes its end
                  ///< certain
  silent,         ///< listed as running, and its heartbeats have stopped for longer than its lease and a wait
  never_came_up,  ///< listed as starting for much longer than a boot takes
  quarantined,    ///< tasks of several jobs failed on it, and nothing runs there any more
  unreachable,    ///< its heartbeats come, but its leases run out: nothing that we answer arrives there
  idle,           ///< nothing has run on it for `idle_return_s`
};
/// As logs show it.
const char* name_of(ScaleInReason reason);

struct ScaleInDecision {
  core::MachineId machine;
  std::string name;
  ScaleInReason reason = ScaleInReason::idle;
};

/// Machines of the partitions that this controller leads that should be returned now, at most
/// `kMostReturnedAtOnce`. Nothing while the state is not current: a controller that was cut off sees only
/// silent machines, and may take another leader's partition for its own.
std::vector<ScaleInDecision> plan_scale_in(const controller::ControllerState& state, core::TimePoint now);

/// The newest read of the store's changes is recent enough to return machines by.
bool is_current(const controller::ControllerState& state, core::TimePoint now);

inline constexpr std::size_t kMostReturnedAtOnce = 50;

}  // namespace finchrun::autoscaling
