/// Which running tasks to preempt so that a waiting job gets room it has a claim to, and which machines to
/// reserve for gangs that may preempt nothing. Pure: everything here works on a snapshot.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/place.hpp"

namespace finchrun::sched {

/// A task that may be on a machine.
struct RunningTask {
  core::JobId job;
  core::TeamId team;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  core::MachineId machine;
  core::Resources need;
  int priority = 0;  // a `jobs::Priority`
  bool gang = false;
  bool within = false;     // of a job within its team's guarantee
  double stop_cost_s = 0;  // work lost and time spent if it is stopped now
  double remaining_s = 0;  // how long it is expected to go on; `jobs::kNoEnd` for a replica
};

/// What a team uses in all partitions, and what it is guaranteed.
struct GuaranteeUsage {
  core::Resources used;
  double cpus = 0, gpus = 0;  // guaranteed; 0: none
  /// Would the team still have its whole guarantee in use without `less`?
  [[nodiscard]] bool fully_used_without(const core::Resources& less) const {
    constexpr double kSlack = core::Resources::kRoundingTolerance;
    const bool by_gpus = gpus > 0 && used.gpus - less.gpus >= gpus - kSlack;
    const bool by_cpus = cpus > 0 && used.cpus - less.cpus >= cpus - kSlack;
    return (gpus <= 0 && cpus <= 0) || by_gpus || by_cpus;
  }
};

/// The tasks to preempt for one demand.
struct Preemption {
  std::size_t demand = 0;                 // index into the demands
  std::vector<std::size_t> victims;       // indices into the running tasks
  std::vector<core::MachineId> machines;  // where the demand's tasks shall go
};

/// Could the demand preempt anything at all? False for most, at the price of one comparison.
bool may_preempt(const Demand& demand, int lowest_running_priority);

/// The rule of precedence for preemption: may the task be stopped for the demand? One strict order of claims:
/// within the team's guarantee, then priority. Protected are equal and higher priorities, unless their team
/// is beyond its guarantee and the demand within that of its own. `guarantees`: by team.
bool may_preempt_task(const Demand& demand, const RunningTask& task,
                      const std::vector<GuaranteeUsage>& guarantees);

/// Preemptions for the unplaced demands, in the plan's order. `nodes` as they are after placing; `quotas` and
/// `guarantees`: by team. A gang goes as a whole, whatever `may_preempt_task` says of its other tasks.
std::vector<Preemption> preempt(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                const std::vector<std::size_t>& unplaced,
                                const std::vector<RunningTask>& running, std::vector<TeamQuota> quotas,
                                std::vector<GuaranteeUsage> guarantees);

/// Machines that are kept for a gang until enough of them have come free.
struct Reservation {
  std::size_t demand = 0;  // index into the demands
  std::vector<core::MachineId> machines;
  double ready_in_s = 0;  // when the last of them is expected to be free
};

/// For gangs that have waited for longer than `min_wait_s` and may preempt nothing: without it a stream of
/// small jobs takes every place that comes free, and a large gang never starts. At most `max_machines` of the
/// machines are reserved at a time, those counted that are reserved already.
std::vector<Reservation> reserve_for_gangs(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                           const std::vector<std::size_t>& unplaced,
                                           const std::vector<RunningTask>& running,
                                           const std::vector<TeamQuota>& quotas, double min_wait_s,
                                           std::size_t max_machines);

}  // namespace finchrun::sched
