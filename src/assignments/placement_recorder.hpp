// Placements are recorded before any start command leaves, and nothing is decided on records that a late
// write may still change.
#pragma once

#include <optional>
#include <vector>

#include "assignments/assignment_writer.hpp"
#include "coordination/state_follower.hpp"
#include "gateway/agent_commands.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;

/// What a scheduling round has found for one job.
struct PlannedPlacement {
  core::PartitionId partition;
  std::uint64_t fencing_token = 0;  // the partition's term when it was decided
  core::JobId job;
  std::uint64_t job_revision = 0;
  double weight = 0;
  std::vector<std::pair<std::uint32_t, core::MachineId>> tasks;
};

/// Writes a round's placements and sends their start commands once they are durable.
class PlacementRecorder {
 public:
  PlacementRecorder(controller::SharedState& state, state::KeyValueStore& store,
                    coordination::StateFollower& follower, gateway::AgentCommands& commands,
                    controller::Runtime& runtime)
      : state_(state), store_(store), follower_(follower), commands_(commands), runtime_(runtime) {}

  /// Records the placements in as many transactions as they need. When something could not be recorded: the
  /// moment from which the next round may try again.
  asio::awaitable<std::optional<core::TimePoint>> record(std::vector<PlannedPlacement> placements,
                                                         std::uint64_t attempt);
  /// After a write that got no answer: nothing that it could upset is decided until the fences of its
  /// partitions have moved.
  void require_new_fences(const std::vector<state::Compare>& compares);
  /// Moves the fences that are due, which makes every earlier write without an answer fail.
  asio::awaitable<void> move_fences();

 private:
  void send_starts(const PlannedTransaction& e);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  gateway::AgentCommands& commands_;
  controller::Runtime& runtime_;
};

}  // namespace finchrun::assignments
