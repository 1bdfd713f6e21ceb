// The one coroutine that writes for own partitions, so that the writes of this controller never race each
// other.
#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

#include "app/controller.hpp"

namespace finchrun::app {

namespace json = boost::json;

namespace {

// Newest windows first; the oldest, which count least, are left out if all of them are too long for one
// value.
json::value usage_record(const ledger::UsageWindows& usage, std::size_t max_bytes) {
  constexpr std::size_t kFrame = 48;
  std::size_t bytes = kFrame;
  json::array windows;
  for (const auto& window : usage.windows()) {
    json::array values;
    for (const double v : window) values.push_back(static_cast<std::int64_t>(std::llround(v)));
    bytes += json::serialize(values).size() + 1;
    if (bytes > max_bytes) break;
    windows.push_back(std::move(values));
  }
  return json::object{{"i", usage.index()}, {"w", std::move(windows)}};
}

}  // namespace

asio::awaitable<void> Controller::writer_loop() {
  boost::system::error_code ec;
  core::TimePoint next_usage{};
  constexpr double kLeastGap = 0.5;
  // Each end woke this loop and was written by itself: with thousands of tasks that alone took half of the
  // changes that all controllers may make.
  constexpr double kLeastPause = 0.2;
  while (true) {
    core::Timer pause(io_, core::secs(kLeastPause));
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    writer_wakeup_.expires_after(core::secs(std::max(0.0, tuning_.flush_s - kLeastPause)));
    co_await writer_wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    share_write_budget();
    const auto now = core::Steady::now();
    // A round comes early when a job has arrived or room has been freed; never more often than the least gap.
    const auto version = state_.with([](ControllerState& w) { return w.cache.version(); });
    if (now >= next_round_ || (version != round_version_ && core::since(last_round_, now) >= kLeastGap)) {
      next_round_ = now + core::secs(tuning_.round_s);
      round_seconds_ = std::min(tuning_.round_s * 2, core::since(last_round_, now));
      last_round_ = now;
      round_version_ = version;
      // Its transactions take along what has ended, so that a flush has little left to write.
      co_await round();
      co_await flush();
      co_await rebalance();
    } else {
      co_await flush();
    }
    if (now >= next_usage) {
      next_usage = now + jitter(tuning_.window_s / 3);
      co_await record_usage();
    }
  }
}

// Leaders of partitions write most; the others only what users ask of them. Together a little more than there
// is, since they seldom all use theirs.
void Controller::share_write_budget() {
  constexpr double kOwners = 1.0, kOthers = 0.25;
  store_.use_share_of_writes(state_.with([&](ControllerState& w) {
    std::set<std::string> owners;
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p)
      if (const auto& leader = w.cache.leadership(core::PartitionId{p}).leader; !leader.empty())
        owners.insert(leader);
    const auto n = static_cast<double>(owners.size());
    if (owners.contains(w.settings.label)) return kOwners / n;
    return kOthers / std::max(1.0, w.settings.nodes - n);
  }));
}

asio::awaitable<void> Controller::record_usage() {
  std::vector<state::Transaction> txns;
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const core::PartitionId partition{p};
      if (!w.leads(partition) || w.usage_from[p] != w.fencing_token(partition)) continue;
      const auto& name = w.names.partitions.name(partition);
      state::Transaction txn;
      txn.compares.push_back({state::keys::partition(name), w.fencing_token(partition)});
      txn.writes.push_back(
          {state::keys::usage(name), usage_record(w.usage[p], w.settings.state_limits.value_bytes())});
      txns.push_back(std::move(txn));
    }
  });
  for (auto& txn : txns) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    co_await commit(std::move(txn));
  }
}

}  // namespace finchrun::app
