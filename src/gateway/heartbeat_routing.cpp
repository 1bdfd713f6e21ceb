#include "gateway/heartbeat_routing.hpp"

namespace finchrun::gateway {

using controller::ControllerState;

std::optional<core::PartitionId> partition_of(const ControllerState& state,
                                              const wire::Heartbeat& heartbeat) {
  const auto zone = state.names.zones.find(heartbeat.zone);
  return zone ? state.partitions.partition_of(heartbeat.machine, *zone) : std::nullopt;
}

agent::Machine& add_machine(ControllerState& state, const wire::Heartbeat& heartbeat,
                            core::PartitionId partition, core::TimePoint now) {
  const agent::MachineIdentity identity{state.names.types.intern(heartbeat.type),
                                        state.partitions.zone(partition), partition, heartbeat.spot};
  return state.fleet.mark_seen(state.names, heartbeat.machine, identity, now);
}

std::optional<HeartbeatRefusal> find_refusal(const ControllerState& state, const wire::Heartbeat& heartbeat,
                                             std::optional<core::PartitionId> partition,
                                             core::TimePoint now) {
  if (!partition) return OutsideDeployment{};
  if (!state.leads(*partition)) {
    const auto& leader = state.cache.leadership(*partition).leader;
    const bool led_elsewhere = state.cache_loaded && !leader.empty() && leader != state.settings.label &&
                               state.is_member_alive(leader);
    if (!led_elsewhere) return NoLeader{};
    return LedElsewhere{leader};
  }
  if (!state.can_renew_leases(now)) return CancellationsUnknown{};
  if (state.fleet.was_deleted(state.names, heartbeat.machine)) return MachineDeleted{};
  return std::nullopt;
}

Forwarding decide_forwarding(const agent::Machine& machine, const wire::Heartbeat& heartbeat,
                             std::uint64_t leader_token, double heartbeat_interval_s, core::TimePoint now) {
  // An agent that gets no answer from the leader and then tries the other controllers returns within this
  // time.
  const double return_window_s = 3 * heartbeat_interval_s + 8;
  if (core::seconds_between(machine.redirected_at, now) < return_window_s)
    return Forwarding::relay_after_redirect;
  // An agent that obeys the leader's fencing token but contacts this controller can't reach the leader any
  // more. After a redirect it would wait for a second timeout, during which a lease of 10 s expires. An agent
  // that learned the token only from a direct command may reach the leader, so after a relayed heartbeat the
  // next one is redirected.
  const bool knows_leader_token = heartbeat.fencing_token >= leader_token;
  return knows_leader_token && !machine.relayed_without_redirect ? Forwarding::relay_without_redirect
                                                                 : Forwarding::redirect;
}

}  // namespace finchrun::gateway
