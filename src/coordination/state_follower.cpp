#include "coordination/state_follower.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

// For the log: which of the budget's changes went where.
std::string keys_of(const std::vector<state::KeyUpdate>& changes) {
  std::string out;
  for (const auto& c : changes) out += (out.empty() ? "" : ",") + c.key;
  return out;
}

}  // namespace

asio::awaitable<bool> StateFollower::load() {
  std::vector<state::KeyUpdate> all;
  std::string after;
  std::optional<std::uint64_t> revision;
  while (true) {
    auto page = co_await store_.list(after, 500);
    if (!page.ok) co_return false;
    if (!revision) revision = page.revision;
    for (auto& item : page.items) all.push_back(std::move(item));
    if (!page.more || page.items.empty()) break;
    after = all.back().key;
  }
  state_.with([&](ControllerState& w) {
    w.cache.reset();
    for (const auto& e : all) w.cache.apply(e);
    // Pages are read one after the other, and own writes may be newer than they: not to be decided from until
    // the changes since the first one have been read. A heartbeat would find its tasks unknown and stop them.
    w.cache.synchronized(*revision);
    w.loaded = false;
  });
  spdlog::info("state loaded keys={} epoch={}", all.size(), *revision);
  co_return true;
}

asio::awaitable<void> StateFollower::run() {
  // After a cut or an outage all changes since would come in one answer, as large as they are; everything in
  // pages is less, and what is known is kept until it has come.
  constexpr double kLongGap = 8;
  controller::Wakeup pause(runtime_.io());
  bool filled = false;
  while (true) {
    const double gap = state_.with([](ControllerState& w) {
      return w.synchronized_at == core::TimePoint{} ? 0 : core::since(w.synchronized_at, core::Steady::now());
    });
    if (!filled || gap > kLongGap) {
      if (!co_await load()) {
        co_await runtime_.sleep(0.3);
        continue;
      }
      filled = true;
    }
    const auto from = state_.with([](ControllerState& w) { return w.cache.revision(); });
    const auto sent = core::Steady::now();
    const auto changes = co_await store_.changes(from);
    if (changes.kind == state::ChangesResult::Kind::too_old) {
      state_.with([](ControllerState& w) { w.loaded = false; });
      filled = false;
      continue;
    }
    if (changes.kind == state::ChangesResult::Kind::ok) {
      state_.with([&](ControllerState& w) {
        for (const auto& e : changes.events) w.cache.apply(e);
        w.cache.synchronized(changes.revision);
        w.synchronized_at = sent;
        w.loaded = true;
      });
      serve_waiters(sent);
    }
    // Polls share reads: at most one read in each short interval, at least one in each long one.
    co_await pause.wait(tuning_.sync_least_s);
    if (changes.kind != state::ChangesResult::Kind::ok) {
      co_await runtime_.sleep(0.2);
    } else if (waiters_.empty()) {
      co_await wakeup_.wait(tuning_.sync_s);
    }
  }
}

void StateFollower::serve_waiters(core::TimePoint read_sent) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if ((*it)->arrived > read_sent) {
      ++it;
      continue;
    }
    (*it)->served = true;
    (*it)->timer.cancel();
    it = waiters_.erase(it);
  }
}

asio::awaitable<bool> StateFollower::linearizable_read(core::TimePoint deadline) {
  // Bounded: a waiter more than this would not be answered in time either.
  constexpr std::size_t kMostWaiters = 2000;
  if (waiters_.size() >= kMostWaiters) co_return false;
  auto waiter =
      std::make_shared<Waiter>(Waiter{core::Steady::now(), false, core::Timer(runtime_.io(), deadline)});
  waiters_.push_back(waiter);
  wake();
  boost::system::error_code ec;
  co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  if (!waiter->served) waiters_.remove(waiter);
  co_return waiter->served;
}

asio::awaitable<state::CommitResult> StateFollower::commit(state::Transaction txn) {
  std::vector<state::KeyUpdate> local;
  for (const auto& c : txn.writes) local.push_back({c.key, c.value, 0});
  auto result = co_await store_.commit(std::move(txn));
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("commit outcome={} epoch={} changes={}", static_cast<int>(result.outcome), result.revision,
                  keys_of(local));
  if (result.outcome == state::CommitStatus::done) {
    state_.with([&](ControllerState& w) {
      for (auto& e : local) {
        e.revision = result.revision;
        w.cache.apply(e);
      }
    });
  }
  co_return result;
}

}  // namespace finchrun::coordination
