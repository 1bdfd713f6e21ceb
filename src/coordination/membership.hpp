// This controller's membership: a key in the key-value store, attached to a store lease that is renewed
// while the process runs.
#pragma once

#include <optional>
#include <string_view>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Returns why the process has to join again, for the log; nullopt while its membership is valid. The key
/// can be lost while the store lease is valid: a late write of this label's earlier process replaces it.
std::optional<std::string_view> membership_loss(const controller::ControllerState& state,
                                                state::LeaseRenewal renewal);

/// Joins, renews the store lease, and joins again when the lease or the member key is lost. Other
/// controllers may lead this controller's partitions only once the key is gone.
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

  asio::awaitable<void> run();

 private:
  // Returns false if the caller has to retry.
  asio::awaitable<bool> join();

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  StateFollower& follower_;
  const config::Settings& settings_;
  const config::Tuning& tuning_;
};

}  // namespace finchrun::coordination
