#include "assignments/open_shards.hpp"

namespace finchrun::assignments {

namespace {

// Around the jobs of a shard: {"jobs":{}}
constexpr std::size_t kFrameBytes = 11;

}  // namespace

OpenShards::OpenShards(const ControllerState& state, core::PartitionId partition,
                       PlannedTombstones& tombstones, std::size_t max_shards)
    : state_(state),
      partition_(partition),
      tombstones_(tombstones),
      max_shards_(max_shards),
      max_bytes_(state.settings.store_limits.max_value_bytes()) {}

OpenShard* OpenShards::find(const std::string& name) {
  const auto shard = shards_.find(name);
  return shard == shards_.end() ? nullptr : &shard->second;
}

ShardContents OpenShards::contents(core::ShardId id) const {
  ShardContents contents;
  const auto& shard = state_.cache.shard(id);
  for (const auto job_id : shard.jobs) {
    const auto* stored = state_.cache.find_assignments(job_id, id);
    const auto* job = state_.cache.job(job_id);
    const bool finished = job && job->status != jobs::Status::live;
    if (!stored || (finished && stored->assignments.empty())) continue;
    auto& recorded = contents[job_id] = *stored;
    tombstones_.apply_to(shard.name, job_id, recorded);
  }
  return contents;
}

bool OpenShards::is_within_limit(core::ShardId shard) const {
  return state_.cache.shard(shard).bytes <= max_bytes_ ||
         max_stored_bytes(contents(shard), state_.names) <= max_bytes_;
}

OpenShard* OpenShards::open(const std::string& name) {
  if (auto* shard = find(name)) return shard;
  if (shards_.size() >= max_shards_) return nullptr;
  const auto id = state_.cache.find_shard(partition_, name);
  if (!id) return &shards_[name];
  auto jobs = contents(*id);
  const auto bytes = max_stored_bytes(jobs, state_.names);
  if (bytes > max_bytes_) return nullptr;
  if (!tombstones_.exceeds_limit()) tombstones_.drop(name);
  auto& shard = shards_[name];
  shard = {state_.cache.shard(*id).revision, bytes, std::move(jobs)};
  return &shard;
}

void OpenShards::replace(core::ShardId id, std::vector<ShardContents> contents) {
  const auto& shard = state_.cache.shard(id);
  for (std::size_t i = 0; i < contents.size(); ++i) {
    const auto bytes = max_stored_bytes(contents[i], state_.names);
    const auto name = i == 0 ? shard.name : unused_name();
    shards_[name] = {i == 0 ? shard.revision : 0, bytes, std::move(contents[i])};
  }
}

std::string OpenShards::unused_name() const {
  for (std::size_t number = 0;; ++number) {
    auto name = std::to_string(number);
    const auto stored = state_.cache.find_shard(partition_, name);
    if (!contains(name) && (!stored || state_.cache.shard(*stored).revision == 0)) return name;
  }
}

// A job that has left a shard must not return while a stored tombstone list that can't be rewritten yet names
// it there: the tombstones would be applied to it a second time.
bool OpenShards::can_hold(const std::string& name, core::JobId job) const {
  if (!tombstones_.exceeds_limit() || !state_.cache.tombstones(partition_).of(name).contains(job))
    return true;
  const auto shard = state_.cache.find_shard(partition_, name);
  return shard && state_.cache.find_assignments(job, *shard);
}

OpenShard* OpenShards::open_with_room(core::JobId job, std::size_t bytes) {
  if (auto* shard = find_open_with_room(job, bytes)) return shard;
  if (shards_.size() >= max_shards_) return nullptr;
  const auto stored = find_stored_with_room(job, bytes);
  return open(stored.empty() ? unused_name() : stored);
}

// Returns an open shard with room, preferably one that has the job already, since it is written anyway.
OpenShard* OpenShards::find_open_with_room(core::JobId job, std::size_t bytes) {
  OpenShard* best = nullptr;
  for (auto& [name, shard] : shards_) {
    if (shard.bytes + bytes > max_bytes_ || !can_hold(name, job)) continue;
    if (!best || shard.jobs.contains(job)) best = &shard;
  }
  return best;
}

// Returns the stored shard with room that has the most tombstones, since writing it shortens the list; among
// equals the fullest one, so that new assignments stay together. Empty if no shard has room.
std::string OpenShards::find_stored_with_room(core::JobId job, std::size_t bytes) const {
  std::string choice;
  std::pair<std::size_t, std::size_t> best{0, 0};  // tombstones, bytes
  for (const auto id : state_.cache.shards(partition_)) {
    const auto& shard = state_.cache.shard(id);
    if (contains(shard.name) || !can_hold(shard.name, job)) continue;
    const std::pair score{tombstones_.count(shard.name), shard.bytes};
    if (shard.bytes + bytes > max_bytes_ || score < best) continue;
    best = score;
    choice = shard.name;
  }
  return choice;
}

std::uint32_t OpenShards::done_tasks(core::JobId job) const {
  std::uint32_t done = 0;
  for (const auto& [_, shard] : shards_)
    if (const auto recorded = shard.jobs.find(job); recorded != shard.jobs.end())
      done += recorded->second.done.size();
  return done;
}

std::string OpenShards::key(const std::string& name) const {
  return state::keys::shard(state_.names.partitions.name(partition_), name);
}

state::TransactionCost OpenShards::cost() const {
  state::TransactionCost cost;
  for (const auto& [name, shard] : shards_) {
    cost += state::compare_cost(key(name));
    cost += state::write_cost(key(name), shard.bytes + kFrameBytes);
  }
  return cost;
}

void OpenShards::write_to(PlannedTransaction& transaction) const {
  for (const auto& [name, shard] : shards_) {
    transaction.require_revision(key(name), shard.revision);
    transaction.writes.push_back({key(name), state::encode_shard(shard.jobs, state_.names)});
  }
}

}  // namespace finchrun::assignments
