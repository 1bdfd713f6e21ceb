#include "agent/start_permission.hpp"

#include <algorithm>

namespace finchrun::agent {

namespace {

/// Returns true if the task is recorded as completed in any partition. Replicas of a service never are.
bool is_done(const state::StateCache& cache, const jobs::JobRecord& job, core::JobId id, std::uint32_t task) {
  if (job.spec.is_service()) return false;
  bool done = false;
  cache.for_each_assignments(id, [&](core::PartitionId, const jobs::JobAssignments& assignments) {
    done = done || assignments.done.contains(task);
  });
  return done;
}

/// Returns the reason not to run the attempt that holds on every machine.
std::optional<StartRefusal> find_general_refusal(const state::StateCache& cache, const Fleet& fleet,
                                                 const TaskAttempt& attempt) {
  const auto [id, task, number] = attempt;
  const auto* job = cache.job(id);
  if (!job || job->status != jobs::Status::live) return StartRefusal::job_not_live;
  if (fleet.preempting.contains(attempt)) return StartRefusal::preempted;
  if (is_gang_broken(*job, cache, fleet, id)) return StartRefusal::gang_broken;
  if (is_done(cache, *job, id, task)) return StartRefusal::task_done;
  return std::nullopt;
}

}  // namespace

const char* name_of(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::job_not_live:
      return "job_not_live";
    case StartRefusal::not_assigned:
      return "not_assigned";
    case StartRefusal::counted_as_gone:
      return "counted_as_gone";
    case StartRefusal::preempted:
      return "preempted";
    case StartRefusal::task_done:
      return "task_done";
    case StartRefusal::gang_broken:
      return "gang_broken";
  }
  return "unknown";
}

std::optional<StartRefusal> find_start_refusal(const state::StateCache& cache, const Fleet& fleet,
                                               const Machine& machine, const TaskAttempt& attempt) {
  const auto [job, task, number] = attempt;
  // In a newer incarnation than the one it was assigned for, the attempt is proved to be gone.
  const jobs::TaskAssignment assigned{task, number, machine.id, machine.agent_incarnation};
  const auto& assignments = cache.on_machine(machine.id);
  const auto found = std::find_if(assignments.begin(), assignments.end(), [&, id = job](const auto& placed) {
    return placed.job == id && placed.assignment == assigned;
  });
  if (found == assignments.end()) return StartRefusal::not_assigned;
  if (fleet.has_ended(job, found->partition, assigned)) return StartRefusal::counted_as_gone;
  return find_general_refusal(cache, fleet, attempt);
}

bool is_unwanted(const state::StateCache& cache, const Fleet& fleet, const TaskAttempt& attempt) {
  return find_general_refusal(cache, fleet, attempt).has_value();
}

bool is_gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                    core::JobId id) {
  if (!job.spec.is_gang()) return false;
  std::size_t placed = 0;
  bool lost = false;
  cache.for_each_assignments(
      id, [&](core::PartitionId partition, const jobs::JobAssignments& job_assignments) {
        placed += job_assignments.assignments.size();
        for (const auto& assignment : job_assignments.assignments)
          lost = lost ||
                 fleet.observed_exits.contains({id, partition, assignment.task, assignment.attempt, false});
      });
  return lost || placed != job.spec.tasks;
}

}  // namespace finchrun::agent
