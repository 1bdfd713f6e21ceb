/// The only coroutine that writes records of the partitions that this controller leads: scheduling rounds,
/// task exits, rebalancing and usage. A single writer avoids conflicts between its own transactions.
#pragma once

#include "assignments/exit_recorder.hpp"
#include "assignments/write_fences.hpp"
#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "scheduling/rebalancer.hpp"
#include "scheduling/scheduling_round.hpp"
#include "scheduling/usage_recorder.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// Returns this controller's share of the write budget of all controllers. `leaders`: controllers that
/// lead a partition; `controllers`: all in the deployment; `is_leader`: this one leads a partition.
double write_share(std::size_t leaders, int controllers, bool is_leader);

/// Schedules the writes of its components, which decide what to write.
class PartitionWriter {
 public:
  PartitionWriter(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
                  controller::Wakeup& wakeup, assignments::WriteFences& fences, SchedulingRound& round,
                  assignments::ExitRecorder& exits, Rebalancer& rebalancer, UsageRecorder& usage,
                  const config::Tuning& tuning)
      : runtime_(runtime),
        state_(state),
        store_(store),
        wakeup_(wakeup),
        fences_(fences),
        round_(round),
        exits_(exits),
        rebalancer_(rebalancer),
        usage_(usage),
        tuning_(tuning) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  /// Returns true if the round interval has passed, or earlier after a change of the state cache (a new job
  /// or freed resources).
  [[nodiscard]] bool is_round_due(core::TimePoint now, std::uint64_t cache_version) const;
  asio::awaitable<void> run_round(core::TimePoint now, std::uint64_t cache_version);
  void update_write_share();

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  controller::Wakeup& wakeup_;
  assignments::WriteFences& fences_;
  SchedulingRound& round_;
  assignments::ExitRecorder& exits_;
  Rebalancer& rebalancer_;
  UsageRecorder& usage_;
  const config::Tuning& tuning_;
  core::TimePoint next_round_{}, last_round_{};
  std::uint64_t round_cache_version_ = 0;  // cache version at the start of the last round
};

}  // namespace finchrun::scheduling
