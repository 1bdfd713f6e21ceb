#include "autoscaling/machine_release.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::autoscaling {

using controller::ControllerState;

void begin_release(ControllerState& state, const std::vector<ScaleInDecision>& plan) {
  for (const auto& decision : plan) state.fleet.find(decision.machine)->terminating = true;
  for (auto& [_, machine] : state.fleet.machines()) {
    if (!machine.release_failed || machine.terminating) continue;
    machine.release_failed = false;
    spdlog::info("scale in withdrawn machine={}", machine.name);
  }
}

void finish_release(ControllerState& state, const ScaleInDecision& decision) {
  auto* machine = state.fleet.find(decision.machine);
  if (!machine) return;
  spdlog::info("scale in machine={} reason={}", decision.name, name_of(decision.reason));
  agent::mark_assignments_ended(state.cache, state.fleet, decision.machine);
  state.fleet.deleted_machines.insert(decision.machine);
  machine->deleted = true;
  machine->has_heartbeat = false;
  machine->release_failed = false;
}

void fail_release(ControllerState& state, const ScaleInDecision& decision, cloud::Error error) {
  auto* machine = state.fleet.find(decision.machine);
  if (!machine) return;
  machine->terminating = false;
  if (!machine->release_failed)
    spdlog::warn("scale in failed machine={} reason={} error={} tasks={}", decision.name,
                 name_of(decision.reason), cloud::name_of(error),
                 state.cache.on_machine(decision.machine).size());
  machine->release_failed = true;
}

}  // namespace finchrun::autoscaling
