// What a agent's heartbeat means and what it is answered: pure logic over the state cache and the fleet.
#pragma once

#include <string>
#include <vector>

#include "agent/fleet.hpp"
#include "state/state_cache.hpp"

namespace finchrun::agent {

struct JobFailures {
  std::set<core::MachineId> machines;  // on which its tasks failed
  int failures = 0;
  core::TimePoint last_failure{};
  core::TimePoint retry_at{};
};

struct HeartbeatContext {
  jobs::Names& names;
  state::StateCache& cache;
  Fleet& fleet;
  std::unordered_map<core::JobId, JobFailures>& job_failures;
  std::uint64_t fencing_token = 0;  // of the machine's part, which this controller owns
  core::TimePoint now;
  double lease_s = 0;
  bool may_start = true;  // false without news from the key-value store: jobs may be over or cancelled by now
  // The agent's answer to a direct command, not a heartbeat of its own. The answer to its last heartbeat may
  // still be on its way to it, with starts in it, so nothing that is missing here is proved absent.
  bool direct = false;
};

struct HeartbeatResult {
  enum class Kind {
    answer,    // 200 with the commands
    outdated,  // an older message than one seen: not answered with anything to act on
    deposed,   // the agent has seen a higher fencing token: the partition has another leader
  } kind = Kind::answer;
  std::vector<wire::Command> commands;
  bool changed = false;  // facts were found: there is something to record
};

HeartbeatResult handle_heartbeat(HeartbeatContext ctx, Machine& m, const wire::Heartbeat& r);

// A gang attempt that has lost a task, in whatever partition, can't go on; what is left of it must end before
// the next attempt.
bool gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                 core::JobId id);

// All assignments on the machine are certainly gone: it was deleted.
void machine_gone(const state::StateCache& cache, Fleet& fleet, core::MachineId id);

}  // namespace finchrun::agent
