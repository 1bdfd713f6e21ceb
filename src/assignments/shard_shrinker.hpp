// Brings one partition's records within the value limit, step by step.
#pragma once

#include "assignments/open_shards.hpp"
#include "assignments/planned_tombstones.hpp"

namespace finchrun::assignments {

/// Plans one step of shrinking records that were written under larger limits. Each step is a transaction of
/// its own.
class ShardShrinker {
 public:
  /// `max_writes`: the limit on writes in the transaction. The references must outlive this object.
  ShardShrinker(const ControllerState& state, core::PartitionId partition, PlannedTombstones& tombstones,
                OpenShards& shards, std::size_t max_writes)
      : state_(state),
        partition_(partition),
        tombstones_(tombstones),
        shards_(shards),
        max_writes_(max_writes) {}

  /// Splits one shard over the limit, or rewrites the shards that a tombstone list over the limit names.
  /// Returns false if there is nothing to do, or no step that fits into one transaction.
  bool shrink();

 private:
  bool split(core::ShardId shard);
  /// Replaces the shard by the contents. Returns false, and changes nothing, if that exceeds a limit of the
  /// store. `drop_tombstones`: the tombstones of the shard leave the list.
  bool replace(core::ShardId shard, std::vector<ShardContents> contents, bool drop_tombstones);

  const ControllerState& state_;
  core::PartitionId partition_;
  PlannedTombstones& tombstones_;
  OpenShards& shards_;
  std::size_t max_writes_;
};

}  // namespace finchrun::assignments
