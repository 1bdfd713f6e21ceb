// Stops the tasks of cancelled jobs by direct commands, whether or not the key-value store answers.
#pragma once

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "core/in_flight.hpp"
#include "gateway/agent_commands.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// Sends stops for every task of a cancelled job that may still be on a machine, again with back-off until a
/// heartbeat proves the task gone. Agents also learn of a cancellation by the answers to their heartbeats; a
/// direct stop reaches one whose heartbeats reach nobody, and follows a start that is held up on its way,
/// under the same fencing token.
class CancellationStops {
 public:
  CancellationStops(controller::Runtime& runtime, controller::SharedState& state, AgentCommands& commands)
      : runtime_(runtime), state_(state), commands_(commands) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  asio::awaitable<void> stop(core::MachineId machine, std::vector<wire::Command> commands);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  AgentCommands& commands_;
  core::InFlightCounter in_flight_;
};

}  // namespace finchrun::gateway
