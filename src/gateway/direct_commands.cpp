#include "gateway/direct_commands.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "gateway/responses.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

constexpr std::size_t kProbesAtOnce = 16;
// Pause between probes of one machine: shorter while its agent does not know our fencing token, since nothing
// can be proved about the machine before.
constexpr double kProbePauseS = 5, kUrgentProbePauseS = 2.5;

// Cut from its agents, a leader still has their heartbeats by way of others. Each start that it sent straight
// got no answer, so a new fencing token was needed to make it void, every eleven seconds while the cut
// lasted. The answers to heartbeats start what is recorded, and need none.
bool starts_by_heartbeat_only(const agent::Machine& machine, core::TimePoint now) {
  constexpr double kDirectStartsPauseS = 20;
  return machine.direct_command_failed_at &&
         core::seconds_between(*machine.direct_command_failed_at, now) < kDirectStartsPauseS;
}

// An agent that may be asked for its state: of a machine that we lead and that has not been given up.
bool may_be_probed(const ControllerState& state, const agent::Machine& machine) {
  return machine.partition.valid() && state.leads(machine.partition) && !machine.endpoint.empty() &&
         !machine.terminating && !machine.gone;
}

// The start stands recorded for the incarnation that runs, and its job lives.
bool still_valid(const ControllerState& state, const agent::Machine& machine,
                 const agent::TaskAttempt& start) {
  const auto [job, task, attempt] = start;
  const auto* record = state.cache.job(job);
  // Cancelled since the placement was recorded: started now, it would run after its user was told.
  if (!record || record->status != jobs::Status::live) return false;
  // The agent may have gone on to its next incarnation since the placement was recorded. The command, sent
  // for the new incarnation, would start a task whose assignment that very incarnation shows to be gone.
  const auto& assignments = state.cache.on_machine(machine.id);
  const jobs::TaskAssignment recorded{task, attempt, machine.id, machine.agent_incarnation};
  return std::any_of(assignments.begin(), assignments.end(), [&, job = job](const auto& placed) {
    return placed.job == job && placed.assignment == recorded;
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
    case Delivery::other_incarnation:
      return "other_incarnation";
    case Delivery::malformed:
      return "malformed";
    case Delivery::unexpected:
      return "unexpected_answer";
  }
  return "";
}

CommandAnswer interpret_answer(const http::Answer& answer) {
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
      result.delivery = Delivery::other_incarnation;
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
  // Ordered as the probes go out: whether the agent obeys us, when it was last probed, which machine.
  std::vector<std::tuple<bool, core::TimePoint, core::MachineId>> due;
  for (const auto& [id, machine] : state.fleet.all()) {
    if (!may_be_probed(state, machine)) continue;
    const bool silent =
        state.silent_s(machine, now) > state.settings.lease_s && !state.cache.on_machine(id).empty();
    const bool obeys =
        machine.has_heartbeat && machine.fencing_token >= state.fencing_token(machine.partition);
    if (obeys && !machine.unreachable() && !silent) continue;
    if (!machine.has_heartbeat && machine.status == "starting") continue;
    if (core::seconds_between(machine.last_probe, now) < (obeys ? kProbePauseS : kUrgentProbePauseS)) continue;
    due.emplace_back(obeys, machine.last_probe, id);
  }
  std::sort(due.begin(), due.end());
  if (due.size() > kProbesAtOnce) due.resize(kProbesAtOnce);
  std::vector<core::MachineId> machines;
  for (const auto& [obeys, last_probe, id] : due) machines.push_back(id);
  return machines;
}

void drop_void_starts(const ControllerState& state, const agent::Machine& machine, core::TimePoint now,
                      std::vector<wire::Command>& commands, std::vector<agent::TaskAttempt>& starts) {
  const bool none_now = starts_by_heartbeat_only(machine, now);
  std::erase_if(starts, [&](const agent::TaskAttempt& start) {
    if (!none_now && still_valid(state, machine, start)) return false;
    const auto& [job, task, attempt] = start;
    const auto& job_name = state.names.jobs.name(job);
    std::erase_if(commands, [&, task = task, attempt = attempt](const wire::Command& command) {
      return command.kind == wire::Command::Kind::start && command.task == task &&
             command.attempt == attempt && command.job == job_name;
    });
    return true;
  });
}

bool note_answer(ControllerState& state, core::MachineId id, std::uint64_t addressed_incarnation,
                 const CommandAnswer& answer, core::TimePoint now) {
  auto* machine = state.fleet.find(id);
  if (!machine) return false;
  const bool was_unreachable = machine->unreachable();
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
  // The answer is a heartbeat like any other, and the newest: a new leader need not wait for the next one.
  const bool changed = state.take(*machine, *answer.heartbeat, now, true).changed;
  machine->heard();
  if (was_unreachable)
    spdlog::info("machine reachable machine={} agent_incarnation={} reason=direct_command_answered",
                 machine->name, machine->agent_incarnation);
  return changed;
}

}  // namespace finchrun::gateway
