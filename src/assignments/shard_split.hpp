// A shard that is over the limit on values is split: what it holds is spread over itself and new shards.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::assignments {

// What one shard holds, by job.
using ShardContents = std::map<core::JobId, jobs::JobAssignments>;

// Bytes that the contents take in their shard at most.
std::size_t bytes_at_most(const ShardContents& contents, const jobs::Names& names);

struct SplitRules {
  std::size_t max_bytes = 0;         // of each shard
  std::size_t max_shards = 0;        // with the one that is split
  std::set<core::JobId> done_stays;  // what is done of these stays in the shard that is split
  std::set<core::JobId> must_leave;  // nothing of these stays in the shard that is split
};

// The contents of the shard that is split, first, and of the new ones. Nothing if the rules can't be kept.
std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents, const SplitRules& rules,
                                                      const jobs::Names& names);

}  // namespace finchrun::assignments
