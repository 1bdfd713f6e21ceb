// Placements are recorded before any start command leaves, and nothing is decided on records that a late
// write may still change.
#pragma once

#include <optional>
#include <vector>

#include "assignments/placement_plan.hpp"
#include "assignments/write_fences.hpp"
#include "coordination/state_follower.hpp"
#include "gateway/agent_commands.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;

/// Writes a round's placements and sends their start commands once they are durable (write-ahead).
class PlacementRecorder {
 public:
  PlacementRecorder(controller::SharedState& state, state::KeyValueStore& store,
                    coordination::StateFollower& follower, gateway::AgentCommands& commands,
                    controller::Runtime& runtime)
      : state_(state),
        store_(store),
        follower_(follower),
        commands_(commands),
        runtime_(runtime),
        fences_(state, store, follower) {}

  /// Records the placements in as many transactions as they need. When something could not be recorded: the
  /// moment from which the next round may try again.
  asio::awaitable<std::optional<core::TimePoint>> record(std::vector<PlannedPlacement> placements,
                                                         std::uint64_t attempt);
  /// See WriteFences::require_new.
  void require_new_fences(const std::vector<state::Compare>& compares) { fences_.require_new(compares); }
  /// See WriteFences::move_due.
  asio::awaitable<void> move_fences() { return fences_.move_due(); }

 private:
  void send_starts(const PlannedTransaction& transaction);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  gateway::AgentCommands& commands_;
  controller::Runtime& runtime_;
  WriteFences fences_;
};

}  // namespace finchrun::assignments
