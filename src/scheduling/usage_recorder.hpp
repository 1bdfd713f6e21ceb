// Records the usage windows of the partitions that this controller leads, so that the next leader continues
// from them.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// Returns one write for each partition that this controller leads and whose earlier record it has restored
/// under the current fencing token; each compares that token. A record has as many of the newest windows as
/// fit in one value, in whole core-seconds; the oldest are left out, since they have the least weight.
std::vector<state::Transaction> plan_usage_records(const controller::ControllerState& state);

/// Records usage. Usage lost between two records affects only the accuracy of fair sharing.
class UsageRecorder {
 public:
  UsageRecorder(controller::SharedState& state, state::KeyValueStore& store,
                coordination::StateFollower& follower)
      : state_(state), store_(store), follower_(follower) {}

  /// Commits the planned writes within the write budget of the key-value store.
  asio::awaitable<void> record();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
};

}  // namespace finchrun::scheduling
