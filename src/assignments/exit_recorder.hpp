// Observed exits become records: what has ended, what is done, which jobs are over.
#pragma once

#include <string>
#include <vector>

#include "assignments/planned_transaction.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;

/// Records the exits that heartbeats have shown, for the partitions that this controller leads.
class ExitRecorder {
 public:
  ExitRecorder(controller::SharedState& state, state::KeyValueStore& store,
               coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// One transaction for each partition with something to record. What can't be written now stays observed
  /// and is recorded by a later call.
  asio::awaitable<void> flush();

 private:
  struct PartitionTransaction {
    std::string partition;  // its name
    PlannedTransaction transaction;
  };
  std::vector<PartitionTransaction> plan();

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::assignments
