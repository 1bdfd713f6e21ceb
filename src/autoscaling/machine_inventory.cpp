#include "autoscaling/machine_inventory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::autoscaling {
namespace {

using controller::ControllerState;

// The grace period of a zone outage, and some requests to the cloud.
constexpr double kMaxSilenceBeyondLeaseS = 150;

void update_listed_machine(ControllerState& state, const cloud::ListedMachine& listed, core::TimePoint now) {
  if (state.fleet.was_deleted(state.names, listed.name)) return;  // the list lags
  const auto identity = identity_of(state, listed.name, {listed.type, listed.zone, listed.spot});
  auto& machine = state.fleet.mark_seen(state.names, listed.name, identity, now);
  machine.listed = machine.ever_listed = true;
  if (!listed.endpoint.empty()) machine.endpoint = listed.endpoint;
  if (listed.status == "starting" && machine.status != "starting")
    machine.starting_since = now - core::to_duration(listed.rented_for_s);
  machine.status = listed.status;
}

/// Returns true if the machine's agent may execute a direct start, or a copy of it, if it comes back.
bool may_execute_direct_start(const ControllerState& state, const agent::Machine& machine) {
  return !machine.deleted && machine.partition.valid() &&
         machine.direct_starts.has_any(state.fencing_token(machine.partition));
}

/// Removes machines that are not listed, have no recorded assignments and have been silent for long.
void remove_stale_machines(ControllerState& state, core::TimePoint now) {
  const double retention_s = 4 * state.settings.cloud_list_lag_s + 60;
  std::erase_if(state.fleet.machines(), [&](const auto& item) {
    const auto& [id, machine] = item;
    return !machine.listed && state.cache.on_machine(id).empty() &&
           !may_execute_direct_start(state, machine) &&
           core::seconds_between(machine.first_seen, now) > retention_s &&
           core::seconds_between(machine.last_heartbeat, now) > retention_s;
  });
}

}  // namespace

agent::MachineIdentity identity_of(ControllerState& state, const std::string& machine,
                                   const MachineKind& kind) {
  const auto zone = state.names.zones.intern(kind.zone);
  const auto partition = state.partitions.partition_of(machine, zone);
  return {state.names.types.intern(kind.type), zone, partition.value_or(core::PartitionId{}), kind.spot};
}

void apply_machine_list(ControllerState& state, const cloud::MachineList& list, core::TimePoint now) {
  if (list.complete)
    for (auto& [_, machine] : state.fleet.machines()) machine.listed = false;
  for (const auto& listed : list.machines) update_listed_machine(state, listed, now);
  if (list.complete) remove_stale_machines(state, now);
}

void reconcile_recorded_machines(ControllerState& state, core::TimePoint now) {
  state.cache.for_each_assigned_machine([&](core::MachineId id,
                                            const std::vector<state::MachineAssignment>& assignments) {
    const auto partition = assignments.front().partition;
    if (!state.leads(partition)) return;
    // The placement was in flight when the machine was released, so its tasks are gone too.
    if (state.fleet.deleted_machines.contains(id))
      return agent::mark_assignments_ended(state.names, state.cache, state.fleet, id,
                                           agent::ExitProof::machine_deleted);
    if (state.fleet.find(id)) return;
    // The machine disappeared while the partition had no leader: it is recorded, but not listed and
    // without heartbeats. Its deletion must be requested, or its tasks stay assigned forever.
    const agent::MachineIdentity identity{{}, state.partitions.zone(partition), partition, false};
    const auto& machine = state.fleet.mark_seen(state.names, state.names.machines.name(id), identity, now);
    spdlog::info("recorded machine added machine={} partition={}", machine.name,
                 state.names.partitions.name(partition));
  });
}

void log_silent_recorded_machines(ControllerState& state, core::TimePoint now) {
  const double max_silence_s = state.settings.agent_lease_s + kMaxSilenceBeyondLeaseS;
  state.cache.for_each_assigned_machine(
      [&](core::MachineId id, const std::vector<state::MachineAssignment>& assignments) {
        const auto partition = assignments.front().partition;
        auto* machine = state.fleet.find(id);
        if (!machine || !state.leads(partition)) return;
        const auto term_start = state.leading_since.at(partition.index);
        const auto heard = std::max({machine->last_heartbeat, machine->first_seen, term_start});
        const double silent_s = core::seconds_between(heard, now);
        const bool silent = silent_s > max_silence_s;
        if (silent && !machine->silence_logged)
          spdlog::warn("recorded machine silent machine={} silent_s={:.0f} listed={} terminating={} tasks={}",
                       machine->name, silent_s, machine->listed, machine->terminating, assignments.size());
        machine->silence_logged = silent;
      });
}

}  // namespace finchrun::autoscaling
