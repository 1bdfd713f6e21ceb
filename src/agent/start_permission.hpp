// The one place that decides whether a command may start an assigned attempt: in the answer to a heartbeat,
// in a direct command, and when a direct command is sent again.
#pragma once

#include <optional>

#include "agent/fleet.hpp"
#include "state/state_cache.hpp"

namespace finchrun::agent {

/// Why no command may start an attempt.
enum class StartRefusal {
  job_not_live,     ///< its job is done or cancelled, or not known
  not_assigned,     ///< no record assigns it to this machine for the present incarnation of its agent
  counted_as_gone,  ///< its end was observed, so that the task's next attempt may run elsewhere
  preempted,        ///< it is being stopped for other work
  task_done,        ///< the task is recorded as done
  gang_broken       ///< the gang's attempt has lost a task
};
const char* name_of(StartRefusal refusal);

/// Returns why the attempt must not be started on the machine; empty if it may be. Once an attempt counts as
/// gone, it is never started again: rule `ran_twice` rests on that.
std::optional<StartRefusal> find_start_refusal(const state::StateCache& cache, const Fleet& fleet,
                                               const Machine& machine, const TaskAttempt& attempt);

/// Returns true if the assigned attempt should not run, on whatever machine.
bool is_unwanted(const state::StateCache& cache, const Fleet& fleet, const TaskAttempt& attempt);

/// Returns true if the gang's attempt has lost a task in any partition. Its remaining tasks must end before
/// the next attempt.
bool is_gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                    core::JobId id);

}  // namespace finchrun::agent
