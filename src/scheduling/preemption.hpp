/// Stops tasks: gracefully on machines that the cloud reclaims, and by preemption to make room that a job has
/// a claim to; and reserves machines for gangs.
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

/// What is lost when a task of the job, which has run for `ran_s`, is stopped now, in seconds: work that is
/// done again, and the stop itself.
double stop_cost_s(const jobs::JobSpec& spec, double ran_s);

/// How long a task that has run for `ran_s` is expected to go on; `jobs::kNoEnd` for a replica.
double remaining_s(const jobs::JobSpec& spec, double ran_s);

/// With this much time until the cloud takes the machine, must the job's tasks be stopped now so that they
/// can save and the stop still be heard of?
bool must_evict(double termination_notice_s, const jobs::JobSpec& spec, double heartbeat_s);

/// Tasks of the partition that could be preempted, and what that would cost: not those that are being stopped
/// already or are known to have ended. `within_guarantee`: jobs within their team's guarantee.
std::vector<sched::RunningTask> running_tasks(const controller::ControllerState& state,
                                              core::PartitionId partition,
                                              const std::set<core::JobId>& within_guarantee,
                                              core::TimePoint now);

/// Tasks on machines that the cloud is about to take save what they have and start again elsewhere; a gang as
/// a whole. Only notes them in `Fleet::preempting`: the stops leave with the answers to heartbeats.
void evict_from_reclaimed_machines(controller::ControllerState& state);

/// Carries out what `sched::preempt` and `sched::reserve_for_gangs` decide.
class Preemptor {
 public:
  Preemptor(controller::Runtime& runtime, controller::SharedState& state, gateway::AgentCommands& commands,
            const config::Tuning& tuning)
      : runtime_(runtime), state_(state), commands_(commands), tuning_(tuning) {}

  /// Makes room for the plan's unplaced demands, and marks those that get some with `has_reservation`.
  /// `machines`: of the partition, before placing.
  void make_room(core::PartitionId partition, const sched::Plan& plan, std::vector<sched::Demand>& demands,
                 const RoundView& view, std::size_t machines, core::TimePoint now);

 private:
  /// Stops the victims, by direct commands too, and reserves their machines for the demand.
  void start(const sched::Preemption& preemption, const sched::Demand& demand,
             const std::vector<sched::RunningTask>& running, core::TimePoint now);
  void reserve(core::PartitionId partition, const std::vector<sched::Reservation>& reservations,
               std::vector<sched::Demand>& demands, core::TimePoint now);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  gateway::AgentCommands& commands_;
  const config::Tuning& tuning_;
};

}  // namespace finchrun::scheduling
