// Fences make a write that got no answer fail if it should still arrive.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;
using controller::ControllerState;

/// The move of one partition's fence.
struct FenceMove {
  core::PartitionId partition;
  state::Transaction transaction;
};

/// Partitions whose fence one of the compares names.
std::vector<core::PartitionId> partitions_fenced_by(const ControllerState& state,
                                                    const std::vector<state::Compare>& compares);
/// The fences that are due of the partitions that this controller leads. Each move is conditional on the
/// fencing token alone, so that it succeeds whether the unanswered write was applied or not.
std::vector<FenceMove> plan_fence_moves(const ControllerState& state);

/// Every write of a leader compares its partition's fence. A commit without an answer may still be applied,
/// at any later time, so nothing that it could upset (quota, ran_twice) is decided until the fence has moved:
/// from then on it fails.
class WriteFences {
 public:
  WriteFences(controller::SharedState& state, state::KeyValueStore& store,
              coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// After a commit that got no answer: the fences that its compares name are due.
  void require_new(const std::vector<state::Compare>& compares);
  /// Moves the fences that are due. What can't be moved now stays due.
  asio::awaitable<void> move_due();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::assignments
