// Keeps the state cache up to date with the key-value store, and proves answers to users fresh.
#pragma once

#include <list>
#include <memory>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Whether everything has to be read instead of the changes since the last read. After a partition of the
/// network or an outage all changes since would come in one answer, as large as they are; everything in pages
/// is less, and what is known is kept until it has come.
bool reads_everything(bool loaded_once, core::TimePoint synchronized_at, core::TimePoint now);

/// The one place where changes of the key-value store enter the state cache: those that others made, and
/// those that this controller commits.
class StateFollower {
 public:
  StateFollower(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
                const config::Tuning& tuning)
      : runtime_(runtime),
        state_(state),
        store_(store),
        tuning_(tuning),
        spacing_(runtime.io()),
        wakeup_(runtime.io()) {}

  /// Reads the store's changes again and again, until the process ends.
  asio::awaitable<void> run();
  /// Waits until a read of the store's changes that was sent after this call has been applied: what the cache
  /// holds then is linearizable with everything that was answered before the call. False after `deadline`, or
  /// at once if very many wait already.
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
  enum class ReadOutcome { applied, revision_too_old, failed };

  // Reads everything into the cache; false if a page failed, the cache is as it was then.
  asio::awaitable<bool> load();
  asio::awaitable<ReadOutcome> read_changes();
  // Polls share reads: at most one read in each short interval, at least one in each long one.
  asio::awaitable<void> pause_after(ReadOutcome read);
  void serve_waiters(core::TimePoint read_sent);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  const config::Tuning& tuning_;
  controller::Wakeup spacing_;  // between two reads; nothing ends it early
  controller::Wakeup wakeup_;   // of the next read
  std::list<std::shared_ptr<Waiter>> waiters_;
};

}  // namespace finchrun::coordination
