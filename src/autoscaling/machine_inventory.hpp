// Keeps the fleet in line with the cloud's list and with the records. Does no I/O.
#pragma once

#include <string>
#include <vector>

#include "autoscaling/capacity_backoff.hpp"
#include "cloud/cloud_client.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::autoscaling {

/// Returns the identity of a machine of this kind. Its partition is not valid outside the deployment's zones.
agent::MachineIdentity identity_of(controller::ControllerState& state, const std::string& machine,
                                   const MachineKind& kind);

/// Applies the cloud's list. A complete list shows which machines are not listed any more; of these, the ones
/// without recorded assignments that have been silent for long are removed.
void apply_machine_list(controller::ControllerState& state, const cloud::MachineList& list,
                        core::TimePoint now);

/// Aligns the fleet with the machines that the records of this controller's partitions name: what is recorded
/// on a deleted machine has ended, and a machine that is neither listed nor heard is added, so that it can be
/// released.
void reconcile_recorded_machines(controller::ControllerState& state, core::TimePoint now);

/// Logs once for each machine that tasks of this controller's partitions are recorded on it, although it has
/// been silent for longer than any rule keeps a silent machine.
void log_silent_recorded_machines(controller::ControllerState& state, core::TimePoint now);

}  // namespace finchrun::autoscaling
