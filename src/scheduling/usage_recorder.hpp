// Writes the usage windows of our partitions, so that the next leader goes on from them.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// One write for each partition that this controller leads and whose usage it has taken over under its
/// present fencing token; each compares that token. The newest windows, as many as fit into one value: the
/// oldest count least. Whole core-seconds.
std::vector<state::Transaction> plan_usage_records(const controller::ControllerState& state);

/// Records usage. What is lost between two records makes fair share a little less fair, and nothing else.
class UsageRecorder {
 public:
  UsageRecorder(controller::SharedState& state, state::KeyValueStore& store,
                coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// Commits what is planned, as far as the store's budget of writes goes.
  asio::awaitable<void> record();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::scheduling
