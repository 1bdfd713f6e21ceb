// A shard that is over the limit on values is split: what it holds is spread over itself and new shards.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::assignments {

/// What one shard holds, by job.
using ShardContents = std::map<core::JobId, jobs::JobAssignments>;

/// Bytes that the contents take in their shard at most, however their tasks end.
std::size_t bytes_at_most(const ShardContents& contents, const jobs::Names& names);

/// What a split must keep to.
struct SplitRules {
  std::size_t max_bytes = 0;         // of each shard
  std::size_t max_shards = 0;        // with the one that is split
  std::set<core::JobId> done_stays;  // done tasks of these stay in the shard that is split
  std::set<core::JobId> must_leave;  // nothing of these stays in the shard that is split
};

/// The contents of the shard that is split, first, and of the new ones: each assignment and each done task
/// stands in exactly one of them. Nothing if the rules can't be kept.
std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents, const SplitRules& rules,
                                                      const jobs::Names& names);

}  // namespace finchrun::assignments
