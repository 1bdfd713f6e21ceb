// What is decided about commands that go straight to agents, from the state alone: which machines to probe,
// which starts may still leave, and what an answer shows.
#pragma once

#include <optional>
#include <vector>

#include "controller/controller_state.hpp"
#include "http/transport.hpp"

namespace finchrun::gateway {

/// What became of commands that were sent straight to an agent.
enum class Delivery {
  not_sent,           ///< we don't lead the machine's partition any more, or know no address of its agent
  no_answer,          ///< they may be carried out at any later time under their fencing token
  executed,           ///< and the agent's answer is a heartbeat
  other_incarnation,  ///< not executed: the agent is in another incarnation than the one addressed
  malformed,          ///< not executed: the agent could not read them
  unexpected,         ///< an answer that proves nothing, for example from something between us and the agent
};
const char* name_of(Delivery delivery);

/// The answer to direct commands.
struct CommandAnswer {
  Delivery delivery = Delivery::not_sent;
  std::optional<wire::Heartbeat> heartbeat;  ///< of `executed`, and of `other_incarnation` if it can be read
  /// Sequence number of the answer, if the commands were executed.
  [[nodiscard]] std::optional<std::uint64_t> sequence() const {
    if (delivery != Delivery::executed) return std::nullopt;
    return heartbeat->sequence;
  }
};

CommandAnswer interpret_answer(const http::ClientResponse& answer);

/// The machines whose agents should be probed now, 16 at most: first those that do not know our fencing
/// token, then whoever was probed longest ago. Rule `ran_twice` rests on agents that know the newest fencing
/// token, and a machine that is silent past its lease may only be unable to reach us: its next incarnation,
/// seen in an answer, proves its tasks gone.
std::vector<core::MachineId> machines_to_probe(const controller::ControllerState& state, core::TimePoint now);

/// Takes out the starts, and their commands, that must not be sent to the machine (any more): of jobs that
/// are over, of assignments that are recorded no more or for another incarnation of the agent; and all of
/// them for a while after a direct command got no answer.
void drop_void_starts(const controller::ControllerState& state, const agent::Machine& machine,
                      core::TimePoint now, std::vector<wire::Command>& commands,
                      std::vector<agent::TaskAttempt>& starts);

/// Notes in the state what the answer shows of the machine. `addressed_incarnation`: the one that the
/// commands were for. True if there is something new to record.
bool note_answer(controller::ControllerState& state, core::MachineId machine,
                 std::uint64_t addressed_incarnation, const CommandAnswer& answer, core::TimePoint now);

}  // namespace finchrun::gateway
