// Writes the usage windows of our partitions, so that the next leader goes on from them.
#pragma once

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

class UsageRecorder {
 public:
  UsageRecorder(controller::SharedState& state, state::KeyValueStore& store,
                coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// One transaction for each partition that this controller leads.
  asio::awaitable<void> record();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::scheduling
