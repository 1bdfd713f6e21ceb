// What follows from the cloud's answers to the deletion of machines. Does no I/O.
#pragma once

#include <vector>

#include "autoscaling/scale_in_plan.hpp"
#include "cloud/cloud_client.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::autoscaling {

/// Marks the machines of the plan as terminating, which stops placements on them. Logs the machines whose
/// deletion failed earlier and is no longer planned.
void begin_release(controller::ControllerState& state, const std::vector<ScaleInDecision>& plan);

/// Marks the machine and its tasks as gone. Called once the cloud has confirmed its deletion, which proves it
/// (docs/design.md, "Why the rules hold", 3).
void finish_release(controller::ControllerState& state, const ScaleInDecision& decision);

/// Makes the machine available for the next plan, which requests its deletion again if it is still needed.
/// Logs the first of successive failures.
void fail_release(controller::ControllerState& state, const ScaleInDecision& decision, cloud::Error error);

}  // namespace finchrun::autoscaling
