// Plans which machines to rent for the backlog, from a snapshot. The Autoscaler carries the plan out.
#pragma once

#include <vector>

#include "autoscaling/capacity_backoff.hpp"
#include "controller/controller_state.hpp"
#include "scheduling/backlog.hpp"

namespace finchrun::autoscaling {

/// The number of machines of one kind that the backlog needs.
struct ScaleOutRequest {
  MachineKind kind;
  double machines = 0;  // fractional: waiting tasks divided by tasks per machine
};

/// Returns the machines to rent for the tasks of the backlog that starting machines can't take, summed by
/// kind, the most needed kind first. Each job gets the kind with the lowest price per task that it may use,
/// that its zone offers and that is not backed off. Tasks beyond a team's limit (rule `quota`) are left out,
/// since they could not start.
std::vector<ScaleOutRequest> plan_scale_out(const controller::ControllerState& state,
                                            const scheduling::Backlog& backlog,
                                            const CapacityBackoff& backoff, core::TimePoint now);

/// Returns the number of machines in one request to the cloud. Tasks that end meanwhile free capacity too, so
/// a request covers only half of a large need. A need of up to `batch` machines (the tuning value
/// `scale_out_batch`) is covered in full.
int machines_in_one_request(double machines, int batch);

}  // namespace finchrun::autoscaling
