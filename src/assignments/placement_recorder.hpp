// Records placements before any start command is sent, and keeps decisions from using records that a late
// write may still change.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "assignments/batch_size.hpp"
#include "assignments/placement_plan.hpp"
#include "assignments/write_fences.hpp"
#include "coordination/state_follower.hpp"
#include "gateway/agent_commands.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;

/// Commits a round's placements and sends their start commands once they are durable (write-ahead).
class PlacementRecorder {
 public:
  PlacementRecorder(controller::SharedState& state, state::KeyValueStore& store,
                    coordination::StateFollower& follower, gateway::AgentCommands& commands,
                    controller::Runtime& runtime, WriteFences& fences)
      : state_(state),
        store_(store),
        follower_(follower),
        commands_(commands),
        runtime_(runtime),
        fences_(fences) {}

  /// Records the placements in as many transactions as they need. If some could not be recorded, returns the
  /// time from which the next round may retry.
  asio::awaitable<std::optional<core::TimePoint>> record(std::vector<PlannedPlacement> placements,
                                                         std::uint64_t attempt);

 private:
  void send_starts(const PlannedTransaction& transaction);
  /// Logs the jobs of placements that fit no transaction, each once.
  void log_too_large(const PlacementBatch& batch);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  gateway::AgentCommands& commands_;
  controller::Runtime& runtime_;
  WriteFences& fences_;
  std::set<core::JobId> logged_too_large_;
};

}  // namespace finchrun::assignments
