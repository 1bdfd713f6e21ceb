// Keeps the state cache up to date with the key-value store, and provides linearizable reads.
#pragma once

#include <list>
#include <memory>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// True if all records have to be read instead of the changes since the last read. After an outage or a
/// network partition, one answer would contain all changes, whatever their size. All records come in pages,
/// and the cache keeps its contents until the last page.
bool needs_full_load(bool loaded_once, core::TimePoint synchronized_at, core::TimePoint now);

/// The only component that applies changes of the key-value store to the state cache: changes by other
/// controllers, and commits of this one.
class StateFollower {
 public:
  StateFollower(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
                const config::Tuning& tuning)
      : runtime_(runtime),
        state_(state),
        store_(store),
        tuning_(tuning),
        min_interval_(runtime.io()),
        wakeup_(runtime.io()) {}

  /// Reads the store's changes repeatedly, until the process ends.
  asio::awaitable<void> run();
  /// Waits until a read of the store's changes that was sent after this call has been applied: the cache is
  /// then linearizable with everything answered before the call. Returns false after `deadline`, or at once
  /// if too many callers wait already.
  asio::awaitable<bool> linearizable_read(core::TimePoint deadline);
  /// Commits, and applies the committed writes to the cache at once.
  asio::awaitable<state::CommitResult> commit(state::Transaction transaction);
  /// Starts the next read as soon as the minimum interval between reads allows.
  void request_read() { wakeup_.notify(); }

 private:
  // A linearizable read that is in flight.
  struct Waiter {
    core::TimePoint arrived;
    bool served = false;
    core::Timer timer;
  };
  enum class ReadOutcome { applied, revision_too_old, failed };

  // Reads all records into the cache. Returns false if a page failed; the cache is unchanged then.
  asio::awaitable<bool> load_all();
  asio::awaitable<ReadOutcome> read_changes();
  // Waits for the minimum interval between reads, then for `request_read` or the maximum interval, so that
  // many callers share a read.
  asio::awaitable<void> pause_after(ReadOutcome read);
  void complete_waiters(core::TimePoint read_sent_at);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  const config::Tuning& tuning_;
  controller::Wakeup min_interval_;  // minimum interval between reads; never notified
  controller::Wakeup wakeup_;        // starts the next read early
  std::list<std::shared_ptr<Waiter>> waiters_;
};

}  // namespace finchrun::coordination
