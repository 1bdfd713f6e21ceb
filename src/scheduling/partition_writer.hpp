/// The one coroutine that writes for the partitions that this controller leads, so that its writes never race
/// each other: scheduling rounds, observed exits, rebalancing, usage.
#pragma once

#include "assignments/exit_recorder.hpp"
#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "scheduling/rebalancer.hpp"
#include "scheduling/scheduling_round.hpp"
#include "scheduling/usage_recorder.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// This controller's part of the writes that all controllers may make together. `leaders`: controllers that
/// lead some partition; `controllers`: of the deployment; `leads`: this one is among the leaders.
double share_of_writes(std::size_t leaders, int controllers, bool leads);

/// Decides when each of its components writes; what they write is theirs.
class PartitionWriter {
 public:
  PartitionWriter(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
                  controller::Wakeup& wakeup, SchedulingRound& round, assignments::ExitRecorder& exits,
                  Rebalancer& rebalancer, UsageRecorder& usage, const config::Tuning& tuning)
      : runtime_(runtime),
        state_(state),
        store_(store),
        wakeup_(wakeup),
        round_(round),
        exits_(exits),
        rebalancer_(rebalancer),
        usage_(usage),
        tuning_(tuning) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  /// Is a round due? One comes early when a job has arrived or room has been freed (`cache_version` has
  /// moved).
  [[nodiscard]] bool round_due(core::TimePoint now, std::uint64_t cache_version) const;
  asio::awaitable<void> run_round(core::TimePoint now, std::uint64_t cache_version);
  void share_write_budget();

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  controller::Wakeup& wakeup_;
  SchedulingRound& round_;
  assignments::ExitRecorder& exits_;
  Rebalancer& rebalancer_;
  UsageRecorder& usage_;
  const config::Tuning& tuning_;
  core::TimePoint next_round_{}, last_round_{};
  std::uint64_t round_version_ = 0;  // of the state cache when the newest round began
};

}  // namespace finchrun::scheduling
