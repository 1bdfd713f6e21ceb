#include "autoscaling/scale_in_plan.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace finchrun::autoscaling {
namespace {

using agent::Machine;
using controller::ControllerState;

/// Returns the time without heartbeats after which a machine may be gone. A heartbeat is sent every
/// `heartbeat_interval_s`.
double silence_threshold_s(const config::Settings& settings) { return 3 * settings.heartbeat_interval_s + 2; }

/// Counts of a partition's running machines with and without recent heartbeats.
struct PartitionHealth {
  int heartbeating = 0;
  int silent = 0;
  [[nodiscard]] bool is_mostly_silent() const { return silent > heartbeating; }
};

std::vector<PartitionHealth> partition_health(const ControllerState& state, core::TimePoint now) {
  std::vector<PartitionHealth> partitions(state.partitions.size());
  for (const auto& [_, machine] : state.fleet.machines()) {
    if (!machine.partition.valid() || machine.deleted || !machine.listed || machine.status != "running")
      continue;
    auto& health = partitions[machine.partition.index];
    const bool silent = state.seconds_since_heartbeat(machine, now) > silence_threshold_s(state.settings);
    ++(silent ? health.silent : health.heartbeating);
  }
  return partitions;
}

/// Returns how long a silent machine is kept beyond its lease. If most machines of a partition are silent,
/// the cause is probably a network partition of its zone, which gets time to recover. A machine with a
/// cancelled task is released soon: it may hang with the task still running, which the rule `ran_cancelled`
/// allows only shortly beyond the lease, and its other tasks are not worth a longer wait.
double silence_grace_s(const ControllerState& state, const std::vector<state::MachineAssignment>& assignments,
                       const PartitionHealth& health) {
  constexpr double kCancelledTaskGraceS = 3;
  constexpr double kZoneOutageGraceS = 90;
  constexpr double kDefaultGraceS = 15;
  const bool has_cancelled_task =
      std::any_of(assignments.begin(), assignments.end(), [&](const state::MachineAssignment& assignment) {
        return state.cache.cancelled_with_tasks().contains(assignment.job);
      });
  if (has_cancelled_task) return kCancelledTaskGraceS;
  return health.is_mostly_silent() ? kZoneOutageGraceS : kDefaultGraceS;
}

/// Returns true if a silent machine is not in the cloud's list. A machine that was never listed gets time to
/// appear, since the list lags.
bool is_unlisted(const ControllerState& state, const Machine& machine, double silent_s) {
  if (machine.listed || silent_s <= silence_threshold_s(state.settings)) return false;
  return machine.ever_listed || silent_s > 3 * state.settings.cloud_list_lag_s + 5;
}

bool never_came_up(const ControllerState& state, const Machine& machine, core::TimePoint now) {
  const auto* type = state.fleet.machine_type(machine.type);
  return machine.listed && machine.status == "starting" && type &&
         core::seconds_between(machine.starting_since, now) > 5 * type->boot_s + 30;
}

/// Returns true if the machine's heartbeats arrive, but the answers to it do not: its lease has expired
/// repeatedly although this controller answers. A machine without heartbeats may be cut off, and gets the
/// grace of a silent one.
bool is_unreachable(const ControllerState& state, const Machine& machine, double silent_s,
                    core::TimePoint now) {
  const double lease_s = state.settings.agent_lease_s;
  return machine.is_unreachable() && silent_s < lease_s &&
         core::seconds_between(*machine.unreachable_since, now) > 2 * lease_s + 15;
}

std::optional<ScaleInReason> scale_in_reason(const ControllerState& state, const Machine& machine,
                                             const PartitionHealth& health, core::TimePoint now) {
  const auto& assignments = state.cache.on_machine(machine.id);
  const bool in_use = !assignments.empty();
  const double silent_s = state.seconds_since_heartbeat(machine, now);
  if (machine.listed && machine.status == "failed") return ScaleInReason::failed;
  if (in_use && is_unlisted(state, machine, silent_s)) return ScaleInReason::unlisted;
  if (machine.listed && machine.status == "running" &&
      silent_s > state.settings.agent_lease_s + silence_grace_s(state, assignments, health))
    return ScaleInReason::silent;
  if (never_came_up(state, machine, now)) return ScaleInReason::never_came_up;
  if (machine.quarantined && !in_use) return ScaleInReason::quarantined;
  if (is_unreachable(state, machine, silent_s, now)) return ScaleInReason::unreachable;
  if (machine.has_heartbeat && !in_use &&
      core::seconds_between(machine.idle_since, now) > state.tuning.scale_in_idle_s)
    return ScaleInReason::idle;
  return std::nullopt;
}

}  // namespace

const char* name_of(ScaleInReason reason) {
  switch (reason) {
    case ScaleInReason::failed:
      return "failed";
    case ScaleInReason::unlisted:
      return "unlisted";
    case ScaleInReason::silent:
      return "silent";
    case ScaleInReason::never_came_up:
      return "never_came_up";
    case ScaleInReason::quarantined:
      return "quarantined";
    case ScaleInReason::unreachable:
      return "unreachable";
    case ScaleInReason::idle:
      return "idle";
  }
  return "unknown";
}

bool is_current(const ControllerState& state, core::TimePoint now) {
  constexpr double kMaxStateAgeS = 1.5;
  return core::seconds_between(state.synchronized_at, now) <= kMaxStateAgeS;
}

std::size_t max_release_batch(const Machine& machine) {
  const auto halvings = static_cast<unsigned>(std::min(machine.refused_releases, kMaxReleaseHalvings));
  return std::max<std::size_t>(1, kMaxReleasesPerPlan >> halvings);
}

ScaleInPlan plan_scale_in(const ControllerState& state, core::TimePoint now) {
  if (!is_current(state, now)) return {};
  const auto health = partition_health(state, now);
  std::vector<std::pair<const Machine*, ScaleInReason>> due;
  for (const auto& [_, machine] : state.fleet.machines()) {
    if (!machine.partition.valid() || !state.leads(machine.partition)) continue;
    if (machine.deleted || machine.terminating) continue;
    if (const auto reason = scale_in_reason(state, machine, health[machine.partition.index], now))
      due.emplace_back(&machine, *reason);
  }
  std::stable_sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
    return left.first->release_requested_at < right.first->release_requested_at;
  });
  ScaleInPlan plan;
  for (const auto& [machine, reason] : due) {
    const auto* first = due.front().first;
    const bool has_room = machine->refused_releases == first->refused_releases &&
                          plan.request.size() < max_release_batch(*first);
    auto& decisions = has_room ? plan.request : plan.postponed;
    decisions.push_back({machine->id, machine->name, reason});
  }
  return plan;
}

}  // namespace finchrun::autoscaling
