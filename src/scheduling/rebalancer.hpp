// Moves tasks that can't be placed to a partition with room.
#pragma once

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "scheduling/backlog.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// Changes the task ranges of jobs in the backlog, one job a call, so that views stay true.
class Rebalancer {
 public:
  Rebalancer(controller::SharedState& state, state::KeyValueStore& store,
             coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  asio::awaitable<void> rebalance(const Backlog& backlog);

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::scheduling
