// Brings one partition's records within the limits on values, step by step.
#pragma once

#include "assignments/open_shards.hpp"
#include "assignments/planned_tombstones.hpp"

namespace finchrun::assignments {

/// Plans one step towards values within the limits, for records that were written under larger ones. A step
/// is a transaction of its own.
class ShardShrinker {
 public:
  /// `max_writes`: so many writes the transaction may hold. The references must outlive this.
  ShardShrinker(const ControllerState& state, core::PartitionId partition, PlannedTombstones& tombstones,
                OpenShards& shards, std::size_t max_writes)
      : state_(state),
        partition_(partition),
        tombstones_(tombstones),
        shards_(shards),
        max_writes_(max_writes) {}

  /// One shard is split, or those are rewritten that a too long tombstone list speaks of. False if there is
  /// nothing to do, or nothing that fits into one transaction.
  bool shrink();

 private:
  bool split(core::ShardId shard);

  const ControllerState& state_;
  core::PartitionId partition_;
  PlannedTombstones& tombstones_;
  OpenShards& shards_;
  std::size_t max_writes_;
};

}  // namespace finchrun::assignments
