// Moves tasks that can't be placed to a partition with room.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "scheduling/backlog.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// A change of one job's task ranges.
struct RangeMove {
  /// Compares the source partition's fencing token and fence, and the job's record: a placement of ours that
  /// is still under way requires that record as it was (rules `ran_twice` and `wrong_place`).
  state::Transaction transaction;
  std::string log;  // to be logged once the transaction is applied
};

/// The first job of the backlog, in its order, of which tasks should go to another partition; nothing if none
/// should. Tasks move only by a change of their job's record, and those of a gang or of a job that stays in
/// one zone move all at once and only while none of them is placed (rule `wrong_place`).
/// Refreshes the state's cached load, and changes nothing else of it.
std::optional<RangeMove> plan_range_move(controller::ControllerState& state, const Backlog& backlog,
                                         core::TimePoint now);

/// The ranges with `tasks`, as far as they belong to `from`, given to `to`. Neighbours in one partition stay
/// in one range; ranges of other partitions stay as they are.
std::vector<jobs::TaskRange> move_tasks(const std::vector<jobs::TaskRange>& ranges, core::PartitionId from,
                                    core::PartitionId to, const std::set<std::uint32_t>& tasks);

/// Changes the task ranges of jobs in the backlog, one job a call: the load that a second move would be
/// decided on does not show the first.
class Rebalancer {
 public:
  Rebalancer(controller::SharedState& state, state::KeyValueStore& store,
             coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// Plans one move and commits it, if the store's budget of writes allows. A move that fails is planned anew
  /// with the next backlog.
  asio::awaitable<void> rebalance(const Backlog& backlog);

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::scheduling
