// Interprets an agent's heartbeat and decides on the answer. Does no I/O.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/fleet.hpp"
#include "state/state_cache.hpp"

namespace finchrun::agent {

/// Recent failures of one job's tasks.
struct JobFailures {
  std::set<core::MachineId> machines;  ///< machines on which tasks of the job failed recently
  int failures = 0;                    ///< total number, not only recent ones
  core::TimePoint last_failure{};
  core::TimePoint retry_at{};  ///< no task of the job is placed before

  /// Records a failure. Failures on several machines indicate a fault of the job, so its next placement is
  /// delayed, by a backoff that grows with the number of machines.
  void record(core::MachineId machine, core::TimePoint now);
};

/// The state that a heartbeat is compared with.
struct HeartbeatContext {
  jobs::Names& names;
  state::StateCache& cache;
  Fleet& fleet;
  std::unordered_map<core::JobId, JobFailures>& job_failures;
  FencingTokens tokens;  ///< of the machine's partition, which this controller leads
  core::TimePoint now;
  double lease_s = 0;  ///< an agent without an answer for this long stops its tasks
  /// False while the state cache is stale, since jobs may have finished or been cancelled.
  bool starts_allowed = true;
  /// True for the agent's answer to a direct command. Start commands in the answer to the agent's last
  /// heartbeat may still be in flight, so a task that is missing here is not proved absent.
  bool is_direct_answer = false;
  double cancel_s = 0;  ///< by when tasks of a cancelled job must have ended
  /// How long after a cancellation leases are renewed while one of its tasks may still be started.
  double renewal_window_s = 0;
};

struct HeartbeatResult {
  enum class Kind {
    answer,      ///< 200 with the commands
    outdated,    ///< older than a message already handled; answered with stops of cancelled tasks only
    superseded,  ///< the agent has seen a higher fencing token, so the partition has another leader
    not_renewed  ///< not answered: a task of a cancelled job may still be started on the machine
  } kind = Kind::answer;
  std::vector<wire::Command> commands;  ///< at most wire::kMaxCommands
  bool exits_observed = false;          ///< exits were observed and have to be recorded
};

/// Applies a heartbeat to the machine and to the tasks assigned to it, and returns the commands of the
/// answer. Follows docs/design.md, "Why the rules hold", 3 (when a task is gone) and 4 (heartbeats). An
/// outdated heartbeat, or one with a later leader's fencing token, changes nothing.
HeartbeatResult handle_heartbeat(HeartbeatContext context, Machine& machine,
                                 const wire::Heartbeat& heartbeat);

/// Marks all assignments on the machine as ended, once it is proved gone.
void mark_assignments_ended(const jobs::Names& names, const state::StateCache& cache, Fleet& fleet,
                            core::MachineId id, ExitProof proof);

}  // namespace finchrun::agent
