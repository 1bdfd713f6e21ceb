/// Selects running tasks to preempt for waiting jobs of higher precedence, and machines to reserve for gangs
/// that get no room by preemption. Functions work on a snapshot and have no side effects.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/place.hpp"

namespace finchrun::sched {

/// A task that runs, or may run, on a machine.
struct RunningTask {
  core::JobId job;
  core::TeamId team;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  core::MachineId machine;
  core::Resources need;
  int priority = 0;  // a `jobs::Priority`
  bool gang = false;
  bool within_guarantee = false;  // the job is within its team's guarantee
  double stop_cost_s = 0;         // lost work and stop time if stopped now
  double remaining_s = 0;         // expected; `jobs::kUnlimitedRunTimeS` for a service replica
};

/// The usage of a team in all partitions and its guarantee.
struct GuaranteeUsage {
  core::Resources used;
  double cpus = 0, gpus = 0;  // guarantee; 0: none
  /// Returns true if the team would use at least its guarantee without `released`, or has no guarantee.
  [[nodiscard]] bool fully_used_without(const core::Resources& released) const {
    constexpr double kTolerance = core::Resources::kRoundingTolerance;
    const bool by_gpus = gpus > 0 && used.gpus - released.gpus >= gpus - kTolerance;
    const bool by_cpus = cpus > 0 && used.cpus - released.cpus >= cpus - kTolerance;
    return (gpus <= 0 && cpus <= 0) || by_gpus || by_cpus;
  }
};

/// The tasks to preempt for one demand, and the machines that it gets.
struct Preemption {
  std::size_t demand = 0;                 // index into the demands
  std::vector<std::size_t> victims;       // indices into the running tasks
  std::vector<core::MachineId> machines;  // one entry for each task of the demand
};

/// Returns true if there may be a task that the demand may preempt. This cheap check excludes most demands.
bool may_preempt_any(const Demand& demand, int lowest_running_priority);

/// Returns true if the demand may preempt the task, by one strict order: within the team's guarantee first,
/// then priority. Tasks of equal or higher priority are protected, unless their team exceeds its guarantee
/// and the demand is within its own. `guarantees` is indexed by team.
bool may_preempt_task(const Demand& demand, const RunningTask& task,
                      const std::vector<GuaranteeUsage>& guarantees);

/// Returns preemptions for the unplaced demands, in the plan's order. `nodes` is the state after placing;
/// `quotas` and `guarantees` are indexed by team. A gang is stopped as a whole, even if
/// `may_preempt_task` protects other tasks of it.
std::vector<Preemption> preempt(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                const std::vector<std::size_t>& unplaced,
                                const std::vector<RunningTask>& running, std::vector<TeamQuota> quotas,
                                std::vector<GuaranteeUsage> guarantees);

/// Machines that are reserved for a gang until all of them are free.
struct Reservation {
  std::size_t demand = 0;  // index into the demands
  std::vector<core::MachineId> machines;
  double ready_in_s = 0;  // until the last machine is expected to be free
};

/// Returns reservations for gangs that have waited longer than `min_wait_s` and get no room by preemption.
/// Without reservations a stream of small jobs takes all freed resources, and a large gang never starts. At
/// most `max_machines` machines are reserved at a time, including existing reservations; only a single gang
/// may exceed that.
std::vector<Reservation> reserve_for_gangs(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                           const std::vector<std::size_t>& unplaced,
                                           const std::vector<RunningTask>& running,
                                           const std::vector<TeamQuota>& quotas, double min_wait_s,
                                           std::size_t max_machines);

}  // namespace finchrun::sched
