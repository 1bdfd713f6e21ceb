// Commands that go straight to agents, and what their answers show.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "gateway/direct_commands.hpp"
#include "http/transport.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// Sends commands to agents without waiting for their next heartbeat. The answer to a command is a heartbeat
/// too, and is handled as one.
class AgentCommands {
 public:
  AgentCommands(controller::Runtime& runtime, controller::SharedState& state, http::Network& network,
                controller::Wakeup& writer_wakeup)
      : runtime_(runtime), state_(state), network_(network), writer_wakeup_(writer_wakeup) {}

  /// Probes machines whose agent does not know our fencing token or may be unreachable, until the process
  /// ends.
  asio::awaitable<void> run_probes();
  /// Sends the commands; `starts` are those among them that start tasks. Starts that have become void since
  /// they were recorded are left out. Best effort: what gets no answer stays noted in `Fleet::direct_starts`,
  /// and heartbeats show what became of it.
  asio::awaitable<void> send(core::MachineId machine, std::vector<wire::Command> commands,
                             std::vector<agent::TaskAttempt> starts);

 private:
  asio::awaitable<CommandAnswer> call(core::MachineId machine, std::vector<wire::Command> commands);
  asio::awaitable<void> probe(core::MachineId machine);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  http::Network& network_;
  controller::Wakeup& writer_wakeup_;
};

}  // namespace finchrun::gateway
