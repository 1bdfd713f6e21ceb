#include "scheduling/partition_writer.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// The minimum interval between rounds that are triggered early.
constexpr double kMinRoundIntervalS = 0.5;
// The pause collects task exits for one write. Without it, single writes for thousands of tasks used half of
// the write budget of all controllers.
constexpr double kMinWritePauseS = 0.2;
constexpr double kUsageRecordsPerWindow = 3;
// The maximum usage added by one round, in round intervals. Usage during a longer pause is unknown.
constexpr double kMaxRoundsAccounted = 2;
// Shares of the write budget. Partition leaders write most; other controllers write only submissions. The
// sum exceeds 1, since controllers seldom use their shares at the same time.
constexpr double kLeadersWriteShare = 1.0;
constexpr double kOthersWriteShare = 0.25;

}  // namespace

double write_share(std::size_t leaders, int controllers, bool is_leader) {
  const auto leading = static_cast<double>(leaders);
  if (is_leader) return kLeadersWriteShare / leading;
  return kOthersWriteShare / std::max(1.0, controllers - leading);
}

asio::awaitable<void> PartitionWriter::run() {
  core::TimePoint next_usage{};
  controller::Wakeup pause(runtime_.io());
  while (true) {
    co_await pause.wait(kMinWritePauseS);
    co_await wakeup_.wait(std::max(0.0, tuning_.write_batch_interval_s - kMinWritePauseS));
    update_write_share();
    // Nothing is decided or recorded for a partition while its fence is due.
    co_await fences_.settle();
    const auto now = core::SteadyClock::now();
    const auto cache_version = state_.with([](ControllerState& state) { return state.cache.version(); });
    if (is_round_due(now, cache_version)) {
      co_await run_round(now, cache_version);
    } else {
      co_await exits_.flush();
    }
    if (now >= next_usage) {
      next_usage = now + runtime_.jitter(tuning_.usage_window_s / kUsageRecordsPerWindow);
      co_await usage_.record();
    }
  }
}

bool PartitionWriter::is_round_due(core::TimePoint now, std::uint64_t cache_version) const {
  return now >= next_round_ || (cache_version != round_cache_version_ &&
                                core::seconds_between(last_round_, now) >= kMinRoundIntervalS);
}

asio::awaitable<void> PartitionWriter::run_round(core::TimePoint now, std::uint64_t cache_version) {
  next_round_ = now + core::to_duration(tuning_.scheduling_interval_s);
  const double round_s =
      std::min(tuning_.scheduling_interval_s * kMaxRoundsAccounted, core::seconds_between(last_round_, now));
  last_round_ = now;
  round_cache_version_ = cache_version;
  // The round's transactions also record task exits, so that the flush has little left to write.
  const auto retry_at = co_await round_.run(round_s);
  if (retry_at) next_round_ = std::min(next_round_, *retry_at);
  co_await exits_.flush();
  co_await rebalancer_.rebalance(round_.backlog());
}

void PartitionWriter::update_write_share() {
  store_.set_write_share(state_.with([](ControllerState& state) {
    std::set<std::string> leaders;
    for (std::uint32_t p = 0; p < state.partitions.size(); ++p)
      if (const auto& leader = state.cache.leadership(core::PartitionId{p}).leader; !leader.empty())
        leaders.insert(leader);
    return write_share(leaders.size(), state.settings.controller_count,
                       leaders.contains(state.settings.label));
  }));
}

}  // namespace finchrun::scheduling
