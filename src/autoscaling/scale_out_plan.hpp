// Which machines to rent for the backlog: decided from a snapshot, carried out by the Autoscaler.
#pragma once

#include <vector>

#include "autoscaling/capacity_backoff.hpp"
#include "controller/controller_state.hpp"
#include "scheduling/backlog.hpp"

namespace finchrun::autoscaling {

/// How much of one kind of machine the backlog needs.
struct ScaleOutRequest {
  MachineKind kind;
  double machines = 0;  // fractions: tasks that wait over tasks that a machine takes
};

/// For each job of the backlog that stays after the room on its way is filled: the kind that costs least per
/// task, among those that the job may use, that its zone has and that are not backed off. Added up by kind,
/// the most needed first. Nothing beyond a team's limit (rule `quota`): such tasks could not start.
std::vector<ScaleOutRequest> plan_scale_out(const controller::ControllerState& state,
                                            const scheduling::Backlog& backlog,
                                            const CapacityBackoff& backoff, core::TimePoint now);

/// How many machines one request to the cloud asks for. Work that ends in the meantime frees room too, so a
/// large need is met by halves; `batch` is the operators' `scale_out_batch`.
int machines_in_one_request(double machines, int batch);

}  // namespace finchrun::autoscaling
