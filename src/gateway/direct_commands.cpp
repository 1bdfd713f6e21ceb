#include "gateway/direct_commands.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "agent/start_permission.hpp"
#include "gateway/responses.hpp"
#include "metrics/metrics.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

constexpr std::size_t kMaxProbesPerRound = 16;
// Time between probes of one machine. It is shorter while the agent does not know this controller's fencing
// token, since nothing can be proved about the machine's tasks before.
constexpr double kProbeIntervalS = 5, kUrgentProbeIntervalS = 2.5;
// The task's next attempt waits for this probe.
constexpr double kConfirmingProbeIntervalS = 0.25;

// Returns true for a while after a direct command got no answer. A leader that can't connect to its agents
// still gets their heartbeats through relays. Without this pause, each direct start stayed unanswered and
// needed a new fencing token to make it void, every eleven seconds while the network was partitioned. Tasks
// are started by the answers to heartbeats meanwhile.
bool direct_starts_suspended(const agent::Machine& machine, core::TimePoint now) {
  constexpr double kSuspendDirectStartsS = 20;
  return machine.direct_command_failed_at &&
         core::seconds_between(*machine.direct_command_failed_at, now) < kSuspendDirectStartsS;
}

// Returns true if the machine's partition is led here, its agent's address is known, and it is not being
// deleted.
bool can_be_probed(const ControllerState& state, const agent::Machine& machine) {
  return machine.partition.valid() && state.leads(machine.partition) && !machine.endpoint.empty() &&
         !machine.terminating && !machine.deleted;
}

// Why a machine is probed, the most urgent first.
enum class ProbeUrgency {
  unconfirmed_ends,  // tasks have ended there, and their next attempts wait until their starts are void
  does_not_obey,     // nothing can be proved about its tasks before its agent knows the fencing token
  unreachable        // or silent for longer than its lease, with tasks
};

// Returns nullopt if the machine needs no probe.
std::optional<ProbeUrgency> probe_urgency(const ControllerState& state, const agent::Machine& machine,
                                          core::TimePoint now) {
  if (machine.has_unconfirmed_ends && !machine.direct_command_failed_at)
    return ProbeUrgency::unconfirmed_ends;
  const bool obeys = machine.has_heartbeat && machine.fencing_token >= state.fencing_token(machine.partition);
  if (!machine.has_heartbeat && machine.status == "starting") return std::nullopt;
  if (!obeys || machine.has_unconfirmed_ends) return ProbeUrgency::does_not_obey;
  const bool silent = state.seconds_since_heartbeat(machine, now) > state.settings.agent_lease_s &&
                      !state.cache.on_machine(machine.id).empty();
  return machine.is_unreachable() || silent ? std::optional(ProbeUrgency::unreachable) : std::nullopt;
}

double probe_interval_s(ProbeUrgency urgency) {
  switch (urgency) {
    case ProbeUrgency::unconfirmed_ends:
      return kConfirmingProbeIntervalS;
    case ProbeUrgency::does_not_obey:
      return kUrgentProbeIntervalS;
    case ProbeUrgency::unreachable:
      return kProbeIntervalS;
  }
  return kProbeIntervalS;
}

// Returns true if the start may be sent now. Logs why not.
bool may_be_sent(const ControllerState& state, const agent::Machine& machine,
                 const agent::TaskAttempt& start) {
  const auto refusal = agent::find_start_refusal(state.cache, state.fleet, machine, start);
  if (!refusal) return true;
  metrics::count_refused_start(agent::name_of(*refusal));
  const auto [job, task, attempt] = start;
  spdlog::info("start not sent job={} task={} attempt={} machine={} reason={}", state.names.jobs.name(job),
               task, attempt, machine.name, agent::name_of(*refusal));
  return false;
}

// Erases the starts for which the predicate is true, with their commands.
template <class Predicate>
void erase_starts(const ControllerState& state, std::vector<wire::Command>& commands,
                  std::vector<agent::TaskAttempt>& starts, Predicate is_erased) {
  std::erase_if(starts, [&](const agent::TaskAttempt& start) {
    if (!is_erased(start)) return false;
    const auto& [job, task, attempt] = start;
    const auto& job_name = state.names.jobs.name(job);
    std::erase_if(commands, [&, task = task, attempt = attempt](const wire::Command& command) {
      return command.kind == wire::Command::Kind::start && command.task == task &&
             command.attempt == attempt && command.job == job_name;
    });
    return true;
  });
}

}  // namespace

