/// Graceful eviction from machines that the cloud provider reclaims, preemption for jobs of higher
/// precedence, and reservation of machines for gangs.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "gateway/agent_commands.hpp"
#include "sched/preempt.hpp"
#include "scheduling/round_view.hpp"

namespace finchrun::scheduling {

/// Returns the cost, in seconds, of stopping a task that has run for `ran_s`: the work to repeat and the time
/// to save and restart.
double stop_cost_s(const jobs::JobSpec& spec, double ran_s);

/// Returns the expected remaining run time of a task that has run for `ran_s`; `jobs::kUnlimitedRunTimeS` for
/// a replica.
double remaining_s(const jobs::JobSpec& spec, double ran_s);

/// Returns true if the job's tasks must be stopped now to save a checkpoint and report their exit before the
/// cloud provider reclaims the machine, in `termination_notice_s`.
bool must_evict(double termination_notice_s, const jobs::JobSpec& spec, double heartbeat_s);

/// Returns the partition's tasks that could be preempted and their costs, without tasks that are being
/// stopped or have ended. `within_guarantee`: jobs within their team's guarantee.
std::vector<sched::RunningTask> running_tasks(const controller::ControllerState& state,
                                              core::PartitionId partition,
                                              const std::set<core::JobId>& within_guarantee,
                                              core::TimePoint now);

/// Starts the graceful eviction of tasks on machines that the cloud provider is about to reclaim; a gang is
/// evicted as a whole. Only adds them to `Fleet::preempting`: stop commands are sent in the responses to
/// heartbeats.
void evict_from_reclaimed_machines(controller::ControllerState& state);

/// Executes the decisions of `sched::preempt` and `sched::reserve_for_gangs`.
class Preemptor {
 public:
  Preemptor(controller::Runtime& runtime, controller::SharedState& state, gateway::AgentCommands& commands,
            const config::Tuning& tuning)
      : runtime_(runtime), state_(state), commands_(commands), tuning_(tuning) {}

  /// Preempts tasks and reserves machines for the plan's unplaced demands, and sets `has_reservation` on the
  /// demands that it serves. `machines` is the number of machines in the partition.
  void make_room(core::PartitionId partition, const sched::Plan& plan, std::vector<sched::Demand>& demands,
                 const RoundView& view, std::size_t machines, core::TimePoint now);

 private:
  /// Stops the victims, with direct commands to avoid waiting for heartbeats, and reserves their machines.
  void start_preemption(const sched::Preemption& preemption, const sched::Demand& demand,
                        const std::vector<sched::RunningTask>& running, core::TimePoint now);
  void start_reservations(core::PartitionId partition, const std::vector<sched::Reservation>& reservations,
                          std::vector<sched::Demand>& demands, core::TimePoint now);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  gateway::AgentCommands& commands_;
  const config::Tuning& tuning_;
};

}  // namespace finchrun::scheduling
