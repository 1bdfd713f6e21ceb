// Moves tasks that cannot be placed to partitions with free capacity.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "assignments/write_fences.hpp"
#include "controller/controller_state.hpp"
#include "scheduling/backlog.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// A transaction that changes the task ranges of one job.
struct RangeMove {
  /// Compares the source partition's fencing token and fence, and the job's record. In-flight placements of
  /// this controller compare the same record and fail after the move (rules `ran_twice` and `wrong_place`).
  state::Transaction transaction;
  std::string log_line;  // logged after the commit
};

/// Returns the move for the first job in the backlog whose tasks should go to another partition, or nullopt.
/// Tasks move only by a change of their job's record. Tasks of a gang or a single-zone job move together and
/// only while none of them is placed (rule `wrong_place`). Changes nothing in the state but the cached load.
std::optional<RangeMove> plan_range_move(controller::ControllerState& state, const Backlog& backlog,
                                         core::TimePoint now);

/// Returns the ranges with those of `tasks` that belong to partition `from` moved to `to`. Splits ranges only
/// where necessary, and keeps the ranges of other partitions.
std::vector<jobs::TaskRange> move_tasks(const std::vector<jobs::TaskRange>& ranges, core::PartitionId from,
                                        core::PartitionId to, const std::set<std::uint32_t>& tasks);

/// Moves tasks of jobs in the backlog, one job per call, since the cached load does not include the previous
/// move.
class Rebalancer {
 public:
  Rebalancer(controller::SharedState& state, state::KeyValueStore& store, assignments::WriteFences& fences)
      : state_(state), store_(store), fences_(fences) {}

  /// Plans one move and commits it if the write budget allows. A failed move is planned again from the next
  /// backlog.
  asio::awaitable<void> rebalance(const Backlog& backlog);

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  assignments::WriteFences& fences_;
};

}  // namespace finchrun::scheduling
