// When a machine and its tasks are gone: by the cloud's answer to its deletion, or by the cloud's list. Does
// no I/O.
#pragma once

#include "autoscaling/scale_in_plan.hpp"
#include "cloud/cloud_client.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::autoscaling {

/// Marks the machines of the plan's request as terminating, which stops placements on them. Logs the machines
/// whose deletion failed earlier and is no longer planned.
void begin_release(controller::ControllerState& state, const ScaleInPlan& plan, core::TimePoint now);

/// Marks the machine and its tasks as gone. Called once the cloud has confirmed its deletion, which proves it
/// (docs/design.md, "Why the rules hold", 3).
void finish_release(controller::ControllerState& state, const ScaleInDecision& decision);

/// Makes the machine available for the next plan, which requests its deletion again if it is still needed.
/// Logs the first of successive failures. `cloud_available`: the cloud has answered its list just before, so
/// the failure may be due to a machine of the request.
void fail_release(controller::ControllerState& state, const ScaleInDecision& decision, cloud::Error error,
                  bool cloud_available);

/// Called after a request that the cloud confirmed: machines whose earlier requests were refused may share
/// larger requests again, since the cause may have been the cloud.
void forgive_refused_releases(controller::ControllerState& state);

/// Returns the largest age of a list of the cloud, in seconds, by this process's clock.
double max_list_age_s(const config::Settings& settings);

/// Returns true if the list proves that the machine, which has existed since `last_seen` or earlier, is gone
/// (docs/design.md, "Why the rules hold", 3): it is complete, describes the cloud later than `last_seen`, and
/// does not name the machine (`is_listed`).
bool proves_gone(const cloud::MachineList& list, bool is_listed, core::TimePoint last_seen,
                 const config::Settings& settings);

/// Marks the machines and tasks as gone that are recorded in this controller's partitions and that the list
/// proves gone. `apply_machine_list` must have applied the list. Does nothing while the state is not current.
void finish_missing_machines(controller::ControllerState& state, const cloud::MachineList& list,
                             core::TimePoint now);

}  // namespace finchrun::autoscaling
