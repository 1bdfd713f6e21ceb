#include "gateway/agent_commands.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;

constexpr auto kCommandTimeout = 3000ms;
constexpr double kProbeRoundIntervalS = 0.3;

// The endpoint of an agent, with the fencing token and the incarnation that commands to it carry.
struct AgentAddress {
  std::string endpoint;
  std::uint64_t fencing_token = 0, agent_incarnation = 0;
};

// Returns the address of the machine's agent; empty if this controller doesn't lead the machine's partition.
std::optional<AgentAddress> address_of(const ControllerState& state, core::MachineId id) {
  const auto* machine = state.fleet.find(id);
  if (!machine || !state.leads(machine->partition)) return std::nullopt;
  // Without a heartbeat, the agent is assumed to be in its first incarnation; its answer names the actual
  // one.
  const auto incarnation = std::max<std::uint64_t>(1, machine->agent_incarnation);
  return AgentAddress{machine->endpoint, state.fencing_token(machine->partition), incarnation};
}

// Drops void starts and records the others, since the agent may execute them without answering. Returns false
// if no command is left.
bool prepare_send(ControllerState& state, core::MachineId id, core::TimePoint now,
                  std::vector<wire::Command>& commands, std::vector<agent::TaskAttempt>& starts) {
  const auto* machine = state.fleet.find(id);
  if (!machine || !machine->has_heartbeat || !state.leads(machine->partition)) return false;
  drop_void_starts(state, *machine, now, commands, starts);
  for (const auto& start : starts)
    state.fleet.direct_starts[start] = {state.fencing_token(machine->partition), std::nullopt, now};
  return !commands.empty();
}

// Records the answer for the starts. An unanswered start is kept, since the agent may execute it at any later
// time under its fencing token.
void update_direct_starts(ControllerState& state, const std::vector<agent::TaskAttempt>& starts,
                          const CommandAnswer& answer) {
  const bool certainly_not_executed =
      answer.delivery == Delivery::other_incarnation || answer.delivery == Delivery::malformed;
  for (const auto& start : starts) {
    const auto direct_start = state.fleet.direct_starts.find(start);
    if (direct_start == state.fleet.direct_starts.end()) continue;  // dropped while the command was in flight
    if (const auto sequence = answer.sequence()) direct_start->second.answered_sequence = sequence;
    if (certainly_not_executed) state.fleet.direct_starts.erase(direct_start);
  }
}

}  // namespace

asio::awaitable<void> AgentCommands::probe(core::MachineId machine) {
  // A probe has no commands. It shows the agent the fencing token, which makes commands of earlier leaders
  // void, and requests an answer.
  std::vector<wire::Command> no_commands;
  const auto answer = co_await call(machine, no_commands);
  // The answer has named the current incarnation, so the second call addresses it.
  if (answer.delivery == Delivery::other_incarnation) co_await call(machine, no_commands);
}

asio::awaitable<CommandAnswer> AgentCommands::call(core::MachineId machine,
                                                   std::vector<wire::Command> commands) {
  CommandAnswer answer;
  const auto address = state_.with([&](ControllerState& state) { return address_of(state, machine); });
  const auto endpoint = address ? config::parse_endpoint(address->endpoint) : std::nullopt;
  if (!endpoint) co_return answer;
  const auto client = network_.connect(*endpoint, 0);
  std::string body =
      wire::render_direct_commands(address->fencing_token, address->agent_incarnation, commands);
  const auto response = co_await client->call(http::Verb::post, "/do", std::move(body), kCommandTimeout);
  answer = interpret_answer(response);
  const bool exits_observed = state_.with([&](ControllerState& state) {
    return apply_answer(state, machine, address->agent_incarnation, answer, core::SteadyClock::now());
  });
  if (exits_observed) writer_wakeup_.notify();
  co_return answer;
}

asio::awaitable<void> AgentCommands::send(core::MachineId machine, std::vector<wire::Command> commands,
                                          std::vector<agent::TaskAttempt> starts) {
  const bool has_commands = state_.with([&](ControllerState& state) {
    return prepare_send(state, machine, core::SteadyClock::now(), commands, starts);
  });
  if (!has_commands) co_return;
  const auto answer = co_await call(machine, std::move(commands));
  state_.with([&](ControllerState& state) {
    update_direct_starts(state, starts, answer);
    spdlog::debug("commands sent machine={} starts={} result={}", state.names.machines.name(machine),
                  starts.size(), name_of(answer.delivery));
  });
}

asio::awaitable<void> AgentCommands::run_probes() {
  while (true) {
    co_await runtime_.sleep(kProbeRoundIntervalS);
    const auto now = core::SteadyClock::now();
    const auto machines = state_.with([&](ControllerState& state) {
      auto due = machines_to_probe(state, now);
      for (const auto id : due) {
        auto& machine = *state.fleet.find(id);
        machine.last_probe = now;
        spdlog::debug("agent probed machine={} fencing_token={} agent_fencing_token={}", machine.name,
                      state.fencing_token(machine.partition), machine.fencing_token);
      }
      return due;
    });
    for (const auto id : machines) runtime_.spawn(probe(id));
  }
}

}  // namespace finchrun::gateway
