#include "gateway/cancellation_stops.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::gateway {

using controller::ControllerState;

// Every few seconds a heartbeat asks what to do; on a machine that reaches nobody, none does. A stop sent
// straight to the agent also follows a start that is held up on its way, under the same fencing token.
asio::awaitable<void> CancellationStops::run() {
  constexpr std::size_t kMostInFlight = 32;  // to machines that don't answer: each holds a socket for seconds
  constexpr double kFirstPause = 1, kLongestPause = 8;
  while (true) {
    co_await runtime_.sleep(0.2);
    const auto now = core::Steady::now();
    std::map<core::MachineId, std::vector<wire::Command>> stops;
    state_.with([&](ControllerState& w) {
      std::erase_if(w.fleet.stop_retries, [&](const auto& item) {
        return !w.cache.cancelled_with_tasks().contains(std::get<core::JobId>(item.first));
      });
      for (const auto id : w.cache.cancelled_with_tasks()) {
        w.cache.each_run(id, [&](core::PartitionId partition, const jobs::JobAssignments& run) {
          if (!w.leads(partition)) return;
          for (const auto& e : run.assignments) {
            const auto* m = w.fleet.find(e.machine);
            if (!m || !m->has_heartbeat || m->gone || w.fleet.ended(id, partition, e)) continue;
            auto& again = w.fleet.stop_retries[{id, e.task, e.attempt}];
            if (again.next > now) continue;
            if (in_flight_ + stops.size() >= kMostInFlight && !stops.contains(e.machine)) continue;
            auto& commands = stops[e.machine];
            if (commands.size() >= wire::kMaxCommands) continue;
            again.next =
                now + runtime_.jitter(std::min(kLongestPause, kFirstPause * (1 << std::min(again.tries, 4))));
            ++again.tries;
            commands.push_back({wire::Command::Kind::stop, w.names.jobs.name(id), e.task, e.attempt, 0});
          }
        });
      }
    });
    for (auto& [machine, commands] : stops) runtime_.spawn(stop(machine, std::move(commands)));
  }
}

asio::awaitable<void> CancellationStops::stop(core::MachineId machine, std::vector<wire::Command> commands) {
  ++in_flight_;
  co_await commands_.send(machine, std::move(commands), {});
  --in_flight_;
}

}  // namespace finchrun::gateway
