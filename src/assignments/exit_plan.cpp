#include "assignments/exit_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace finchrun::assignments {

namespace {

// One write in this many is reserved for the records of jobs that the transaction completes.
constexpr std::size_t kJobWritesDivisor = 4;

// Returns true if all values of the partition's records are within the value limit.
bool records_within_limits(const ControllerState& state, core::PartitionId partition) {
  const AssignmentWriter writer(state, partition);
  const auto shards = state.cache.shards(partition);
  return !writer.tombstones_exceed_limit() &&
         std::all_of(shards.begin(), shards.end(),
                     [&](core::ShardId shard) { return writer.is_within_limit(shard); });
}

// Records at most `max_exits` of the observed exits. Returns the jobs that have done tasks, in these exits or
// in the records.
std::set<core::JobId> record_exits(const ControllerState& state, core::PartitionId partition,
                                   std::size_t max_exits, AssignmentWriter& writer) {
  std::set<core::JobId> with_done_tasks;
  std::size_t recorded_exits = 0;
  for (const auto& exit : state.fleet.observed_exits) {
    if (recorded_exits >= max_exits) break;
    if (exit.partition != partition || !writer.record_exit(exit)) continue;
    ++recorded_exits;
    if (exit.done) with_done_tasks.insert(exit.job);
  }
  state.cache.for_each_assignments(
      [&](core::JobId job, core::PartitionId recorded_by, const jobs::JobAssignments& recorded) {
        if (recorded_by == partition && recorded.done.size() > 0) with_done_tasks.insert(job);
      });
  return with_done_tasks;
}

// Returns true if the job is live and all of its tasks are done. A service never completes.
bool is_complete(const ControllerState& state, const AssignmentWriter& writer, core::JobId id) {
  const auto* job = state.cache.job(id);
  return job && job->status == jobs::Status::live && !job->spec.is_service() &&
         writer.done_tasks(id) >= job->spec.tasks;
}

/// The completion of a job: its record as it is and as it will be.
struct Completion {
  std::string name;
  std::string key;
  std::uint64_t revision = 0;
  boost::json::value record;
};

Completion completion_of(const ControllerState& state, core::JobId id) {
  const auto& job = *state.cache.job(id);
  const auto& name = state.names.jobs.name(id);
  return {name, state::keys::job(name), job.revision, jobs::to_json(completed_record(job), state.names)};
}

state::TransactionCost cost_of(const Completion& completion) {
  const auto bytes = boost::json::serialize(completion.record).size();
  return state::compare_cost(completion.key) + state::write_cost(completion.key, bytes);
}

void record_completion(Completion completion, PlannedTransaction& transaction) {
  transaction.require_revision(completion.key, completion.revision);
  transaction.writes.push_back({completion.key, std::move(completion.record)});
  transaction.log_lines.push_back(fmt::format("job done job={}", completion.name));
}

}  // namespace

jobs::JobRecord completed_record(const jobs::JobRecord& job) {
  jobs::JobRecord record;
  record.status = jobs::Status::done;
  record.spec = job.spec;
  return record;
}

PlannedTransaction plan_shrink(const ControllerState& state, core::PartitionId partition) {
  PlannedTransaction transaction;
  if (records_within_limits(state, partition)) return transaction;
  AssignmentWriter writer(state, partition);
  if (!writer.shrink()) return transaction;
  writer.write_to(transaction);
  transaction.log_lines.push_back(fmt::format("records shrunk partition={} writes={}",
                                              state.names.partitions.name(partition),
                                              transaction.writes.size()));
  return transaction;
}

PlannedTransaction plan_exits(const ControllerState& state, core::PartitionId partition,
                              std::size_t max_changes) {
  PlannedTransaction transaction;
  const auto max_writes = state.settings.store_limits.max_writes();
  AssignmentWriter writer(state, partition, max_writes - max_writes / kJobWritesDivisor);
  const auto jobs = record_exits(state, partition, max_changes, writer);
  writer.write_to(transaction);
  const state::TransactionLimits limits(state.settings.store_limits);
  const auto leadership = state::keys::leadership(state.names.partitions.name(partition));
  auto cost = writer.cost() + state::compare_cost(leadership);
  std::size_t completions = 0;
  for (const auto job : jobs) {
    if (!is_complete(state, writer, job)) continue;
    if (completions++ >= max_changes) break;
    auto completion = completion_of(state, job);
    const auto with_completion = cost + cost_of(completion);
    if (!limits.allow(with_completion)) break;  // left to the next transaction
    cost = with_completion;
    transaction.require_revision(leadership, state.fencing_token(partition));
    record_completion(std::move(completion), transaction);
  }
  return transaction;
}

PlannedTransaction plan_next_transaction(const ControllerState& state, core::PartitionId partition,
                                         std::size_t max_changes) {
  auto shrink = plan_shrink(state, partition);
  return shrink.writes.empty() ? plan_exits(state, partition, max_changes) : std::move(shrink);
}

}  // namespace finchrun::assignments
