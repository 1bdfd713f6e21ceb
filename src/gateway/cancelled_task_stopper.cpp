#include "gateway/cancelled_task_stopper.hpp"

#include <spdlog/spdlog.h>

#include "gateway/due_stops.hpp"

namespace finchrun::gateway {

using controller::ControllerState;

asio::awaitable<void> CancelledTaskStopper::run() {
  constexpr double kRoundIntervalS = 0.2;
  while (true) {
    co_await runtime_.sleep(kRoundIntervalS);
    auto stops = state_.with([&](ControllerState& state) {
      const auto now = core::SteadyClock::now();
      log_cancellation_progress(state, now);
      renewal_log_.update(state, now);
      auto due = take_due_stops(state, in_flight_.count(), now,
                                [this](double seconds) { return runtime_.jitter(seconds); });
      for (const auto& [machine, commands] : due)
        spdlog::debug("tasks of cancelled jobs stopped machine={} tasks={}",
                      state.names.machines.name(machine), commands.size());
      return due;
    });
    for (auto& [machine, commands] : stops) runtime_.spawn(stop(machine, std::move(commands)));
  }
}

asio::awaitable<void> CancelledTaskStopper::stop(core::MachineId machine,
                                                 std::vector<wire::Command> commands) {
  const auto slot = in_flight_.acquire();
  std::vector<agent::TaskAttempt> no_starts;
  co_await commands_.send(machine, std::move(commands), std::move(no_starts));
}

}  // namespace finchrun::gateway
