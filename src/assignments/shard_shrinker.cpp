#include "assignments/shard_shrinker.hpp"

#include "assignments/leader_compares.hpp"

namespace finchrun::assignments {

bool ShardShrinker::shrink() {
  for (const auto shard : state_.cache.shards(partition_))
    if (!shards_.is_within_limit(shard) && split(shard)) return true;
  if (!tombstones_.exceeds_limit()) return false;
  for (const auto& [name, _] : tombstones_.shards()) shards_.open(name);
  return !shards_.empty();
}

// Distributes the shard's contents over itself and new shards.
bool ShardShrinker::split(core::ShardId shard) {
  const auto& name = state_.cache.shard(shard).name;
  const auto jobs = shards_.contents(shard);
  // A controller of an earlier release applies tombstones to a shard permanently, in whichever order it reads
  // the keys. It would count done tasks twice if they had moved to another shard meanwhile.
  const bool done_tasks_may_move = state_.all_controllers_support(state::kUnorderedTombstonesLevel);
  SplitConstraints constraints;
  constraints.max_bytes = state_.settings.store_limits.max_value_bytes();
  if (!done_tasks_may_move)
    for (const auto& [job, _] : jobs) constraints.jobs_with_pinned_done.insert(job);
  // Preferred: the tombstones of the shard leave the list, which takes one more write.
  if (!tombstones_.exceeds_limit()) {
    constraints.max_shards = max_writes_ - 1;
    auto contents = split_shard(jobs, constraints, state_.names);
    if (contents && replace(shard, std::move(*contents), true)) return true;
  }
  // Otherwise the stored tombstones stay. Applying them again is harmless if this shard no longer holds the
  // jobs that they name, or still holds all tasks that they mark as done.
  constraints.max_shards = max_writes_ - (tombstones_.changed() ? 1 : 0);
  if (done_tasks_may_move)
    for (const auto& [job, _] : state_.cache.tombstones(partition_).of(name))
      constraints.jobs_to_move.insert(job);
  auto contents = split_shard(jobs, constraints, state_.names);
  return contents && replace(shard, std::move(*contents), false);
}

bool ShardShrinker::replace(core::ShardId shard, std::vector<ShardContents> contents, bool drop_tombstones) {
  auto shards_before = shards_.savepoint();
  auto tombstones_before = tombstones_.savepoint();
  if (drop_tombstones) tombstones_.drop(state_.cache.shard(shard).name);
  shards_.replace(shard, std::move(contents));
  const auto cost = leadership_cost(state_, partition_) + shards_.cost() + tombstones_.cost();
  if (state::TransactionLimits(state_.settings.store_limits).allow(cost)) return true;
  shards_.restore(std::move(shards_before));
  tombstones_.restore(std::move(tombstones_before));
  return false;
}

}  // namespace finchrun::assignments
