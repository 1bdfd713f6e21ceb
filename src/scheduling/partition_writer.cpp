#include "scheduling/partition_writer.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// Rounds that come early are never closer to each other than this.
constexpr double kLeastRoundGapS = 0.5;
// Each exit woke this loop and was written by itself: with thousands of tasks that alone took half of the
// changes that all controllers may make.
constexpr double kLeastPauseS = 0.2;
// Usage is recorded so many times in each of its windows.
constexpr double kUsageRecordsPerWindow = 3;
// A round after a long pause books no more usage than for so many rounds: nothing is known of the time
// between.
constexpr double kMostRoundsBooked = 2;
// Leaders of partitions write most; the others only what users ask of them. Together a little more than there
// is, since they seldom all use theirs.
constexpr double kWritesOfLeaders = 1.0;
constexpr double kWritesOfOthers = 0.25;

}  // namespace

double share_of_writes(std::size_t leaders, int controllers, bool leads) {
  const auto leading = static_cast<double>(leaders);
  if (leads) return kWritesOfLeaders / leading;
  return kWritesOfOthers / std::max(1.0, controllers - leading);
}

asio::awaitable<void> PartitionWriter::run() {
  core::TimePoint next_usage{};
  controller::Wakeup pause(runtime_.io());
  while (true) {
    co_await pause.wait(kLeastPauseS);
    co_await wakeup_.wait(std::max(0.0, tuning_.flush_s - kLeastPauseS));
    share_write_budget();
    const auto now = core::SteadyClock::now();
    const auto cache_version = state_.with([](ControllerState& state) { return state.cache.version(); });
    if (round_due(now, cache_version)) {
      co_await run_round(now, cache_version);
    } else {
      co_await exits_.flush();
    }
    if (now >= next_usage) {
      next_usage = now + runtime_.jitter(tuning_.window_s / kUsageRecordsPerWindow);
      co_await usage_.record();
    }
  }
}

bool PartitionWriter::round_due(core::TimePoint now, std::uint64_t cache_version) const {
  return now >= next_round_ ||
         (cache_version != round_version_ && core::seconds_between(last_round_, now) >= kLeastRoundGapS);
}

asio::awaitable<void> PartitionWriter::run_round(core::TimePoint now, std::uint64_t cache_version) {
  next_round_ = now + core::to_duration(tuning_.round_s);
  const double round_s = std::min(tuning_.round_s * kMostRoundsBooked, core::seconds_between(last_round_, now));
  last_round_ = now;
  round_version_ = cache_version;
  // Its transactions take along what has ended, so that a flush has little left to write.
  const auto retry_at = co_await round_.run(round_s);
  if (retry_at) next_round_ = std::min(next_round_, *retry_at);
  co_await exits_.flush();
  co_await rebalancer_.rebalance(round_.backlog());
}

void PartitionWriter::share_write_budget() {
  store_.set_write_share(state_.with([](ControllerState& state) {
    std::set<std::string> leaders;
    for (std::uint32_t p = 0; p < state.partitions.size(); ++p)
      if (const auto& leader = state.cache.leadership(core::PartitionId{p}).leader; !leader.empty())
        leaders.insert(leader);
    return share_of_writes(leaders.size(), state.settings.nodes, leaders.contains(state.settings.label));
  }));
}

}  // namespace finchrun::scheduling
