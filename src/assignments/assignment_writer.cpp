#include "assignments/assignment_writer.hpp"

#include <algorithm>

namespace finchrun::assignments {

namespace {

// Of the limit on values: a job of many assignments is given shards with so much room.
constexpr double kShareForLargeJob = 0.9;
// What a shard may be short of, in assignments, beside the room that it was chosen for.
constexpr std::size_t kSpareAssignments = 2;

// One write is left to the tombstones.
std::size_t shards_for(const config::StateLimits& limits, std::size_t max_writes) {
  return std::clamp<std::size_t>(max_writes - 1, 1, limits.max_full_values());
}

std::size_t bytes_for_large_job(std::size_t max_bytes) {
  return static_cast<std::size_t>(kShareForLargeJob * static_cast<double>(max_bytes));
}

bool has_attempt(const jobs::JobAssignments& held, const agent::ObservedExit& exit) {
  return std::any_of(held.assignments.begin(), held.assignments.end(), [&](const auto& assignment) {
    return assignment.task == exit.task && assignment.attempt == exit.attempt;
  });
}

}  // namespace

AssignmentWriter::AssignmentWriter(const ControllerState& state, core::PartitionId partition,
                                   std::size_t max_writes)
    : state_(state),
      partition_(partition),
      max_writes_(max_writes),
      max_bytes_(state.settings.state_limits.value_bytes()),
      tombstones_(state, partition),
      shards_(state, partition, tombstones_, shards_for(state.settings.state_limits, max_writes)) {}

std::size_t AssignmentWriter::most_assignments(const config::StateLimits& limits) {
  const auto per_shard =
      bytes_for_large_job(limits.value_bytes()) / jobs::kAssignmentBytes - kSpareAssignments;
  return shards_for(limits, limits.max_writes()) * per_shard;
}

bool AssignmentWriter::shrink() {
  return ShardShrinker(state_, partition_, tombstones_, shards_, max_writes_).shrink();
}

bool AssignmentWriter::add(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments) {
  std::vector<std::pair<OpenShard*, std::size_t>> added;
  const auto most_bytes = bytes_for_large_job(max_bytes_);
  for (std::size_t next = 0; next < assignments.size();) {
    // As much of it together as there is room for; a large job may need several shards.
    const auto left = assignments.size() - next;
    OpenShard* shard = shards_.with_room(job, std::min((left + 1) * jobs::kAssignmentBytes, most_bytes));
    if (!shard) {
      for (const auto& [changed, count] : added) {
        auto& list = changed->jobs[job].assignments;
        list.resize(list.size() - count);
      }
      return false;
    }
    auto& held = shard->jobs[job];
    const auto before = held.empty() ? 0 : jobs::bytes_at_most(held, state_.names);
    std::size_t count = 0;
    do {
      held.assignments.push_back(assignments[next++]);
      ++count;
    } while (next < assignments.size() && shard->bytes + (count + 2) * jobs::kAssignmentBytes <= max_bytes_);
    shard->bytes += jobs::bytes_at_most(held, state_.names) - before;
    added.emplace_back(shard, count);
  }
  return true;
}

bool AssignmentWriter::record_exit(const agent::ObservedExit& exit) {
  const auto item = tombstone_of(exit, state_.cache.job(exit.job));
  for (const auto& held : state_.cache.shard_assignments(exit.job)) {
    if (held.partition != partition_ || !has_attempt(held.job_assignments, exit)) continue;
    const auto& name = state_.cache.shard(held.shard).name;
    auto* shard = shards_.find(name);
    if (!shard) return add_tombstone(name, exit.job, item);
    state::apply_tombstones(shard->jobs[exit.job], {item});
    return true;
  }
  return true;  // its assignment is gone already
}

// Puts it into the tombstone list; rewrites the shard with most tombstones when the list has grown too long.
bool AssignmentWriter::add_tombstone(const std::string& name, core::JobId job, const state::Tombstone& item) {
  const auto apply_to_open = [&] {
    auto* shard = shards_.find(name);
    if (shard) state::apply_tombstones(shard->jobs[job], {item});
    return shard != nullptr;
  };
  if (tombstones_.too_long()) return shards_.open(name) && apply_to_open();
  if (!tombstones_.has_room(name, job, item)) {
    // As a shard is written, its tombstones leave the list.
    if (!shards_.open(tombstones_.longest().value_or(name))) return false;
    if (apply_to_open()) return true;
    if (!tombstones_.has_room(name, job, item)) return false;
  }
  tombstones_.add(name, job, item);
  return true;
}

std::uint32_t AssignmentWriter::done(core::JobId job) const {
  std::uint32_t done = shards_.done(job);
  for (const auto& held : state_.cache.shard_assignments(job)) {
    if (held.partition != partition_) {
      done += held.job_assignments.done.size();
      continue;
    }
    const auto& name = state_.cache.shard(held.shard).name;
    if (shards_.contains(name)) continue;  // counted as it will be
    auto run = held.job_assignments;
    tombstones_.apply_to(name, job, run);
    done += run.done.size();
  }
  return done;
}

void AssignmentWriter::finish(PlannedTransaction& transaction) const {
  const auto& partition = state_.names.partitions.name(partition_);
  transaction.require(state::keys::leadership(partition), state_.fencing_token(partition_));
  transaction.require(state::keys::fence(partition), state_.cache.fence(partition_));
  shards_.write_to(transaction);
  tombstones_.write_to(transaction);
}

}  // namespace finchrun::assignments
