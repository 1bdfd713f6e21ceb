// Decisions about direct commands to agents: which machines to probe, which starts may still be sent, and how
// to interpret an answer. Does no I/O.
#pragma once

#include <optional>
#include <vector>

#include "controller/controller_state.hpp"
#include "http/transport.hpp"

namespace finchrun::gateway {

/// The outcome of sending direct commands to an agent.
enum class Delivery {
  not_sent,    ///< this controller no longer leads the partition, or the agent's address is unknown
  no_answer,   ///< the agent may execute the commands at any later time under their fencing token
  executed,    ///< the agent answered with a heartbeat
  conflict,    ///< not executed: the agent is in a later incarnation or obeys a higher fencing token
  malformed,   ///< not executed: the agent could not parse the commands
  unexpected,  ///< the answer proves nothing, for example because it comes from a proxy
};
const char* name_of(Delivery delivery);

/// The answer to direct commands.
struct CommandAnswer {
  Delivery delivery = Delivery::not_sent;
  std::optional<wire::Heartbeat> heartbeat;  ///< for `executed`, and for `conflict` if readable
  /// Sequence number of the answer, if the commands were executed.
  [[nodiscard]] std::optional<std::uint64_t> sequence() const {
    if (delivery != Delivery::executed) return std::nullopt;
    return heartbeat->sequence;
  }
};

CommandAnswer interpret_answer(const http::ClientResponse& answer);

/// Returns up to 16 machines whose agents should be probed now: first those with ends that a probe makes
/// final, then those that do not know this controller's fencing token, then those with the oldest probe. Rule
/// `ran_twice` requires that agents know the newest fencing token. A machine that has been silent for longer
/// than its lease is probed because it may only be unable to reach the controller; a newer incarnation in its
/// answer proves its tasks gone.
std::vector<core::MachineId> machines_to_probe(const controller::ControllerState& state, core::TimePoint now);

/// Removes the starts, with their commands, that must not be sent to the machine: those of jobs that are not
/// live, and of assignments that are no longer recorded or recorded for another incarnation of the agent.
/// Removes all starts for a while after a direct command got no answer.
void drop_void_starts(const controller::ControllerState& state, const agent::Machine& machine,
                      core::TimePoint now, std::vector<wire::Command>& commands,
                      std::vector<agent::TaskAttempt>& starts);

/// Raises the machine's command token above the starts of earlier attempts of the same tasks, which the agent
/// may forget when it starts the new ones. Removes the starts, with their commands, for which no such token
/// is available yet; the answers to later heartbeats start these.
void supersede_earlier_attempts(const controller::ControllerState& state, agent::Machine& machine,
                                std::vector<wire::Command>& commands,
                                std::vector<agent::TaskAttempt>& starts);

/// Returns true if the agent refused commands with this fencing token because a message of this controller
/// with a raised one had overtaken them, so that they can be sent again.
bool is_overtaken(const controller::ControllerState& state, const agent::Machine& machine,
                  std::uint64_t fencing_token, const CommandAnswer& answer);

/// Updates the machine from the answer. `addressed_incarnation`: the incarnation that the commands were sent
/// to. Returns true if exits were observed and have to be recorded.
bool apply_answer(controller::ControllerState& state, core::MachineId machine,
                  std::uint64_t addressed_incarnation, const CommandAnswer& answer, core::TimePoint now);

}  // namespace finchrun::gateway
