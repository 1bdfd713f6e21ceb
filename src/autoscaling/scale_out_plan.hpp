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

/// For the tasks of the backlog that starting machines can't take: the kind with the lowest price per task
/// that the job may use, that its zone offers and that is not backed off. Summed by kind, the most needed
/// first. Excludes tasks beyond a team's limit (rule `quota`), which could not start.
std::vector<ScaleOutRequest> plan_scale_out(const controller::ControllerState& state,
                                            const scheduling::Backlog& backlog,
                                            const CapacityBackoff& backoff, core::TimePoint now);

/// The number of machines in one request to the cloud. Tasks that end meanwhile free capacity too, so a
/// request covers only half of a large need. `batch` is the operators' `scale_out_batch`.
int machines_in_one_request(double machines, int batch);

}  // namespace finchrun::autoscaling
