// What an agent's heartbeat means and what it is answered: pure logic over the state cache and the fleet.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/fleet.hpp"
#include "state/state_cache.hpp"

namespace finchrun::agent {

/// Failures of one job's tasks that came close together.
struct JobFailures {
  std::set<core::MachineId> machines;  ///< on which its tasks failed
  int failures = 0;                    ///< in all, however far apart
  core::TimePoint last_failure{};
  core::TimePoint retry_at{};  ///< nothing of the job is placed before

  /// One job failing on several machines points at the job: it pauses, longer with each machine.
  void record(core::MachineId machine, core::TimePoint now);
};

/// What a heartbeat is read against.
struct HeartbeatContext {
  jobs::Names& names;
  state::StateCache& cache;
  Fleet& fleet;
  std::unordered_map<core::JobId, JobFailures>& job_failures;
  std::uint64_t fencing_token = 0;  ///< of the machine's partition, which this controller leads
  core::TimePoint now;
  double lease_s = 0;  ///< an agent that gets no answer for this long stops its tasks
  /// False while our copy of the key-value store is not current: jobs may be over or cancelled by now.
  bool may_start = true;
  /// The agent's answer to a direct command, not a heartbeat of its own. The answer to its last heartbeat may
  /// still be on its way to it, with starts in it, so nothing that is missing here is proved absent.
  bool direct = false;
};

struct HeartbeatResult {
  enum class Kind {
    answer,    ///< 200 with the commands
    outdated,  ///< an older message than one seen: not answered with anything to act on
    deposed,   ///< the agent has seen a higher fencing token: the partition has another leader
  } kind = Kind::answer;
  std::vector<wire::Command> commands;  ///< at most wire::kMaxCommands
  bool changed = false;                 ///< exits were observed: there is something to record
};

/// Takes in what the heartbeat proves of the machine and of the tasks that are recorded on it, and says what
/// to answer. The rules are in docs/design.md, "Why the rules hold", 3 (when a task is gone) and 4
/// (heartbeats). An outdated heartbeat, or one under a later leader's fencing token, changes nothing.
HeartbeatResult handle_heartbeat(HeartbeatContext context, Machine& machine,
                                 const wire::Heartbeat& heartbeat);

/// A gang attempt that has lost a task, in whatever partition, can't go on; what is left of it must end
/// before the next attempt.
bool gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                 core::JobId id);

/// All assignments on the machine are certainly gone: its deletion was answered.
void machine_gone(const state::StateCache& cache, Fleet& fleet, core::MachineId id);

}  // namespace finchrun::agent
