// Stops the tasks of cancelled jobs by direct commands, also while the key-value store is unavailable.
#pragma once

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "core/in_flight.hpp"
#include "gateway/agent_commands.hpp"
#include "gateway/cancellation_progress.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// Sends stop commands for every task of a cancelled job that may still be on a machine, and repeats them
/// with backoff until a heartbeat proves the task gone. The answers to heartbeats also carry stop commands; a
/// direct one reaches an agent whose heartbeats reach no controller, and stops a task whose delayed start
/// command arrives first, under the same fencing token.
class CancelledTaskStopper {
 public:
  CancelledTaskStopper(controller::Runtime& runtime, controller::SharedState& state, AgentCommands& commands)
      : runtime_(runtime), state_(state), commands_(commands) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  asio::awaitable<void> stop(core::MachineId machine, std::vector<wire::Command> commands);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  AgentCommands& commands_;
  core::InFlightCounter in_flight_;
  RenewalLog renewal_log_;
};

}  // namespace finchrun::gateway
