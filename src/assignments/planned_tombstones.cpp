#include "assignments/planned_tombstones.hpp"

namespace finchrun::assignments {

namespace json = boost::json;

namespace {

// The braces around the list.
constexpr std::size_t kFrameBytes = 2;
// Quotes, colon, braces and comma around the jobs of a shard.
constexpr std::size_t kShardDelimiterBytes = 6;
// Quotes, colon, brackets and comma around the tombstones of a job, with some slack.
constexpr std::size_t kJobDelimiterBytes = 8;

std::size_t tombstone_bytes(const state::Tombstone& tombstone) {
  return json::serialize(state::to_json(tombstone)).size() + 1;  // with the comma
}
std::size_t shard_entry_bytes(const std::string& shard) { return shard.size() + kShardDelimiterBytes; }

}  // namespace

state::Tombstone tombstone_of(const agent::ObservedExit& exit, const jobs::JobRecord* job) {
  state::Tombstone tombstone{exit.task, exit.attempt, {0, 0}};
  if (!exit.done) return tombstone;
  if (job && job->spec.is_gang())
    tombstone.done = {0, job->spec.tasks};
  else if (!job || !job->spec.is_service())
    tombstone.done = {exit.task, exit.task + 1};
  return tombstone;
}

PlannedTombstones::PlannedTombstones(const ControllerState& state, core::PartitionId partition)
    : state_(state), partition_(partition), max_bytes_(state.settings.store_limits.max_value_bytes()) {
  const auto& stored = state.cache.tombstones(partition).shards;
  for (const auto& [name, jobs] : stored) {
    // The shard has been written without the ended assignments, so these tombstones can be dropped.
    const auto shard = state.cache.find_shard(partition, name);
    if (shard && !state.cache.shard(*shard).needs_tombstones()) continue;
    shards_.emplace(name, jobs);
    bytes_ += shard_entry_bytes(name);
    for (const auto& [job, tombstones] : jobs) bytes_ += job_entry_bytes(job, tombstones);
  }
  exceeds_limit_ = bytes_ > max_bytes_;
  // Removes obsolete tombstones from the store: while they are there, they would be applied again to a job
  // that leaves its shard and returns.
  changed_ = !exceeds_limit_ && shards_.size() != stored.size();
}

std::size_t PlannedTombstones::job_entry_bytes(core::JobId job,
                                               const std::vector<state::Tombstone>& tombstones) const {
  std::size_t bytes = state_.names.jobs.name(job).size() + kJobDelimiterBytes;
  for (const auto& tombstone : tombstones) bytes += tombstone_bytes(tombstone);
  return bytes;
}

std::size_t PlannedTombstones::count(const std::string& shard) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) return 0;
  std::size_t count = 0;
  for (const auto& [_, tombstones] : found->second) count += tombstones.size();
  return count;
}

std::optional<std::string> PlannedTombstones::shard_with_most_tombstones() const {
  std::optional<std::string> best;
  std::size_t max_count = 0;
  for (const auto& [name, _] : shards_) {
    const auto tombstone_count = count(name);
    if (tombstone_count <= max_count) continue;
    max_count = tombstone_count;
    best = name;
  }
  return best;
}

void PlannedTombstones::apply_to(const std::string& shard, core::JobId job,
                                 jobs::JobAssignments& recorded) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) return;
  if (const auto tombstones = found->second.find(job); tombstones != found->second.end())
    state::apply_tombstones(recorded, tombstones->second);
}

bool PlannedTombstones::has_room(const std::string& shard, core::JobId job,
                                 const state::Tombstone& tombstone) const {
  return bytes_ + job_entry_bytes(job, {tombstone}) + shard_entry_bytes(shard) <= max_bytes_;
}

void PlannedTombstones::add(const std::string& shard, core::JobId job, const state::Tombstone& tombstone) {
  if (!shards_.contains(shard)) bytes_ += shard_entry_bytes(shard);
  auto& tombstones = shards_[shard][job];
  bytes_ += tombstones.empty() ? job_entry_bytes(job, {tombstone}) : tombstone_bytes(tombstone);
  tombstones.push_back(tombstone);
  changed_ = true;
}

void PlannedTombstones::drop(const std::string& shard) {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) return;
  bytes_ -= shard_entry_bytes(shard);
  for (const auto& [job, tombstones] : found->second) bytes_ -= job_entry_bytes(job, tombstones);
  shards_.erase(found);
  changed_ = true;
}

std::string PlannedTombstones::key() const {
  return state::keys::tombstones(state_.names.partitions.name(partition_));
}

void PlannedTombstones::restore(Savepoint savepoint) {
  shards_ = std::move(savepoint.shards);
  bytes_ = savepoint.bytes;
  changed_ = savepoint.changed;
}

state::TransactionCost PlannedTombstones::cost() const {
  if (!changed_) return {};
  return state::compare_cost(key()) + state::write_cost(key(), bytes_ + kFrameBytes);
}

void PlannedTombstones::write_to(PlannedTransaction& transaction) const {
  if (!changed_) return;
  transaction.require_revision(key(), state_.cache.tombstones(partition_).revision);
  transaction.writes.push_back({key(), state::encode(shards_, state_.names)});
}

}  // namespace finchrun::assignments
