#include "assignments/planned_tombstones.hpp"

namespace finchrun::assignments {

namespace json = boost::json;

namespace {

// The quotes, the colon, the braces and the comma around a shard's jobs.
constexpr std::size_t kShardFrameBytes = 6;
// The same around a job's list, with room to spare.
constexpr std::size_t kJobFrameBytes = 8;

std::size_t item_bytes(const state::Tombstone& item) {
  return json::serialize(state::to_json(item)).size() + 1;  // and the comma
}
std::size_t frame_bytes(const std::string& shard) { return shard.size() + kShardFrameBytes; }

}  // namespace

state::Tombstone tombstone_of(const agent::ObservedExit& exit, const jobs::JobRecord* job) {
  state::Tombstone item{exit.task, exit.attempt, {0, 0}};
  if (!exit.done) return item;
  if (job && job->spec.gang())
    item.done = {0, job->spec.tasks};
  else if (!job || !job->spec.standing())
    item.done = {exit.task, exit.task + 1};
  return item;
}

PlannedTombstones::PlannedTombstones(const ControllerState& state, core::PartitionId partition)
    : state_(state), partition_(partition), max_bytes_(state.settings.store_limits.max_value_bytes()) {
  const auto& stored = state.cache.tombstones(partition).shards;
  for (const auto& [name, jobs] : stored) {
    // Its shard has been written without what has ended: nothing is lost with these.
    const auto shard = state.cache.find_shard(partition, name);
    if (shard && !state.cache.shard(*shard).needs_tombstones()) continue;
    shards_.emplace(name, jobs);
    bytes_ += frame_bytes(name);
    for (const auto& [job, items] : jobs) bytes_ += job_bytes(job, items);
  }
  too_long_ = bytes_ > max_bytes_;
  // While items that nobody needs stand in the store, nothing of their jobs may leave its shard unnoticed.
  changed_ = !too_long_ && shards_.size() != stored.size();
}

std::size_t PlannedTombstones::job_bytes(core::JobId job, const std::vector<state::Tombstone>& items) const {
  std::size_t bytes = state_.names.jobs.name(job).size() + kJobFrameBytes;
  for (const auto& item : items) bytes += item_bytes(item);
  return bytes;
}

std::size_t PlannedTombstones::count(const std::string& shard) const {
  const auto noted = shards_.find(shard);
  if (noted == shards_.end()) return 0;
  std::size_t count = 0;
  for (const auto& [_, items] : noted->second) count += items.size();
  return count;
}

std::optional<std::string> PlannedTombstones::longest() const {
  std::optional<std::string> longest;
  std::size_t most = 0;
  for (const auto& [name, _] : shards_) {
    const auto items = count(name);
    if (items <= most) continue;
    most = items;
    longest = name;
  }
  return longest;
}

void PlannedTombstones::apply_to(const std::string& shard, core::JobId job,
                                 jobs::JobAssignments& held) const {
  const auto noted = shards_.find(shard);
  if (noted == shards_.end()) return;
  if (const auto items = noted->second.find(job); items != noted->second.end())
    state::apply_tombstones(held, items->second);
}

bool PlannedTombstones::has_room(const std::string& shard, core::JobId job,
                                 const state::Tombstone& item) const {
  return bytes_ + job_bytes(job, {item}) + frame_bytes(shard) <= max_bytes_;
}

void PlannedTombstones::add(const std::string& shard, core::JobId job, const state::Tombstone& item) {
  if (!shards_.contains(shard)) bytes_ += frame_bytes(shard);
  auto& items = shards_[shard][job];
  bytes_ += items.empty() ? job_bytes(job, {item}) : item_bytes(item);
  items.push_back(item);
  changed_ = true;
}

void PlannedTombstones::drop(const std::string& shard) {
  const auto noted = shards_.find(shard);
  if (noted == shards_.end()) return;
  bytes_ -= frame_bytes(shard);
  for (const auto& [job, items] : noted->second) bytes_ -= job_bytes(job, items);
  shards_.erase(noted);
  changed_ = true;
}

void PlannedTombstones::write_to(PlannedTransaction& transaction) const {
  if (!changed_) return;
  const auto key = state::keys::tombstones(state_.names.partitions.name(partition_));
  transaction.require(key, state_.cache.tombstones(partition_).revision);
  transaction.writes.push_back({key, state::encode(shards_, state_.names)});
}

}  // namespace finchrun::assignments
