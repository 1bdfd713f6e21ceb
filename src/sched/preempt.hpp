// Which running tasks to stop so that a waiting job gets room it has a claim to.
#pragma once

#include <cstdint>
#include <vector>

#include "sched/place.hpp"

namespace finchrun::sched {

struct RunningTask {
  core::JobId job;
  core::TeamId team;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  core::MachineId machine;
  core::Resources need;
  int priority = 0;
  bool gang = false;
  bool within = false;  // of a job within its team's guarantee
  double loss_s = 0;    // work lost and time spent if it is stopped now
  double left_s = 0;    // how long it is expected to go on; `jobs::kNoEnd` for a replica
};

struct GuaranteeUsage {
  core::Resources used;
  double cpus = 0, gpus = 0;  // guaranteed; 0: none
  // Would the team still have its guarantee in use without `less`?
  [[nodiscard]] bool beyond(const core::Resources& less) const {
    constexpr double s = core::Resources::kSlack;
    const bool by_gpus = gpus > 0 && used.gpus - less.gpus >= gpus - s;
    const bool by_cpus = cpus > 0 && used.cpus - less.cpus >= cpus - s;
    return (gpus <= 0 && cpus <= 0) || by_gpus || by_cpus;
  }
};

struct Preemption {
  std::size_t demand = 0;
  std::vector<std::size_t> victims;       // indices into the running tasks
  std::vector<core::MachineId> machines;  // where the demand's tasks shall go
};

// Could the demand make anything of this stop? False for most, at the price of one comparison.
bool may_preempt(const Demand& d, int lowest_running);

// For the unplaced demands, in the plan's order. `nodes` as they are after placing. Stops nothing that the
// protocol's preemption rules protect: work of equal or higher priority, unless its team is beyond its
// guarantee and the waiting job within that of its own.
std::vector<Preemption> preempt(std::vector<Node> nodes, const std::vector<Demand>& demands,
                                const std::vector<std::size_t>& unplaced,
                                const std::vector<RunningTask>& running, std::vector<TeamQuota> rooms,
                                std::vector<GuaranteeUsage> guarantees);

// Room that is kept for a gang until it has come free on enough machines.
struct Reservation {
  std::size_t demand = 0;
  std::vector<core::MachineId> machines;
  double in_s = 0;  // when the last of them is expected to be free
};

// For gangs that have waited for longer than `patience_s` and may stop nothing: without it a stream of small
// jobs takes every place that comes free, and a large gang never starts. At most `most` of the machines are
// kept at a time, those counted that are kept already.
std::vector<Reservation> reserve_for_gangs(const std::vector<Node>& nodes, const std::vector<Demand>& demands,
                                           const std::vector<std::size_t>& unplaced,
                                           const std::vector<RunningTask>& running,
                                           const std::vector<TeamQuota>& rooms, double patience_s,
                                           std::size_t most);

}  // namespace finchrun::sched
