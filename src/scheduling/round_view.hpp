/// The snapshot that a scheduling round works on, taken under one lock.
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

/// All input of one round. Holds no pointers into the controller's state.
struct RoundView {
  /// A partition that this controller leads and may place tasks in.
  struct PartitionView {
    std::uint64_t fencing_token = 0;            // of the current leadership
    std::vector<sched::Node> nodes;             // machines that are up and accept commands
    std::vector<sched::TeamQuota> team_quotas;  // by team: usage and share in this partition
    std::vector<std::size_t> demands;           // indices into `RoundView::demands`
  };
  std::vector<sched::QueuedTasks> queue;          // input of the ranking, one entry for each demand
  std::vector<sched::Demand> demands;             // one for each job and partition with waiting tasks
  std::vector<double> decayed_usage;              // core-seconds by team, in all partitions
  std::vector<double> team_shares;                // fair-share weight by team
  std::vector<core::Resources> used_by_team;      // by team, in all partitions
  std::vector<sched::GuaranteeUsage> guarantees;  // by team: usage and guarantee
  std::set<core::JobId> jobs_within_guarantee;    // jobs within their team's guarantee
  std::map<core::PartitionId, PartitionView> partitions;
  std::uint64_t attempt = 0;  // number for all tasks that the round starts; higher than any earlier one
};

/// Returns a team's limit in one partition: its share, which is never 0 for a limited team, or 0 (unlimited)
/// for an unlimited one.
double limit_in_partition(double team_limit, double share);

/// Returns the snapshot of the machine; its free resources exclude all tasks that may still run there.
sched::Node make_node(const controller::ControllerState& state, const agent::Machine& machine,
                      const cloud::MachineType& machine_type, core::TimePoint now);

/// Returns the number of additional tasks of the job that the partition's zone may run (rule `wrong_place`).
std::uint32_t zone_headroom(const controller::ControllerState& state, core::JobId id,
                            core::PartitionId partition);

/// Returns the job's demand in the partition, or nullopt if it has nothing to place there now. Leaves the
/// fields that depend on time or on the team's other jobs unset.
std::optional<sched::Demand> make_demand(const controller::ControllerState& state, core::JobId id,
                                         core::PartitionId partition, const WaitingTasks& waiting);

/// Returns the snapshot, or nullopt if the cache is not loaded or too old, the machine types are unknown, or
/// this controller leads no partition. Also accounts usage for `round_s`, the time since the previous round,
/// and starts graceful evictions from machines that the cloud provider reclaims.
std::optional<RoundView> build_round_view(controller::ControllerState& state, double round_s,
                                          core::TimePoint now);

}  // namespace finchrun::scheduling
