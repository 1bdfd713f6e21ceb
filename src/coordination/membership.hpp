// This controller's membership: a key in the key-value store, attached to a store lease that is renewed while
// the process lives.
#pragma once

#include <optional>
#include <string_view>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Why the process has to join anew, for the log; nothing while its membership goes on. The key can be lost
/// under a living store lease: a late write of our label's earlier process took it along.
std::optional<std::string_view> membership_loss(const controller::ControllerState& state,
                                                state::LeaseRenewal renewal);

/// Joins, renews, and joins again when the store lease or the member key is lost. Other controllers may lead
/// our partitions only once the key is gone.
class Membership {
 public:
  Membership(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
             StateFollower& follower, const config::Settings& settings, const config::Tuning& tuning)
      : runtime_(runtime),
        state_(state),
        store_(store),
        follower_(follower),
        settings_(settings),
        tuning_(tuning) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  // False if it has to be tried again.
  asio::awaitable<bool> join();

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  StateFollower& follower_;
  const config::Settings& settings_;
  const config::Tuning& tuning_;
};

}  // namespace finchrun::coordination
