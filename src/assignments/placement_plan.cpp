#include "assignments/placement_plan.hpp"

#include <fmt/format.h>

#include <optional>

namespace finchrun::assignments {

namespace {

// The fencing token, the fence, one shard more, and the job's and its team's record.
constexpr std::size_t kComparesPerPlacement = 5;

// Nothing if one of the machines is going away.
std::optional<std::vector<jobs::TaskAssignment>> assignments_of(const ControllerState& state,
                                                                const PlannedPlacement& placement,
                                                                std::uint64_t attempt) {
  std::vector<jobs::TaskAssignment> assignments;
  for (const auto& [task, machine_id] : placement.tasks) {
    const auto* machine = state.fleet.find(machine_id);
    if (!machine || machine->gone || machine->terminating) return std::nullopt;
    assignments.push_back({task, attempt, machine_id, machine->agent_incarnation});
  }
  return assignments;
}

void require_job_and_quota(const ControllerState& state, core::JobId id, PlannedTransaction& transaction) {
  const auto& job = *state.cache.job(id);
  // Nothing starts of a job that is over, or whose range has moved.
  transaction.require(state::keys::job(state.names.jobs.name(id)), job.revision);
  // The partition's quota share is what we think it is: it is lowered, by giving, only through this key.
  const auto team = job.spec.team;
  transaction.require(state::keys::quota(state.names.teams.name(team)), state.cache.quota(team).revision);
}

void start_when_durable(const ControllerState& state, const PlannedPlacement& placement,
                        const std::vector<jobs::TaskAssignment>& assignments,
                        PlannedTransaction& transaction) {
  const auto image = state.cache.job(placement.job)->spec.image;
  for (const auto& assignment : assignments) {
    transaction.starts[assignment.machine].push_back({placement.job, assignment.task, assignment.attempt});
    const auto* machine = state.fleet.find(assignment.machine);
    transaction.log.push_back(fmt::format(
        "task placed job={} task={} attempt={} machine={} partition={} fencing_token={} weight={:.3f} "
        "image={} image_cached={}",
        state.names.jobs.name(placement.job), assignment.task, assignment.attempt,
        state.names.machines.name(assignment.machine), state.names.partitions.name(placement.partition),
        placement.fencing_token, placement.weight, state.names.images.name(image),
        machine && machine->holds(image)));
  }
}

}  // namespace

PlacementBatch plan_placements(const ControllerState& state, const std::vector<PlannedPlacement>& placements,
                               std::size_t first, std::uint64_t attempt) {
  const auto partition = placements[first].partition;
  PlacementBatch batch{{}, state.names.partitions.name(partition), first};
  auto& transaction = batch.transaction;
  // Under another fencing token, though the partition be ours again, others may have written what this was
  // decided from.
  if (!state.leads(partition) || state.fencing_token(partition) != placements[first].fencing_token) {
    ++batch.next;
    return batch;
  }
  AssignmentWriter writer(state, partition);
  // The room that was counted on: its exit must be recorded with what takes its place. What does not fit into
  // this transaction has ended all the same.
  for (const auto& exit : state.fleet.observed_exits)
    if (exit.partition == partition) writer.record_exit(exit);
  const auto max_compares = state.settings.state_limits.max_compares();
  for (; batch.next < placements.size() && placements[batch.next].partition == partition; ++batch.next) {
    const auto& placement = placements[batch.next];
    const auto* job = state.cache.job(placement.job);
    if (!job || job->revision != placement.job_revision) continue;
    if (transaction.compares.size() + writer.touched() + kComparesPerPlacement > max_compares) break;
    const auto assignments = assignments_of(state, placement, attempt);
    if (!assignments) continue;
    if (!writer.add(placement.job, *assignments)) {
      if (!transaction.starts.empty()) break;  // in the next transaction
      continue;                                // in another round, when less has to be written with it
    }
    require_job_and_quota(state, placement.job, transaction);
    start_when_durable(state, placement, *assignments, transaction);
  }
  if (writer.touched() > 0) writer.finish(transaction);
  return batch;
}

}  // namespace finchrun::assignments
