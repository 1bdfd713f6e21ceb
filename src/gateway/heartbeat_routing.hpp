// Whether a heartbeat is for this controller, and where it goes if not, decided from the state alone.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "controller/controller_state.hpp"

namespace finchrun::gateway {

/// The partition of the heartbeat's machine; nothing for one outside the deployment's zones.
std::optional<core::PartitionId> partition_of(const controller::ControllerState& state,
                                              const wire::Heartbeat& heartbeat);

/// Why a heartbeat is not answered with commands.
struct OutsideDeployment {};  ///< the agent's machine is in none of our zones: no partition, no leader
struct LedElsewhere {
  std::string leader;  ///< label of another controller, whose process runs as far as the store knows
};
struct NoLeader {};              ///< we don't lead the partition, and know nobody who does and runs
struct CancellationsUnknown {};  ///< an answer would renew tasks that may be cancelled (rule `ran_cancelled`)
struct MachineDeleted {};        ///< a late copy: nothing brings a machine back whose deletion was answered
using HeartbeatRefusal =
    std::variant<OutsideDeployment, LedElsewhere, NoLeader, CancellationsUnknown, MachineDeleted>;

/// Nothing if this controller leads the machine's partition (`partition_of` the heartbeat) and may answer its
/// agent.
std::optional<HeartbeatRefusal> why_not_answered(const controller::ControllerState& state,
                                                 const wire::Heartbeat& heartbeat,
                                                 std::optional<core::PartitionId> partition,
                                                 core::TimePoint now);

/// What happens to a heartbeat of another leader's partition.
enum class Forwarding {
  redirect,              ///< the agent is sent to the leader
  relay_after_redirect,  ///< relayed: the agent was sent to the leader a moment ago and is here again
  relay_unasked,         ///< relayed: the agent knows the leader and has come here all the same
};
/// `machine` as it was before this heartbeat; `leader_token`: the fencing token of the partition's leader.
Forwarding decide_forwarding(const agent::Machine& machine, const wire::Heartbeat& heartbeat,
                             std::uint64_t leader_token, double heartbeat_interval_s, core::TimePoint now);

}  // namespace finchrun::gateway
