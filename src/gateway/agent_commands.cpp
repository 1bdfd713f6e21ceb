#include "gateway/agent_commands.hpp"

#include <spdlog/spdlog.h>

#include "metrics/metrics.hpp"

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;

constexpr auto kCommandTimeout = 3000ms;
constexpr double kProbeRoundIntervalS = 0.3;

// A command is sent once more if a message with a raised fencing token has overtaken it. Each further one
// needs another raise meanwhile.
constexpr int kMaxSends = 3;

// Returns the address of the machine's agent; empty if this controller doesn't lead the machine's partition.
std::optional<AgentAddress> address_of(const ControllerState& state, core::MachineId id) {
  const auto* machine = state.fleet.find(id);
  if (!machine || !state.leads(machine->partition)) return std::nullopt;
  // Without a heartbeat, the agent is assumed to be in its first incarnation; its answer names the actual
  // one.
  const auto incarnation = std::max<std::uint64_t>(1, machine->agent_incarnation);
  return AgentAddress{machine->endpoint, state.command_token(*machine), incarnation};
}

// Drops void starts and records the others, since the agent may execute them without answering, and more than
// once. Returns the address that the commands go to; empty if no command is left.
std::optional<AgentAddress> prepare_send(ControllerState& state, core::MachineId id, core::TimePoint now,
                                         std::vector<wire::Command>& commands,
                                         std::vector<agent::TaskAttempt>& starts) {
  auto* machine = state.fleet.find(id);
  if (!machine || !machine->has_heartbeat || !state.leads(machine->partition)) return std::nullopt;
  drop_void_starts(state, *machine, now, commands, starts);
  supersede_earlier_attempts(state, *machine, commands, starts);
  if (commands.empty()) return std::nullopt;
  const auto address = address_of(state, id);
  for (const auto& start : starts) {
    machine->direct_starts.record(start, address->fencing_token, address->agent_incarnation, now);
    metrics::count_start("direct");
  }
  return address;
}

// Records the answer for the starts. All of them are kept, since the agent may execute them, or execute them
// once more, under their fencing token.
void update_direct_starts(agent::Machine& machine, const std::vector<agent::TaskAttempt>& starts,
                          const CommandAnswer& answer) {
  const bool certainly_not_executed =
      answer.delivery == Delivery::conflict || answer.delivery == Delivery::malformed;
  for (const auto& start : starts) {
    if (answer.delivery == Delivery::executed) machine.direct_starts.mark_answered(start);
    if (certainly_not_executed) machine.direct_starts.withdraw(start);
  }
}

// Counts the stop commands by their outcome, those of cancelled jobs also by job.
void count_stops(ControllerState& state, const std::vector<wire::Command>& commands, Delivery delivery) {
  for (const auto& command : commands) {
    if (command.kind != wire::Command::Kind::stop) continue;
    metrics::count_stop(name_of(delivery));
    const auto job = state.names.jobs.find(command.job);
    auto* cancellation = job ? state.fleet.cancellations.find(*job) : nullptr;
    if (cancellation && delivery == Delivery::no_answer) ++cancellation->stops_unanswered;
  }
}

}  // namespace

asio::awaitable<void> AgentCommands::probe(core::MachineId machine) {
  // A probe has no commands. It shows the agent the fencing token, which makes commands of earlier leaders
  // void, and requests an answer. That answer may name another incarnation, which the second call addresses.
  constexpr int kMaxCalls = 2;
  std::vector<wire::Command> no_commands;
  for (int calls = 0; calls < kMaxCalls; ++calls) {
    const auto address = state_.with([&](ControllerState& state) { return address_of(state, machine); });
    if (!address) co_return;
    const auto answer = co_await call(machine, *address, no_commands);
    if (answer.delivery != Delivery::conflict) co_return;
  }
}

asio::awaitable<CommandAnswer> AgentCommands::call(core::MachineId machine, AgentAddress address,
                                                   std::vector<wire::Command> commands) {
  CommandAnswer answer;
  const auto endpoint = config::parse_endpoint(address.endpoint);
  if (!endpoint) co_return answer;
  const auto client = network_.connect(*endpoint, 0);
  std::string body = wire::render_direct_commands(address.fencing_token, address.agent_incarnation, commands);
  const auto response = co_await client->call(http::Verb::post, "/do", std::move(body), kCommandTimeout);
  answer = interpret_answer(response);
  const bool exits_observed = state_.with([&](ControllerState& state) {
    return apply_answer(state, machine, address.agent_incarnation, answer, core::SteadyClock::now());
  });
  if (exits_observed) writer_wakeup_.notify();
  co_return answer;
}

asio::awaitable<void> AgentCommands::send(core::MachineId machine, std::vector<wire::Command> commands,
                                          std::vector<agent::TaskAttempt> starts) {
  for (int sends = 0; sends < kMaxSends; ++sends) {
    const auto address = state_.with([&](ControllerState& state) {
      return prepare_send(state, machine, core::SteadyClock::now(), commands, starts);
    });
    if (!address) co_return;
    const auto answer = co_await call(machine, *address, commands);
    const bool overtaken = state_.with([&](ControllerState& state) {
      spdlog::debug("commands sent machine={} fencing_token={} starts={} result={}",
                    state.names.machines.name(machine), address->fencing_token, starts.size(),
                    name_of(answer.delivery));
      auto* target = state.fleet.find(machine);
      if (!target) return false;
      update_direct_starts(*target, starts, answer);
      count_stops(state, commands, answer.delivery);
      return is_overtaken(state, *target, address->fencing_token, answer);
    });
    if (!overtaken) co_return;
  }
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
                      state.command_token(machine), machine.fencing_token);
      }
      return due;
    });
    for (const auto id : machines) runtime_.spawn(probe(id));
  }
}

}  // namespace finchrun::gateway
