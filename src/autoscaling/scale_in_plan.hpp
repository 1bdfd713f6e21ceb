// Plans which machines to release, from a snapshot. The Autoscaler carries the plan out.
#pragma once

#include <string>
#include <vector>

#include "controller/controller_state.hpp"

namespace finchrun::autoscaling {

/// The reason why a machine is released: the first that applies, in this order.
enum class ScaleInReason {
  failed,         ///< the cloud lists it as failed
  unlisted,       ///< in use and silent, and not listed, but no list has proved it gone yet
  silent,         ///< listed as running, without heartbeats for longer than its lease and a grace period
  never_came_up,  ///< listed as starting for much longer than a boot takes
  quarantined,    ///< tasks of several jobs failed on it, and no task runs on it any more
  unreachable,    ///< its heartbeats arrive, but its leases expire: the controller's answers do not reach it
  idle,           ///< no task has run on it for `scale_in_idle_s`
};
/// The name in logs.
const char* name_of(ScaleInReason reason);

struct ScaleInDecision {
  core::MachineId machine;
  std::string name;
  ScaleInReason reason = ScaleInReason::idle;
};

/// The machines to release, in the order of their requests.
struct ScaleInPlan {
  std::vector<ScaleInDecision> request;    ///< the machines to release now, in one request
  std::vector<ScaleInDecision> postponed;  ///< machines to release that the request has no room for
};

/// Plans the release of machines in partitions that this controller leads. The request names the machine
/// whose deletion was requested least recently, and others of which as many requests were refused, at most
/// `max_release_batch`. Empty while the state is not current: a controller that was cut off from the network
/// would see only silent machines, and might still believe that it leads a partition.
ScaleInPlan plan_scale_in(const controller::ControllerState& state, core::TimePoint now);

/// Returns true if the last read of the store is recent enough to decide on releases.
bool is_current(const controller::ControllerState& state, core::TimePoint now);

inline constexpr std::size_t kMaxReleasesPerPlan = 50;
inline constexpr int kMaxReleaseHalvings = 6;  // down to a request for one machine

/// Returns the number of machines that a request to delete this one may name. It halves with each request
/// that failed, so that a machine which the cloud refuses to delete does not keep others from being deleted.
std::size_t max_release_batch(const agent::Machine& machine);

}  // namespace finchrun::autoscaling
