// Leadership of partitions: acquired by compare-and-swap on the partition's record, whose revision is the
// fencing token.
#pragma once

#include <map>
#include <string>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Takes over partitions whose leader has lost its membership, and transfers leadership back to the
/// controller that is preferred for a partition once that has been alive for a while.
class Leadership {
 public:
  Leadership(controller::Runtime& runtime, controller::SharedState& state, StateFollower& follower)
      : runtime_(runtime), state_(state), follower_(follower) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  asio::awaitable<void> acquire(core::PartitionId partition, std::string from);
  asio::awaitable<void> transfer(core::PartitionId partition, std::string to);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  StateFollower& follower_;
  std::map<std::string, core::TimePoint> alive_since_;  // by label of another controller
};

}  // namespace finchrun::coordination
