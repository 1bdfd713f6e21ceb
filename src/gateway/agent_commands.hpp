// Sends direct commands to agents and handles the answers.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "gateway/direct_commands.hpp"
#include "http/transport.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// The endpoint of an agent, with the fencing token and the incarnation that commands to it carry.
struct AgentAddress {
  std::string endpoint;
  std::uint64_t fencing_token = 0, agent_incarnation = 0;
};

/// Sends commands to agents without waiting for their next heartbeat. Each answer is a heartbeat and is
/// handled as one.
class AgentCommands {
 public:
  AgentCommands(controller::Runtime& runtime, controller::SharedState& state, http::Network& network,
                controller::Wakeup& writer_wakeup)
      : runtime_(runtime), state_(state), network_(network), writer_wakeup_(writer_wakeup) {}

  /// Probes machines whose agent does not know this controller's fencing token or may be unreachable. Runs
  /// until the process ends.
  asio::awaitable<void> run_probes();
  /// Sends the commands; `starts` lists the attempts that they start. Omits starts that have become void
  /// since they were recorded. Best effort: a start without an answer stays in `Machine::direct_starts`, and
  /// later heartbeats show whether it was executed.
  asio::awaitable<void> send(core::MachineId machine, std::vector<wire::Command> commands,
                             std::vector<agent::TaskAttempt> starts);

 private:
  asio::awaitable<CommandAnswer> call(core::MachineId machine, AgentAddress address,
                                      std::vector<wire::Command> commands);
  asio::awaitable<void> probe(core::MachineId machine);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  http::Network& network_;
  controller::Wakeup& writer_wakeup_;
};

}  // namespace finchrun::gateway
