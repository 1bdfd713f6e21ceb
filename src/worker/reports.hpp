// What a worker's report means and what it is answered: pure logic over the mirror and the fleet.
#pragma once

#include <string>
#include <vector>

#include "state/mirror.hpp"
#include "worker/fleet.hpp"

namespace finchrun::worker {

struct JobTrouble {
  std::set<core::MachineId> machines;  // on which its tasks failed
  int failures = 0;
  core::TimePoint last_failure{};
  core::TimePoint retry_at{};
};

struct ReportContext {
  jobs::Names& names;
  state::Mirror& mirror;
  Fleet& fleet;
  std::unordered_map<core::JobId, JobTrouble>& trouble;
  std::uint64_t token = 0;  // of the machine's part, which this controller owns
  core::TimePoint now;
  double lease_s = 0;
  bool may_start = true;  // false without news from the state service: jobs may be over or cancelled by now
  // The worker's answer to a direct order, not a report of its own. The answer to its last report may still
  // be on its way to it, with starts in it, so nothing that is missing here is proved absent.
  bool direct = false;
};

struct ReportResult {
  enum class Kind {
    answer,    // 200 with the orders
    outdated,  // an older message than one seen: not answered with anything to act on
    deposed,   // the worker has seen a higher token: the part has another owner
  } kind = Kind::answer;
  std::vector<wire::Order> orders;
  bool changed = false;  // facts were found: there is something to record
};

ReportResult take_report(ReportContext ctx, Machine& m, const wire::Report& r);

// A gang attempt that has lost a task, in whatever part, can't go on; what is left of it must end before the
// next attempt.
bool gang_broken(const jobs::JobRecord& job, const state::Mirror& mirror, const Fleet& fleet, core::JobId id);

// All entries on the machine are certainly gone: it was deleted.
void machine_gone(const state::Mirror& mirror, Fleet& fleet, core::MachineId id);

}  // namespace finchrun::worker
