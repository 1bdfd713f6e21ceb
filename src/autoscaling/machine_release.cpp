#include "autoscaling/machine_release.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::autoscaling {
namespace {

using agent::Machine;
using controller::ControllerState;

void mark_gone(ControllerState& state, Machine& machine, agent::ExitProof proof) {
  agent::mark_assignments_ended(state.names, state.cache, state.fleet, machine.id, proof);
  state.fleet.deleted_machines.insert(machine.id);
  machine.deleted = true;
  machine.has_heartbeat = false;
  machine.release_failed = false;
}

/// Returns the latest time at which this controller has learned that the machine exists. It counts from the
/// start of the leadership at the earliest, like the silence of a machine.
core::TimePoint last_seen(const ControllerState& state, const Machine& machine, core::PartitionId partition) {
  return std::max({machine.last_message, machine.first_seen, state.leading_since.at(partition.index)});
}

bool names_machine(const std::vector<ScaleInDecision>& decisions, core::MachineId id) {
  return std::any_of(decisions.begin(), decisions.end(),
                     [id](const auto& decision) { return decision.machine == id; });
}

}  // namespace

void begin_release(ControllerState& state, const ScaleInPlan& plan, core::TimePoint now) {
  for (const auto& decision : plan.request) {
    auto& machine = *state.fleet.find(decision.machine);
    machine.terminating = true;
    machine.release_requested_at = now;
  }
  for (auto& [id, machine] : state.fleet.machines()) {
    if (!machine.release_failed || machine.terminating || names_machine(plan.postponed, id)) continue;
    machine.release_failed = false;
    machine.refused_releases = 0;
    spdlog::info("scale in withdrawn machine={}", machine.name);
  }
}

void finish_release(ControllerState& state, const ScaleInDecision& decision) {
  auto* machine = state.fleet.find(decision.machine);
  if (!machine) return;
  spdlog::info("scale in machine={} reason={}", decision.name, name_of(decision.reason));
  mark_gone(state, *machine, agent::ExitProof::machine_deleted);
}

void fail_release(ControllerState& state, const ScaleInDecision& decision, cloud::Error error,
                  bool cloud_available) {
  auto* machine = state.fleet.find(decision.machine);
  if (!machine) return;
  machine->terminating = false;
  if (!machine->release_failed)
    spdlog::warn("scale in failed machine={} reason={} error={} tasks={}", decision.name,
                 name_of(decision.reason), cloud::name_of(error),
                 state.cache.on_machine(decision.machine).size());
  machine->release_failed = true;
  if (cloud_available && error != cloud::Error::rate_limited)
    machine->refused_releases = std::min(machine->refused_releases + 1, kMaxReleaseHalvings);
}

void forgive_refused_releases(ControllerState& state) {
  for (auto& [_, machine] : state.fleet.machines())
    if (machine.refused_releases > 0) --machine.refused_releases;
}

double max_list_age_s(const config::Settings& settings) {
  constexpr double kMaxLags = 2;  // of the protocol
  constexpr double kClockDriftFactor = 1.01;
  constexpr double kReserveS = 1;
  return kMaxLags * kClockDriftFactor * settings.cloud_list_lag_s + kReserveS;
}

bool proves_gone(const cloud::MachineList& list, bool is_listed, core::TimePoint last_seen,
                 const config::Settings& settings) {
  return list.complete && !is_listed &&
         core::seconds_between(last_seen, list.requested_at) > max_list_age_s(settings);
}

void finish_missing_machines(ControllerState& state, const cloud::MachineList& list, core::TimePoint now) {
  if (!is_current(state, now)) return;
  state.cache.for_each_assigned_machine(
      [&](core::MachineId id, const std::vector<state::MachineAssignment>& assignments) {
        const auto partition = assignments.front().partition;
        auto* machine = state.fleet.find(id);
        if (!machine || machine->deleted || !state.leads(partition)) return;
        const auto seen = last_seen(state, *machine, partition);
        if (!proves_gone(list, machine->listed, seen, state.settings)) return;
        spdlog::info("machine gone machine={} reason=not_listed last_seen_s={:.0f} tasks={}", machine->name,
                     core::seconds_between(seen, now), assignments.size());
        mark_gone(state, *machine, agent::ExitProof::machine_not_listed);
      });
}

}  // namespace finchrun::autoscaling
