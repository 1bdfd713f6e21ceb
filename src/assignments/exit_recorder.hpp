// Records observed exits: assignments that have ended, done tasks and completed jobs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "assignments/batch_size.hpp"
#include "assignments/planned_transaction.hpp"
#include "assignments/write_fences.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

namespace asio = boost::asio;

/// Records the exits that heartbeats have reported, for the partitions that this controller leads.
class ExitRecorder {
 public:
  ExitRecorder(controller::SharedState& state, state::KeyValueStore& store,
               coordination::StateFollower& follower, WriteFences& fences)
      : state_(state), store_(store), follower_(follower), fences_(fences) {}

  /// Commits one transaction for each partition that has something to record. Exits that can't be written now
  /// stay observed, and a later call records them.
  asio::awaitable<void> flush();

 private:
  struct PartitionTransaction {
    core::PartitionId partition;
    std::string partition_name;
    PlannedTransaction transaction;
  };
  std::vector<PartitionTransaction> plan();

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  WriteFences& fences_;
  std::map<core::PartitionId, BatchSize> batch_sizes_;
};

}  // namespace finchrun::assignments
