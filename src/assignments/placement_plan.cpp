#include "assignments/placement_plan.hpp"

#include <fmt/format.h>

#include <optional>

namespace finchrun::assignments {

namespace {

// Returns nullopt if one of the machines is deleted or terminating.
std::optional<std::vector<jobs::TaskAssignment>> assignments_for(const ControllerState& state,
                                                                 const PlannedPlacement& placement,
                                                                 std::uint64_t attempt) {
  std::vector<jobs::TaskAssignment> assignments;
  for (const auto& [task, machine_id] : placement.tasks) {
    const auto* machine = state.fleet.find(machine_id);
    if (!machine || machine->deleted || machine->terminating) return std::nullopt;
    assignments.push_back({task, attempt, machine_id, machine->agent_incarnation});
  }
  return assignments;
}

void require_job_and_quota(const ControllerState& state, core::JobId id, PlannedTransaction& transaction) {
  const auto& job = *state.cache.job(id);
  // The transaction fails if the job has ended or its ranges have moved.
  transaction.require_revision(state::keys::job(state.names.jobs.name(id)), job.revision);
  // The transaction fails if the partition's quota share has been lowered: a grant to another partition
  // writes this key.
  const auto team = job.spec.team;
  transaction.require_revision(state::keys::quota(state.names.teams.name(team)),
                               state.cache.quota(team).revision);
}

void add_start_commands(const ControllerState& state, const PlannedPlacement& placement,
                        const std::vector<jobs::TaskAssignment>& assignments,
                        PlannedTransaction& transaction) {
  const auto image = state.cache.job(placement.job)->spec.image;
  for (const auto& assignment : assignments) {
    transaction.starts[assignment.machine].push_back({placement.job, assignment.task, assignment.attempt});
    const auto* machine = state.fleet.find(assignment.machine);
    transaction.log_lines.push_back(fmt::format(
        "task placed job={} task={} attempt={} machine={} agent_incarnation={} partition={} fencing_token={} "
        "revision={} weight={:.3f} image={} image_cached={}",
        state.names.jobs.name(placement.job), assignment.task, assignment.attempt,
        state.names.machines.name(assignment.machine), assignment.agent_incarnation,
        state.names.partitions.name(placement.partition), placement.fencing_token, state.cache.revision(),
        placement.weight, state.names.images.name(image), machine && machine->has_image(image)));
  }
}

// Adds the placement. Returns false, and changes nothing, if the transaction would exceed a limit of the
// store.
bool try_add(const ControllerState& state, const PlannedPlacement& placement,
             const std::vector<jobs::TaskAssignment>& assignments, AssignmentWriter& writer,
             PlannedTransaction& transaction) {
  const auto compares = transaction.compares.size();
  require_job_and_quota(state, placement.job, transaction);
  if (writer.add(placement.job, assignments, transaction.compares_cost())) return true;
  transaction.compares.resize(compares);
  return false;
}

}  // namespace

PlacementBatch plan_placements(const ControllerState& state, const std::vector<PlannedPlacement>& placements,
                               std::size_t first, std::uint64_t attempt, std::size_t max_placements) {
  const auto partition = placements[first].partition;
  PlacementBatch batch;
  batch.partition = state.names.partitions.name(partition);
  batch.next = first;
  auto& transaction = batch.transaction;
  // Under another fencing token, other leaders may have changed the records that the placements were decided
  // from, even if this controller leads the partition again.
  if (!state.leads(partition) || state.fencing_token(partition) != placements[first].fencing_token) {
    ++batch.next;
    return batch;
  }
  AssignmentWriter writer(state, partition);
  const auto without_exits = writer.savepoint();
  // The placements use the capacity of exited tasks, so the exits are recorded with them. An exit that does
  // not fit into this transaction has freed its capacity all the same.
  for (const auto& exit : state.fleet.observed_exits)
    if (exit.partition == partition) writer.record_exit(exit);
  for (; batch.next < placements.size() && placements[batch.next].partition == partition; ++batch.next) {
    if (batch.placements >= max_placements) break;
    const auto& placement = placements[batch.next];
    const auto* job = state.cache.job(placement.job);
    if (!job || job->revision != placement.job_revision) continue;
    const auto assignments = assignments_for(state, placement, attempt);
    if (!assignments) continue;
    bool added = try_add(state, placement, *assignments, writer, transaction);
    if (!added && batch.placements > 0) break;  // begins the next transaction
    if (!added) {
      // The exits are left to a later transaction: they must not keep a large placement waiting.
      writer.restore(without_exits);
      added = try_add(state, placement, *assignments, writer, transaction);
    }
    if (!added) {
      batch.too_large.push_back(placement.job);
      continue;
    }
    ++batch.placements;
    add_start_commands(state, placement, *assignments, transaction);
  }
  writer.write_to(transaction);
  return batch;
}

}  // namespace finchrun::assignments
