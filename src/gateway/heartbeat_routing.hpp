// Decides whether this controller answers a heartbeat, and where the heartbeat goes otherwise. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "controller/controller_state.hpp"

namespace finchrun::gateway {

/// Returns the partition of the heartbeat's machine; empty for a machine outside the deployment's zones.
std::optional<core::PartitionId> partition_of(const controller::ControllerState& state,
                                              const wire::Heartbeat& heartbeat);

/// Returns the machine of the heartbeat. Adds it to the fleet if it is new, whether or not this controller
/// leads `partition`, which is `partition_of` the heartbeat.
agent::Machine& add_machine(controller::ControllerState& state, const wire::Heartbeat& heartbeat,
                            core::PartitionId partition, core::TimePoint now);

/// Why a heartbeat is not answered with commands.
struct OutsideDeployment {};  ///< the machine is in no zone of the deployment and has no partition or leader
struct LedElsewhere {
  std::string leader;  ///< label of another controller that is a member, according to the store
};
struct NoLeader {};              ///< no running controller is known to lead the partition
struct CancellationsUnknown {};  ///< an answer would renew tasks that may be cancelled (rule `ran_cancelled`)
struct MachineDeleted {};        ///< a late heartbeat of a machine whose deletion the cloud has confirmed
using HeartbeatRefusal =
    std::variant<OutsideDeployment, LedElsewhere, NoLeader, CancellationsUnknown, MachineDeleted>;

/// Returns the reason why this controller must not answer the heartbeat; empty if it leads `partition`, which
/// is `partition_of` the heartbeat, and may answer the agent.
std::optional<HeartbeatRefusal> find_refusal(const controller::ControllerState& state,
                                             const wire::Heartbeat& heartbeat,
                                             std::optional<core::PartitionId> partition, core::TimePoint now);

/// How a heartbeat for another leader's partition is forwarded.
enum class Forwarding {
  redirect,                ///< the agent is redirected to the leader
  relay_after_redirect,    ///< relayed, because the agent has returned shortly after a redirect
  relay_without_redirect,  ///< relayed, because the agent knows the leader's token but contacted this
                           ///< controller
};
/// Decides how to forward the heartbeat. `machine`: its state before this heartbeat; `leader_token`: the
/// fencing token of the partition's leader.
Forwarding decide_forwarding(const agent::Machine& machine, const wire::Heartbeat& heartbeat,
                             std::uint64_t leader_token, double heartbeat_interval_s, core::TimePoint now);

}  // namespace finchrun::gateway
