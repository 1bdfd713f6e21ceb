// Fences make an unanswered write fail if it still arrives at the store later.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;
using controller::ControllerState;

/// The transaction that moves one partition's fence.
struct FenceMove {
  core::PartitionId partition;
  std::uint64_t fencing_token = 0;  ///< under which the fence is moved
  state::Transaction transaction;
};

/// Returns the partitions whose fence is among the compares.
std::vector<core::PartitionId> fenced_partitions(const ControllerState& state,
                                                 const std::vector<state::Compare>& compares);
/// Returns the moves of the due fences of partitions that this controller leads. Each move compares only the
/// fencing token, so that it succeeds whether or not the unanswered write was applied.
std::vector<FenceMove> plan_fence_moves(const ControllerState& state);
/// Marks the fences among the compares of an unanswered commit as due, under the fencing token that the
/// commit compares. Under a newer token, the commit fails by that compare.
void mark_fences_due(ControllerState& state, const std::vector<state::Compare>& compares);
/// Records that the fence was moved at this revision, so that unanswered writes under its token fail.
void mark_fence_moved(ControllerState& state, const FenceMove& move, std::uint64_t revision);

/// Commits the transactions of a partition's leader. Each of them compares the partition's fence. An
/// unanswered commit may still be applied at any later time, so nothing more is decided or recorded for the
/// partition (rules quota, ran_twice, wrong_place, not_done) until the fence has moved; from then on the
/// commit fails.
class WriteFences {
 public:
  WriteFences(controller::SharedState& state, state::KeyValueStore& store,
              coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// Commits, and marks the fences among the compares as due if no answer comes. All transactions that
  /// compare a fence must be committed here.
  asio::awaitable<state::CommitResult> commit(state::Transaction transaction);
  /// Moves the due fences. A fence that can't be moved now stays due. Returns true if one was moved.
  asio::awaitable<bool> move_due_fences();
  /// Moves the due fences and waits for the read of all changes up to then, so that the next step may decide
  /// for their partitions.
  asio::awaitable<void> settle();

 private:
  asio::awaitable<bool> move(const FenceMove& move);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  core::TimePoint next_move_at_{};
};

}  // namespace finchrun::assignments
