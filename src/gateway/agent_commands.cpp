#include "gateway/agent_commands.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;

constexpr auto kCommandTimeout = 3000ms;
constexpr double kProbeRoundS = 0.3;

// Where a machine's agent is reached, and under which fencing token and for which incarnation.
struct Address {
  std::string endpoint;
  std::uint64_t fencing_token = 0, agent_incarnation = 0;
};

// Nothing if we don't lead the machine's partition.
std::optional<Address> address_of(const ControllerState& state, core::MachineId id) {
  const auto* machine = state.fleet.find(id);
  if (!machine || !state.leads(machine->partition)) return std::nullopt;
  // Of an agent that has not been heard yet the incarnation is a guess; its answer names the right one.
  const auto incarnation = std::max<std::uint64_t>(1, machine->agent_incarnation);
  return Address{machine->endpoint, state.fencing_token(machine->partition), incarnation};
}

// Void starts are left out; what remains is noted, since an agent may carry it out without answering. False
// if there is nothing to send.
bool prepare(ControllerState& state, core::MachineId id, core::TimePoint now,
             std::vector<wire::Command>& commands, std::vector<agent::TaskAttempt>& starts) {
  const auto* machine = state.fleet.find(id);
  if (!machine || !machine->has_heartbeat || !state.leads(machine->partition)) return false;
  drop_void_starts(state, *machine, now, commands, starts);
  for (const auto& start : starts)
    state.fleet.direct_starts[start] = {state.fencing_token(machine->partition), std::nullopt, now};
  return !commands.empty();
}

// Without an answer a start may be carried out at any later time under its fencing token, so it stays noted.
void note_starts(ControllerState& state, const std::vector<agent::TaskAttempt>& starts,
                 const CommandAnswer& answer) {
  const bool surely_not_executed =
      answer.delivery == Delivery::other_incarnation || answer.delivery == Delivery::malformed;
  for (const auto& start : starts) {
    const auto direct_start = state.fleet.direct_starts.find(start);
    if (direct_start == state.fleet.direct_starts.end()) continue;  // reconciled meanwhile
    if (const auto sequence = answer.sequence()) direct_start->second.answered_sequence = sequence;
    if (surely_not_executed) state.fleet.direct_starts.erase(direct_start);
  }
}

}  // namespace

asio::awaitable<void> AgentCommands::probe(core::MachineId machine) {
  // No commands: a probe only makes the agent see the fencing token, so that commands of earlier leaders are
  // void, and answer.
  std::vector<wire::Command> no_commands;
  const auto answer = co_await call(machine, no_commands);
  // The answer named the incarnation to address.
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
  const bool changed = state_.with([&](ControllerState& state) {
    return note_answer(state, machine, address->agent_incarnation, answer, core::SteadyClock::now());
  });
  if (changed) writer_wakeup_.notify();
  co_return answer;
}

asio::awaitable<void> AgentCommands::send(core::MachineId machine, std::vector<wire::Command> commands,
                                          std::vector<agent::TaskAttempt> starts) {
  const bool any = state_.with(
      [&](ControllerState& state) { return prepare(state, machine, core::SteadyClock::now(), commands, starts); });
  if (!any) co_return;
  const auto answer = co_await call(machine, std::move(commands));
  state_.with([&](ControllerState& state) {
    note_starts(state, starts, answer);
    spdlog::debug("commands sent machine={} starts={} result={}", state.names.machines.name(machine),
                  starts.size(), name_of(answer.delivery));
  });
}

asio::awaitable<void> AgentCommands::run_probes() {
  while (true) {
    co_await runtime_.sleep(kProbeRoundS);
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
