/// What a scheduling round decides from: a snapshot, taken under one lock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "controller/controller_state.hpp"
#include "sched/place.hpp"
#include "sched/preempt.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::scheduling {

/// Everything that one round decides from. Nothing in it points into the controller's state.
struct RoundView {
  /// A partition that this controller leads and may place in.
  struct PartitionView {
    std::uint64_t fencing_token = 0;            // of the leadership under which the round decides
    std::vector<sched::Node> nodes;             // machines that are up and take commands
    std::vector<sched::TeamQuota> team_quotas;  // by team: what it uses of its share here
    std::vector<std::size_t> demands;           // indices into `RoundView::demands`
  };
  std::vector<sched::QueuedTasks> queue;      // what the ranking looks at, one entry for each demand
  std::vector<sched::Demand> demands;         // of all partitions; a job has one in each where its tasks wait
  std::vector<double> decayed_usage;          // core-seconds by team, in all partitions
  std::vector<double> team_shares;            // by team, from its guarantee
  std::vector<core::Resources> used_by_team;  // in all partitions
  std::vector<sched::GuaranteeUsage> guarantees;  // by team: the same against its guarantee
  std::set<core::JobId> within_guarantee;         // jobs within their team's guarantee
  std::map<core::PartitionId, PartitionView> partitions;
  std::uint64_t attempt = 0;  // of all tasks that the round starts: above every earlier one
};

/// The share of a team's limit as a limit of its own: `share` of a limited team, 0 (none) of an unlimited
/// one.
double limit_in_partition(double team_limit, double share);

/// The machine as the round sees it: what is free is its size less everything that may still run there.
sched::Node node_of(const controller::ControllerState& state, const agent::Machine& machine,
                    const cloud::MachineType& machine_type, core::TimePoint now);

/// How many more tasks of the job the partition's zone may take (rule `wrong_place`).
std::uint32_t room_in_zone(const controller::ControllerState& state, core::JobId id,
                           core::PartitionId partition);

/// What the job waits for in the partition; nothing if it has nothing to place there now. What depends on
/// time and on the team's other jobs is left open.
std::optional<sched::Demand> demand_of(const controller::ControllerState& state, core::JobId id,
                                       core::PartitionId partition, const WaitingTasks& waiting);

/// The snapshot; nothing if nothing can be decided now: the cache is not loaded or too old, the machine types
/// are not known, or no partition is led here. `round_s`: since the round before. Books the usage of
/// `round_s` and starts graceful evictions from machines that the cloud reclaims on the way.
std::optional<RoundView> build_round_view(controller::ControllerState& state, double round_s,
                                          core::TimePoint now);

}  // namespace finchrun::scheduling
