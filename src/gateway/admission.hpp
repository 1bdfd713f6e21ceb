// Decides on submissions and cancellations, from the shared state alone. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "controller/controller_state.hpp"
#include "state/key_value_store.hpp"
#include "wire/messages.hpp"

namespace finchrun::gateway {

/// Why a job can never run in this deployment. The user gets status 422, which is final.
enum class InfeasibleReason {
  unknown_team,
  fits_no_machine_type,      ///< no allowed type in an allowed zone holds even one task
  over_team_limit,           ///< the tasks that must run at the same time exceed the team's limit
  single_zone_with_spread,   ///< requests both a single zone and several zones
  spread_needs_second_zone,  ///< requests several zones, but its tasks fit in one only
  gang_too_large,            ///< one transaction can't record the assignments of all of its tasks
  types_too_long,  ///< the record exceeds the store's value limit, mostly because of the allowed types
  image_too_long,  ///< the record exceeds the store's value limit, mostly because of the image name
};
/// Returns the error text for the user.
std::string_view error_text(InfeasibleReason reason);

/// The job was accepted before. The answer is its state, so that submissions are idempotent.
struct AlreadyAccepted {};
/// The job can never run, according to this controller's settings, machine types and state.
struct Infeasible {
  InfeasibleReason reason;
};
/// The state or the machine types have not been loaded yet.
struct NotReady {};
/// The job is a service, and a controller of an earlier version is running, which would treat the replicas as
/// tasks that complete.
struct AwaitingUpgrade {};
/// The job is accepted once this transaction is committed. The transaction fails if the job is already
/// recorded, so that of two concurrent submissions one conflicts.
struct Admitted {
  state::Transaction transaction;
};
using Admission = std::variant<AlreadyAccepted, Infeasible, NotReady, AwaitingUpgrade, Admitted>;

/// Returns the reason why the deployment can never run the job; empty if it can. `state` must have the
/// machine types.
std::optional<InfeasibleReason> infeasible_reason(const controller::ControllerState& state,
                                                  const wire::Submission& submission);

/// Decides on a submission. For a feasible job, interns its names and adds its tasks to the waiting demand in
/// `state.cluster_load`, so that the next submissions are distributed accordingly. `wall_s`: seconds since
/// 1970, recorded as the time of submission.
Admission decide_admission(controller::ControllerState& state, const wire::Submission& submission,
                           core::TimePoint now, double wall_s);

/// The state cache has no record of the job. Only a linearizable read proves that there is none.
struct UnknownJob {};
/// The job is done or cancelled; both states are final.
struct AlreadyFinished {
  core::JobId job;
};
/// The job is live. This transaction cancels it, unless its record has changed since the cached revision.
struct Cancellable {
  core::JobId job;
  state::Transaction transaction;
};
using CancellationDecision = std::variant<UnknownJob, AlreadyFinished, Cancellable>;

CancellationDecision decide_cancellation(const controller::ControllerState& state, const std::string& job);

}  // namespace finchrun::gateway
