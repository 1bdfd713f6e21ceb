#include "assignments/shard_shrinker.hpp"

namespace finchrun::assignments {

bool ShardShrinker::shrink() {
  for (const auto shard : state_.cache.shards(partition_))
    if (!shards_.fits(shard) && split(shard)) return true;
  if (!tombstones_.too_long()) return false;
  for (const auto& [name, _] : tombstones_.shards()) shards_.open(name);
  return !shards_.empty();
}

// Spreads the shard's contents over itself and new ones.
bool ShardShrinker::split(core::ShardId shard) {
  const auto& name = state_.cache.shard(shard).name;
  const auto jobs = shards_.contents(shard);
  // A controller of an earlier version takes tombstones into a shard for good, whichever it reads first: what
  // is done would count twice for it if it had moved to another shard meanwhile.
  const bool done_may_move = state_.all_controllers_know(state::kUnorderedTombstonesLevel);
  SplitRules rules;
  rules.max_bytes = state_.settings.state_limits.value_bytes();
  if (!done_may_move)
    for (const auto& [job, _] : jobs) rules.done_stays.insert(job);
  // Best with the shard's tombstones taken out of their list, which is a write more.
  if (!tombstones_.too_long()) {
    rules.max_shards = max_writes_ - 1;
    if (auto contents = split_shard(jobs, rules, state_.names)) {
      tombstones_.drop(name);
      shards_.replace(shard, std::move(*contents));
      return true;
    }
  }
  // Else the stored tombstones stay as they are. They are harmless when read again if nothing that they name
  // is left in this shard, or all that they call done.
  rules.max_shards = max_writes_ - (tombstones_.changed() ? 1 : 0);
  if (done_may_move)
    for (const auto& [job, _] : state_.cache.tombstones(partition_).of(name)) rules.must_leave.insert(job);
  auto contents = split_shard(jobs, rules, state_.names);
  if (!contents) return false;
  shards_.replace(shard, std::move(*contents));
  return true;
}

}  // namespace finchrun::assignments
