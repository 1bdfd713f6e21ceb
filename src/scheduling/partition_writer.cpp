#include "scheduling/partition_writer.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace finchrun::scheduling {

using controller::ControllerState;

asio::awaitable<void> PartitionWriter::run() {
  core::TimePoint next_usage{};
  constexpr double kLeastGapS = 0.5;
  // Each exit woke this loop and was written by itself: with thousands of tasks that alone took half of the
  // changes that all controllers may make.
  constexpr double kLeastPauseS = 0.2;
  controller::Wakeup pause(runtime_.io());
  while (true) {
    co_await pause.wait(kLeastPauseS);
    co_await wakeup_.wait(std::max(0.0, tuning_.flush_s - kLeastPauseS));
    share_write_budget();
    const auto now = core::Steady::now();
    // A round comes early when a job has arrived or room has been freed; never more often than the least gap.
    const auto version = state_.with([](ControllerState& w) { return w.cache.version(); });
    if (now >= next_round_ || (version != round_version_ && core::since(last_round_, now) >= kLeastGapS)) {
      co_await run_round(now, version);
    } else {
      co_await exits_.flush();
    }
    if (now >= next_usage) {
      next_usage = now + runtime_.jitter(tuning_.window_s / 3);
      co_await usage_.record();
    }
  }
}

asio::awaitable<void> PartitionWriter::run_round(core::TimePoint now, std::uint64_t version) {
  next_round_ = now + core::secs(tuning_.round_s);
  const double round_s = std::min(tuning_.round_s * 2, core::since(last_round_, now));
  last_round_ = now;
  round_version_ = version;
  // Its transactions take along what has ended, so that a flush has little left to write.
  const auto retry_at = co_await round_.run(round_s);
  if (retry_at) next_round_ = std::min(next_round_, *retry_at);
  co_await exits_.flush();
  co_await rebalancer_.rebalance(round_.backlog());
}

// Leaders of partitions write most; the others only what users ask of them. Together a little more than there
// is, since they seldom all use theirs.
void PartitionWriter::share_write_budget() {
  constexpr double kLeaders = 1.0, kOthers = 0.25;
  store_.use_share_of_writes(state_.with([&](ControllerState& w) {
    std::set<std::string> owners;
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p)
      if (const auto& leader = w.cache.leadership(core::PartitionId{p}).leader; !leader.empty())
        owners.insert(leader);
    const auto n = static_cast<double>(owners.size());
    if (owners.contains(w.settings.label)) return kLeaders / n;
    return kOthers / std::max(1.0, w.settings.nodes - n);
  }));
}

}  // namespace finchrun::scheduling
