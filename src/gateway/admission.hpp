// What becomes of a submission or a cancellation, decided from the state alone: nothing here talks to anyone.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "controller/controller_state.hpp"
#include "state/key_value_store.hpp"
#include "wire/messages.hpp"

namespace finchrun::gateway {

/// Why a job can never run in this deployment. Each is final to the user: 422.
enum class Impossible {
  unknown_team,
  fits_no_machine_type,       ///< no allowed type in an allowed zone holds even one task
  over_team_limit,            ///< what has to run at the same time is more than the team may ever book
  one_zone_and_spread,        ///< asks for one zone and for several
  no_second_zone,             ///< asks for several zones, and only one can hold its tasks
  too_many_to_start_at_once,  ///< a gang of more assignments than one transaction may record
  types_too_long,             ///< the record would exceed the store's limit on values, mostly by the types
  image_too_long,             ///< the same, mostly by the image's name
};
/// The text that the user gets.
std::string_view text_of(Impossible reason);

/// The job was accepted before: its state is the answer, so that a repeated submission is idempotent.
struct AlreadyKnown {};
/// The job can never run, as far as this controller's copy of the state shows.
struct NeverRuns {
  Impossible reason;
};
/// The state or the machine types have not been read yet.
struct NotReady {};
/// A service, while some controller of an earlier version runs: it would take the replicas for tasks that
/// end.
struct TooEarlyForUpgrade {};
/// The job is to be accepted by this transaction. It compares that no record of the job exists, so of two
/// submissions at the same time one conflicts.
struct Admitted {
  state::Transaction transaction;
};
using Admission = std::variant<AlreadyKnown, NeverRuns, NotReady, TooEarlyForUpgrade, Admitted>;

/// Nothing if the deployment can run the job; else why it never can. `state` must know the machine types.
std::optional<Impossible> why_never_runs(const controller::ControllerState& state,
                                         const wire::Submission& submission);

/// Decides on a submission. If it is to be recorded, its names are interned and its tasks are counted as
/// waiting in `state.load`, so that submissions of the next moment are distributed with them in view.
/// `wall_s`: seconds since 1970, recorded as the time of submission.
Admission decide_admission(controller::ControllerState& state, const wire::Submission& submission,
                           core::TimePoint now, double wall_s);

/// No record of the job is known here; that proves nothing until a linearizable read.
struct UnknownJob {};
/// The job is done or cancelled, which can't change any more.
struct AlreadyOver {
  core::JobId job;
};
/// The job lives: this transaction cancels it, provided that its record is still of the revision known here.
struct Cancellable {
  core::JobId job;
  state::Transaction transaction;
};
using CancellationDecision = std::variant<UnknownJob, AlreadyOver, Cancellable>;

CancellationDecision decide_cancellation(const controller::ControllerState& state, const std::string& job);

}  // namespace finchrun::gateway
