#include "coordination/state_follower.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

constexpr int kPageKeys = 500;
constexpr double kLoadRetryS = 0.3;
constexpr double kReadRetryS = 0.2;

// Returns the keys for the log, which shows on what the write budget is spent.
std::string keys_of(const std::vector<state::KeyUpdate>& updates) {
  std::string keys;
  for (const auto& update : updates) keys += (keys.empty() ? "" : ",") + update.key;
  return keys;
}

}  // namespace

bool needs_full_load(bool loaded_once, core::TimePoint synchronized_at, core::TimePoint now) {
  constexpr double kMaxGapS = 8;
  if (!loaded_once) return true;
  return synchronized_at != core::TimePoint{} && core::seconds_between(synchronized_at, now) > kMaxGapS;
}

asio::awaitable<bool> StateFollower::load_all() {
  std::vector<state::KeyUpdate> updates;
  std::optional<std::uint64_t> revision;  // of the first page
  bool has_more = true;
  while (has_more) {
    std::string after;  // named: GCC 12 destroys the temporaries of a conditional in a co_await twice
    if (!updates.empty()) after = updates.back().key;
    auto result = co_await store_.list(std::move(after), kPageKeys);
    if (const auto* error = std::get_if<state::StoreError>(&result)) {
      spdlog::debug("state not loaded reason={}", name_of(*error));
      co_return false;
    }
    auto& page = std::get<state::ListPage>(result);
    if (!revision) revision = page.revision;
    has_more = page.has_more && !page.items.empty();
    for (auto& item : page.items) updates.push_back(std::move(item));
  }
  state_.with([&](ControllerState& state) {
    state.cache.reset();
    for (const auto& update : updates) state.cache.apply(update);
    state.learn_cancellations(agent::CancellationSource::load, core::SteadyClock::now());
    // Pages are read at different revisions, and this controller's own writes may be newer still. The cache
    // is not used for decisions until the changes since the first page have been read; otherwise a heartbeat
    // would find its tasks unknown and stop them.
    state.cache.synchronized(*revision);
    state.cache_loaded = false;
  });
  spdlog::info("state loaded keys={} revision={}", updates.size(), *revision);
  co_return true;
}

asio::awaitable<void> StateFollower::run() {
  bool loaded_once = false;
  while (true) {
    const auto synchronized_at = state_.with([](ControllerState& state) { return state.synchronized_at; });
    if (needs_full_load(loaded_once, synchronized_at, core::SteadyClock::now())) {
      if (!co_await load_all()) {
        co_await runtime_.sleep(kLoadRetryS);
        continue;
      }
      loaded_once = true;
    }
    const auto read = co_await read_changes();
    if (read == ReadOutcome::revision_too_old) {
      loaded_once = false;
      continue;
    }
    co_await pause_after(read);
  }
}

asio::awaitable<StateFollower::ReadOutcome> StateFollower::read_changes() {
  const auto from = state_.with([](ControllerState& state) { return state.cache.revision(); });
  const auto sent_at = core::SteadyClock::now();
  const auto result = co_await store_.changes(from);
  if (const auto* error = std::get_if<state::StoreError>(&result)) {
    if (*error != state::StoreError::revision_too_old) {
      spdlog::debug("changes not read revision={} reason={}", from, name_of(*error));
      co_return ReadOutcome::failed;
    }
    spdlog::info("state outdated revision={} reason={}", from, name_of(*error));
    state_.with([](ControllerState& state) { state.cache_loaded = false; });
    co_return ReadOutcome::revision_too_old;
  }
  const auto& changes = std::get<state::Changes>(result);
  const bool was_loaded = state_.with([&](ControllerState& state) {
    for (const auto& event : changes.events) state.cache.apply(event);
    state.learn_cancellations(agent::CancellationSource::read, core::SteadyClock::now());
    state.cache.synchronized(changes.revision);
    state.synchronized_at = sent_at;
    return std::exchange(state.cache_loaded, true);
  });
  if (!was_loaded) spdlog::info("state current revision={}", changes.revision);
  complete_waiters(sent_at);
  co_return ReadOutcome::applied;
}

asio::awaitable<void> StateFollower::pause_after(ReadOutcome read) {
  co_await min_interval_.wait(tuning_.min_sync_interval_s);
  if (read != ReadOutcome::applied) {
    co_await runtime_.sleep(kReadRetryS);
  } else if (waiters_.empty()) {
    co_await wakeup_.wait(tuning_.max_sync_interval_s);
  }
}

void StateFollower::complete_waiters(core::TimePoint read_sent_at) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if ((*it)->arrived > read_sent_at) {
      ++it;
      continue;
    }
    (*it)->served = true;
    (*it)->timer.cancel();
    it = waiters_.erase(it);
  }
}

asio::awaitable<bool> StateFollower::linearizable_read(core::TimePoint deadline) {
  // Bounded, since additional waiters would not be answered in time either.
  constexpr std::size_t kMaxWaiters = 2000;
  if (waiters_.size() >= kMaxWaiters) co_return false;
  auto waiter =
      std::make_shared<Waiter>(Waiter{core::SteadyClock::now(), false, core::Timer(runtime_.io(), deadline)});
  waiters_.push_back(waiter);
  request_read();
  boost::system::error_code error;
  co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  if (!waiter->served) waiters_.remove(waiter);
  co_return waiter->served;
}

asio::awaitable<state::CommitResult> StateFollower::commit(state::Transaction transaction) {
  std::vector<state::KeyUpdate> updates;
  for (const auto& write : transaction.writes) updates.push_back({write.key, write.value, 0});
  auto result = co_await store_.commit(std::move(transaction));
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("commit outcome={} revision={} keys={}", name_of(result.outcome), result.revision,
                  keys_of(updates));
  if (result.outcome != state::CommitStatus::done) co_return result;
  state_.with([&](ControllerState& state) {
    for (auto& update : updates) {
      update.revision = result.revision;
      state.cache.apply(update);
    }
    state.learn_cancellations(agent::CancellationSource::commit, core::SteadyClock::now());
  });
  co_return result;
}

}  // namespace finchrun::coordination
