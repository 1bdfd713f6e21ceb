#include "autoscaling/scale_in_plan.hpp"

#include <algorithm>
#include <optional>

namespace finchrun::autoscaling {
namespace {

using agent::Machine;
using controller::ControllerState;

/// Longer than this without a heartbeat, and a machine may be gone. Heartbeats come every `report_s`.
double may_be_gone_s(const config::Settings& settings) { return 3 * settings.report_s + 2; }

/// Of the running machines of each partition: from how many heartbeats come.
struct PartitionHealth {
  int heartbeating = 0;
  int silent = 0;
  [[nodiscard]] bool mostly_silent() const { return silent > heartbeating; }
};

std::vector<PartitionHealth> partition_health(const ControllerState& state, core::TimePoint now) {
  std::vector<PartitionHealth> partitions(state.partitions.size());
  for (const auto& [_, machine] : state.fleet.all()) {
    if (!machine.partition.valid() || machine.gone || !machine.listed || machine.status != "running")
      continue;
    auto& health = partitions[machine.partition.index];
    const bool silent = state.silent_s(machine, now) > may_be_gone_s(state.settings);
    ++(silent ? health.silent : health.heartbeating);
  }
  return partitions;
}

/// How much longer than a lease a silent machine is waited for. Most machines of a partition don't fall
/// silent by themselves: its zone may be cut off, and is given time to come back. A silent machine with a
/// cancelled task may hang and still hold the task, whose time is up soon after the lease (rule
/// `ran_cancelled`); nothing else on it is worth that wait.
double wait_beyond_lease_s(const ControllerState& state, const std::vector<state::MachineAssignment>& placed,
                           const PartitionHealth& health) {
  constexpr double kWithCancelledTaskS = 3;
  constexpr double kZoneCutOffS = 90;
  constexpr double kUsualS = 15;
  const bool has_cancelled_task =
      std::any_of(placed.begin(), placed.end(), [&](const state::MachineAssignment& assignment) {
        return state.cache.cancelled_with_tasks().contains(assignment.job);
      });
  if (has_cancelled_task) return kWithCancelledTaskS;
  return health.mostly_silent() ? kZoneCutOffS : kUsualS;
}

/// The cloud's list lags: a machine that was never in it is given time to appear.
bool is_unlisted(const ControllerState& state, const Machine& machine, double silent_s) {
  if (machine.listed || silent_s <= may_be_gone_s(state.settings)) return false;
  return machine.ever_listed || silent_s > 3 * state.settings.cloud_list_lag_s + 5;
}

bool never_came_up(const ControllerState& state, const Machine& machine, core::TimePoint now) {
  const auto* type = state.fleet.machine_type(machine.type);
  return machine.listed && machine.status == "starting" && type &&
         core::seconds_between(machine.starting_since, now) > 5 * type->boot_s + 30;
}

/// Its heartbeats come and nothing of ours arrives: its lease has run out, and again, with us answering. A
/// machine whose heartbeats don't come either may be cut off, and is waited for as a silent one.
bool is_unreachable(const ControllerState& state, const Machine& machine, double silent_s,
                    core::TimePoint now) {
  const double lease_s = state.settings.lease_s;
  return machine.unreachable() && silent_s < lease_s &&
         core::seconds_between(*machine.unreachable_since, now) > 2 * lease_s + 15;
}

std::optional<ScaleInReason> reason_to_return(const ControllerState& state, const Machine& machine,
                                              const PartitionHealth& health, core::TimePoint now) {
  const auto& placed = state.cache.on_machine(machine.id);
  const bool in_use = !placed.empty();
  const double silent_s = state.silent_s(machine, now);
  if (machine.listed && machine.status == "failed") return ScaleInReason::failed;
  if (in_use && is_unlisted(state, machine, silent_s)) return ScaleInReason::unlisted;
  if (machine.listed && machine.status == "running" &&
      silent_s > state.settings.lease_s + wait_beyond_lease_s(state, placed, health))
    return ScaleInReason::silent;
  if (never_came_up(state, machine, now)) return ScaleInReason::never_came_up;
  if (machine.quarantined && !in_use) return ScaleInReason::quarantined;
  if (is_unreachable(state, machine, silent_s, now)) return ScaleInReason::unreachable;
  if (machine.has_heartbeat && !in_use && core::seconds_between(machine.idle_since, now) > state.tuning.idle_return_s)
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
  constexpr double kOldestReadS = 1.5;
  return core::seconds_between(state.synchronized_at, now) <= kOldestReadS;
}

std::vector<ScaleInDecision> plan_scale_in(const ControllerState& state, core::TimePoint now) {
  if (!is_current(state, now)) return {};
  const auto health = partition_health(state, now);
  std::vector<ScaleInDecision> decisions;
  for (const auto& [id, machine] : state.fleet.all()) {
    if (decisions.size() >= kMostReturnedAtOnce) break;
    if (!machine.partition.valid() || !state.leads(machine.partition)) continue;
    if (machine.gone || machine.terminating) continue;
    if (const auto reason = reason_to_return(state, machine, health[machine.partition.index], now))
      decisions.push_back({id, machine.name, *reason});
  }
  return decisions;
}

}  // namespace finchrun::autoscaling