const char* name_of(Delivery delivery) {
  switch (delivery) {
    case Delivery::not_sent:
      return "not_sent";
    case Delivery::no_answer:
      return "no_answer";
    case Delivery::executed:
      return "executed";
    case Delivery::conflict:
      return "conflict";
    case Delivery::malformed:
      return "malformed";
    case Delivery::unexpected:
      return "unexpected_answer";
  }
  return "";
}

CommandAnswer interpret_answer(const http::ClientResponse& answer) {
  CommandAnswer result;
  auto parsed = wire::parse_heartbeat(answer.body);
  auto* heartbeat = std::get_if<wire::Heartbeat>(&parsed);
  switch (answer.status) {
    case http::status::kNoAnswer:
      result.delivery = Delivery::no_answer;
      return result;
    case http::status::kOk:
      result.delivery = heartbeat ? Delivery::executed : Delivery::unexpected;
      break;
    case http::status::kConflict:
      result.delivery = Delivery::conflict;
      break;
    case http::status::kBadRequest:
      result.delivery = Delivery::malformed;
      return result;
    default:
      result.delivery = Delivery::unexpected;
      return result;
  }
  if (heartbeat) result.heartbeat = std::move(*heartbeat);
  return result;
}

std::vector<core::MachineId> machines_to_probe(const ControllerState& state, core::TimePoint now) {
  // In the order of probing: its urgency, its last probe, its machine.
  std::vector<std::tuple<ProbeUrgency, core::TimePoint, core::MachineId>> due;
  for (const auto& [id, machine] : state.fleet.machines()) {
    if (!can_be_probed(state, machine)) continue;
    const auto urgency = probe_urgency(state, machine, now);
    if (!urgency || core::seconds_between(machine.last_probe, now) < probe_interval_s(*urgency)) continue;
    due.emplace_back(*urgency, machine.last_probe, id);
  }
  std::sort(due.begin(), due.end());
  if (due.size() > kMaxProbesPerRound) due.resize(kMaxProbesPerRound);
  std::vector<core::MachineId> machines;
  for (const auto& [urgency, last_probe, id] : due) machines.push_back(id);
  return machines;
}

void drop_void_starts(const ControllerState& state, const agent::Machine& machine, core::TimePoint now,
                      std::vector<wire::Command>& commands, std::vector<agent::TaskAttempt>& starts) {
  const bool suspended = direct_starts_suspended(machine, now);
  erase_starts(state, commands, starts, [&](const agent::TaskAttempt& start) {
    return suspended || !may_be_sent(state, machine, start);
  });
}

void supersede_earlier_attempts(const ControllerState& state, agent::Machine& machine,
                                std::vector<wire::Command>& commands,
                                std::vector<agent::TaskAttempt>& starts) {
  const auto tokens = state.fencing_tokens(machine.partition);
  erase_starts(state, commands, starts, [&](const agent::TaskAttempt& start) {
    const auto earlier = machine.direct_starts.token_of_other_attempts(start);
    return earlier && !machine.raise_command_token(*earlier, tokens);
  });
}

bool is_overtaken(const ControllerState& state, const agent::Machine& machine, std::uint64_t fencing_token,
                  const CommandAnswer& answer) {
  if (answer.delivery != Delivery::conflict || !answer.heartbeat || !state.leads(machine.partition))
    return false;
  const auto agent_token = answer.heartbeat->fencing_token;
  return agent_token > fencing_token && agent_token <= state.command_token(machine);
}

bool apply_answer(ControllerState& state, core::MachineId id, std::uint64_t addressed_incarnation,
                  const CommandAnswer& answer, core::TimePoint now) {
  auto* machine = state.fleet.find(id);
  if (!machine) return false;
  const bool was_unreachable = machine->is_unreachable();
  if (!answer.heartbeat) {
    if (answer.delivery != Delivery::no_answer) return false;
    machine->direct_command_failed_at = now;
    if (!machine->has_heartbeat || machine->agent_incarnation != addressed_incarnation) return false;
    machine->mark_unreachable(now);
    if (!was_unreachable)
      spdlog::info("machine unreachable machine={} agent_incarnation={} reason=direct_command_unanswered",
                   machine->name, machine->agent_incarnation);
    return false;
  }
  machine->direct_command_failed_at.reset();
  // The answer is handled like a heartbeat, so that a new leader need not wait for the next one.
  const bool exits_observed = state.apply_heartbeat(*machine, *answer.heartbeat, now, true).exits_observed;
  machine->mark_reachable();
  if (was_unreachable)
    spdlog::info("machine reachable machine={} agent_incarnation={} reason=direct_command_answered",
                 machine->name, machine->agent_incarnation);
  return exits_observed;
}

}  // namespace finchrun::gateway
