#include "gateway/due_stops.hpp"

#include <algorithm>

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

constexpr double kFirstPauseS = 1, kLongestPauseS = 8;

double pause_after(int tries) {
  constexpr int kMostDoublings = 4;
  return std::min(kLongestPauseS, kFirstPauseS * (1 << std::min(tries, kMostDoublings)));
}

// The task may run on a machine whose agent can be told to stop it.
bool may_run(const ControllerState& state, core::JobId job, core::PartitionId partition,
             const jobs::TaskAssignment& assignment) {
  const auto* machine = state.fleet.find(assignment.machine);
  return machine && machine->has_heartbeat && !machine->gone &&
         !state.fleet.ended(job, partition, assignment);
}

}  // namespace

StopsByMachine take_due_stops(ControllerState& state, std::size_t in_flight, core::TimePoint now,
                              const std::function<core::SteadyClock::duration(double)>& jitter) {
  StopsByMachine stops;
  const auto take = [&](core::JobId job, const jobs::TaskAssignment& assignment) {
    auto& retry = state.fleet.stop_retries[{job, assignment.task, assignment.attempt}];
    if (retry.next > now) return;
    if (in_flight + stops.size() >= kMostStopsInFlight && !stops.contains(assignment.machine)) return;
    auto& commands = stops[assignment.machine];
    if (commands.size() >= wire::kMaxCommands) return;
    retry.next = now + jitter(pause_after(retry.tries));
    ++retry.tries;
    commands.push_back(
        {wire::Command::Kind::stop, state.names.jobs.name(job), assignment.task, assignment.attempt, 0});
  };
  const auto& cancelled = state.cache.cancelled_with_tasks();
  std::erase_if(state.fleet.stop_retries,
                [&](const auto& item) { return !cancelled.contains(std::get<core::JobId>(item.first)); });
  for (const auto job : cancelled)
    state.cache.for_each_assignments(job, [&](core::PartitionId partition, const jobs::JobAssignments& run) {
      if (!state.leads(partition)) return;
      for (const auto& assignment : run.assignments)
        if (may_run(state, job, partition, assignment)) take(job, assignment);
    });
  return stops;
}

}  // namespace finchrun::gateway
