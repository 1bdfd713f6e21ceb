#include "assignments/assignment_writer.hpp"

#include <algorithm>

#include "assignments/leader_compares.hpp"

namespace finchrun::assignments {

namespace {

// Fraction of the value limit that the assignments of a large job may fill in one shard.
constexpr double kLargeJobValueShare = 0.9;
// A shard may take this many assignments fewer than would fill the room that it was chosen for.
constexpr std::size_t kSpareAssignments = 2;

// Reserves one write for the tombstone list.
std::size_t max_open_shards(const config::StoreLimits& limits, std::size_t max_writes) {
  return std::clamp<std::size_t>(max_writes - 1, 1, limits.max_full_values());
}

std::size_t large_job_bytes(std::size_t max_bytes) {
  return static_cast<std::size_t>(kLargeJobValueShare * static_cast<double>(max_bytes));
}

bool has_attempt(const jobs::JobAssignments& recorded, const agent::ObservedExit& exit) {
  return std::any_of(recorded.assignments.begin(), recorded.assignments.end(), [&](const auto& assignment) {
    return assignment.task == exit.task && assignment.attempt == exit.attempt;
  });
}

}  // namespace

AssignmentWriter::AssignmentWriter(const ControllerState& state, core::PartitionId partition,
                                   std::size_t max_writes)
    : state_(state),
      partition_(partition),
      limits_(state.settings.store_limits),
      max_writes_(max_writes),
      max_bytes_(state.settings.store_limits.max_value_bytes()),
      tombstones_(state, partition),
      shards_(state, partition, tombstones_, max_open_shards(state.settings.store_limits, max_writes)) {}

std::size_t AssignmentWriter::max_assignments(const config::StoreLimits& limits) {
  const auto per_shard =
      large_job_bytes(limits.max_value_bytes()) / jobs::kMaxAssignmentBytes - kSpareAssignments;
  return max_open_shards(limits, limits.max_writes()) * per_shard;
}

bool AssignmentWriter::shrink() {
  return ShardShrinker(state_, partition_, tombstones_, shards_, max_writes_).shrink();
}

bool AssignmentWriter::add(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments,
                           const state::TransactionCost& others) {
  auto before = savepoint();
  if (add_to_shards(job, assignments) && limits_.allow(others + cost())) return true;
  restore(std::move(before));
  return false;
}

// Returns false if too many shards would be open; then some of the assignments may have been added.
bool AssignmentWriter::add_to_shards(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments) {
  const auto max_job_bytes = large_job_bytes(max_bytes_);
  for (std::size_t next = 0; next < assignments.size();) {
    // Keeps as many of the assignments in one shard as fit; a large job may need several shards.
    const auto left = assignments.size() - next;
    OpenShard* shard =
        shards_.open_with_room(job, std::min((left + 1) * jobs::kMaxAssignmentBytes, max_job_bytes));
    if (!shard) return false;
    auto& recorded = shard->jobs[job];
    const auto before = recorded.empty() ? 0 : jobs::max_stored_bytes(recorded, state_.names);
    std::size_t count = 0;
    do {
      recorded.assignments.push_back(assignments[next++]);
      ++count;
    } while (next < assignments.size() &&
             shard->bytes + (count + 2) * jobs::kMaxAssignmentBytes <= max_bytes_);
    shard->bytes += jobs::max_stored_bytes(recorded, state_.names) - before;
  }
  return true;
}

bool AssignmentWriter::record_exit(const agent::ObservedExit& exit) {
  const auto tombstone = tombstone_of(exit, state_.cache.job(exit.job));
  for (const auto& recorded : state_.cache.shard_assignments(exit.job)) {
    if (recorded.partition != partition_ || !has_attempt(recorded.job_assignments, exit)) continue;
    const auto& name = state_.cache.shard(recorded.shard).name;
    auto* shard = shards_.find(name);
    if (!shard) return add_tombstone(name, exit.job, tombstone);
    state::apply_tombstones(shard->jobs[exit.job], {tombstone});
    return true;
  }
  return true;  // the assignment has been removed already
}

// Adds the tombstone to the list, or rewrites the shard with the most tombstones if the list is full.
bool AssignmentWriter::add_tombstone(const std::string& name, core::JobId job,
                                     const state::Tombstone& tombstone) {
  const auto apply_to_open = [&] {
    auto* shard = shards_.find(name);
    if (shard) state::apply_tombstones(shard->jobs[job], {tombstone});
    return shard != nullptr;
  };
  if (tombstones_.exceeds_limit()) return shards_.open(name) && apply_to_open();
  if (!tombstones_.has_room(name, job, tombstone)) {
    // Writing a shard removes its tombstones from the list.
    if (!shards_.open(tombstones_.shard_with_most_tombstones().value_or(name))) return false;
    if (apply_to_open()) return true;
    if (!tombstones_.has_room(name, job, tombstone)) return false;
  }
  tombstones_.add(name, job, tombstone);
  return true;
}

std::uint32_t AssignmentWriter::done_tasks(core::JobId job) const {
  std::uint32_t done = shards_.done_tasks(job);
  for (const auto& recorded : state_.cache.shard_assignments(job)) {
    if (recorded.partition != partition_) {
      done += recorded.job_assignments.done.size();
      continue;
    }
    const auto& name = state_.cache.shard(recorded.shard).name;
    if (shards_.contains(name)) continue;  // counted above, as the transaction will write it
    auto job_assignments = recorded.job_assignments;
    tombstones_.apply_to(name, job, job_assignments);
    done += job_assignments.done.size();
  }
  return done;
}

void AssignmentWriter::restore(Savepoint savepoint) {
  tombstones_.restore(std::move(savepoint.tombstones));
  shards_.restore(std::move(savepoint.shards));
}

state::TransactionCost AssignmentWriter::cost() const {
  if (written_key_count() == 0) return {};
  return leadership_cost(state_, partition_) + shards_.cost() + tombstones_.cost();
}

void AssignmentWriter::write_to(PlannedTransaction& transaction) const {
  if (written_key_count() == 0) return;
  require_leadership(state_, partition_, transaction);
  shards_.write_to(transaction);
  tombstones_.write_to(transaction);
}

}  // namespace finchrun::assignments
