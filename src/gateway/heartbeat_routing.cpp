#include "gateway/heartbeat_routing.hpp"

namespace finchrun::gateway {

using controller::ControllerState;

std::optional<core::PartitionId> partition_of(const ControllerState& state,
                                              const wire::Heartbeat& heartbeat) {
  const auto zone = state.names.zones.find(heartbeat.zone);
  return zone ? state.partitions.partition_of(heartbeat.machine, *zone) : std::nullopt;
}

std::optional<HeartbeatRefusal> why_not_answered(const ControllerState& state,
                                                 const wire::Heartbeat& heartbeat,
                                                 std::optional<core::PartitionId> partition,
                                                 core::TimePoint now) {
  if (!partition) return OutsideDeployment{};
  if (!state.leads(*partition)) {
    const auto& leader = state.cache.leadership(*partition).leader;
    const bool elsewhere =
        state.loaded && !leader.empty() && leader != state.settings.label && state.alive(leader);
    if (!elsewhere) return NoLeader{};
    return LedElsewhere{leader};
  }
  if (!state.may_renew_leases(now)) return CancellationsUnknown{};
  if (state.fleet.was_deleted(state.names, heartbeat.machine)) return MachineDeleted{};
  return std::nullopt;
}

Forwarding decide_forwarding(const agent::Machine& machine, const wire::Heartbeat& heartbeat,
                             std::uint64_t leader_token, double heartbeat_interval_s, core::TimePoint now) {
  // An agent that was sent away, waits for its answer in vain and tries the others is back within this.
  const double back_within_s = 3 * heartbeat_interval_s + 8;
  if (core::seconds_between(machine.redirected_at, now) < back_within_s) return Forwarding::relay_after_redirect;
  // It obeys the leader's present fencing token and has come here all the same: it can't reach the leader any
  // more. Sent there once more, it waited for a second time-out, and a lease of 10 s ran out meanwhile. Yet
  // one that has only learnt the token from a direct command goes to the leader with its next heartbeat.
  const bool knows_leader = heartbeat.fencing_token >= leader_token;
  return knows_leader && !machine.relayed ? Forwarding::relay_unasked : Forwarding::redirect;
}

}  // namespace finchrun::gateway
