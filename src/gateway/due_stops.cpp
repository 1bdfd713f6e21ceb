#include "gateway/due_stops.hpp"

#include <algorithm>

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

constexpr double kInitialBackoffS = 1, kMaxBackoffS = 8;

double backoff_s(int attempts) {
  constexpr int kMaxDoublings = 4;
  return std::min(kMaxBackoffS, kInitialBackoffS * (1 << std::min(attempts, kMaxDoublings)));
}

// Returns true if the task may run on a machine whose agent is known, so that a stop command can be sent to
// it.
bool may_run(const ControllerState& state, core::JobId job, core::PartitionId partition,
             const jobs::TaskAssignment& assignment) {
  const auto* machine = state.fleet.find(assignment.machine);
  return machine && machine->has_heartbeat && !machine->deleted &&
         !state.fleet.has_ended(job, partition, assignment);
}

}  // namespace

StopsByMachine take_due_stops(ControllerState& state, std::size_t in_flight, core::TimePoint now,
                              const std::function<core::SteadyClock::duration(double)>& jitter) {
  StopsByMachine stops;
  const auto add_if_due = [&](core::JobId job, const jobs::TaskAssignment& assignment) {
    auto& retry = state.fleet.stop_retries[{job, assignment.task, assignment.attempt}];
    if (retry.next_at > now) return;
    if (in_flight + stops.size() >= kMaxStopsInFlight && !stops.contains(assignment.machine)) return;
    auto& commands = stops[assignment.machine];
    if (commands.size() >= wire::kMaxCommands) return;
    retry.next_at = now + jitter(backoff_s(retry.attempts));
    ++retry.attempts;
    if (auto* cancellation = state.fleet.cancellations.find(job)) ++cancellation->stops_sent;
    commands.push_back(
        {wire::Command::Kind::stop, state.names.jobs.name(job), assignment.task, assignment.attempt, 0});
  };
  const auto& cancelled = state.cache.cancelled_with_tasks();
  std::erase_if(state.fleet.stop_retries,
                [&](const auto& item) { return !cancelled.contains(std::get<core::JobId>(item.first)); });
  for (const auto job : cancelled)
    state.cache.for_each_assignments(
        job, [&](core::PartitionId partition, const jobs::JobAssignments& job_assignments) {
          if (!state.leads(partition)) return;
          for (const auto& assignment : job_assignments.assignments)
            if (may_run(state, job, partition, assignment)) add_if_due(job, assignment);
        });
  return stops;
}

}  // namespace finchrun::gateway
