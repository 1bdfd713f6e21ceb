// Stops tasks: gracefully on machines that the cloud reclaims, and to make room that a job has a claim to;
// and reserves room for gangs.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "gateway/agent_commands.hpp"
#include "sched/preempt.hpp"
#include "scheduling/round_view.hpp"

namespace finchrun::scheduling {

/// Tasks on machines that the cloud is about to take save what they have and start again elsewhere; a gang as
/// a whole.
void evict_from_reclaimed_machines(controller::ControllerState& w);

/// Carries out what `sched::preempt` and `sched::reserve_for_gangs` decide.
class Preemptor {
 public:
  Preemptor(controller::Runtime& runtime, controller::SharedState& state, gateway::AgentCommands& commands,
            const config::Tuning& tuning)
      : runtime_(runtime), state_(state), commands_(commands), tuning_(tuning) {}

  /// Makes room for the plan's unplaced demands. `machines`: of the partition, before placing.
  void make_room(core::PartitionId partition, const sched::Plan& plan, std::vector<sched::Demand>& demands,
                 const RoundView& view, std::size_t machines, core::TimePoint now);

 private:
  void start(const sched::Preemption& preemption, const sched::Demand& demand,
             const std::vector<sched::RunningTask>& running, core::TimePoint now);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  gateway::AgentCommands& commands_;
  const config::Tuning& tuning_;
};

}  // namespace finchrun::scheduling
