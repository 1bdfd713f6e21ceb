// Keeps the state cache up to date with the key-value store, and proves answers to users fresh.
#pragma once

#include <list>
#include <memory>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// The one place where changes of the key-value store enter the state cache: those that the store tells, and
/// those that this controller commits.
class StateFollower {
 public:
  StateFollower(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
                const config::Tuning& tuning)
      : runtime_(runtime), state_(state), store_(store), tuning_(tuning), wakeup_(runtime.io()) {}

  /// Reads the store's changes again and again, until the process ends.
  asio::awaitable<void> run();
  /// Waits until a read of the store's changes that was sent after this call has been applied: what the cache
  /// shows then is linearizable with everything that was answered before the call. False after `deadline`.
  asio::awaitable<bool> linearizable_read(core::TimePoint deadline);
  /// Commits, and applies what was committed to the cache at once.
  asio::awaitable<state::CommitResult> commit(state::Transaction transaction);
  /// Has the next read sent as soon as the pause between reads allows.
  void wake() { wakeup_.notify(); }

 private:
  // A linearizable read that is under way.
  struct Waiter {
    core::TimePoint arrived;
    bool served = false;
    core::Timer timer;
  };
  asio::awaitable<bool> load();
  void serve_waiters(core::TimePoint read_sent);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  const config::Tuning& tuning_;
  controller::Wakeup wakeup_;
  std::list<std::shared_ptr<Waiter>> waiters_;
};

}  // namespace finchrun::coordination
