// Splits a shard over the value limit: distributes its contents over itself and new shards.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::assignments {

/// The contents of one shard, by job.
using ShardContents = std::map<core::JobId, jobs::JobAssignments>;

/// Returns an upper bound of the stored size of the contents, however their tasks end.
std::size_t max_stored_bytes(const ShardContents& contents, const jobs::Names& names);

/// The constraints of a split.
struct SplitConstraints {
  std::size_t max_bytes = 0;                    // of each shard
  std::size_t max_shards = 0;                   // including the one that is split
  std::set<core::JobId> jobs_with_pinned_done;  // their done tasks stay in the shard that is split
  std::set<core::JobId> jobs_to_move;           // these must leave the shard that is split
};

/// Returns the contents of the shard that is split, first, and of the new shards: each assignment and each
/// done task is in exactly one of them. Returns nullopt if the constraints can't be met.
std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents,
                                                      const SplitConstraints& constraints,
                                                      const jobs::Names& names);

}  // namespace finchrun::assignments
