// The assignment shards that a planned transaction rewrites.
#pragma once

#include <map>
#include <string>

#include "assignments/planned_tombstones.hpp"
#include "assignments/planned_transaction.hpp"
#include "assignments/shard_split.hpp"

namespace finchrun::assignments {

/// A shard as the transaction will leave it.
struct OpenShard {
  std::uint64_t revision = 0;  // at which the shard was read; 0: a new shard
  std::size_t bytes = 0;       // upper bound of the stored size
  ShardContents jobs;
};

/// The shards of one partition that the transaction rewrites. Opening a shard applies its tombstones and
/// drops finished jobs that have no assignments left.
class OpenShards {
 public:
  /// At most `max_shards` may be open. Both references must outlive this object.
  OpenShards(const ControllerState& state, core::PartitionId partition, PlannedTombstones& tombstones,
             std::size_t max_shards);

  [[nodiscard]] bool empty() const { return shards_.empty(); }
  [[nodiscard]] std::size_t size() const { return shards_.size(); }
  [[nodiscard]] bool contains(const std::string& name) const { return shards_.contains(name); }
  /// Returns the shard if it is open, otherwise null.
  [[nodiscard]] OpenShard* find(const std::string& name);
  /// Opens the shard. Returns null if too many are open, or if it is over the limit and must be split first.
  OpenShard* open(const std::string& name);
  /// Returns an open shard with room for this many bytes of the job, or opens a stored or new one. Returns
  /// null if too many are open.
  OpenShard* open_with_room(core::JobId job, std::size_t bytes);
  /// Returns the stored contents of the shard with its tombstones applied, without finished jobs that have no
  /// assignments left.
  [[nodiscard]] ShardContents contents(core::ShardId shard) const;
  /// Returns true if the shard is within the value limit.
  [[nodiscard]] bool is_within_limit(core::ShardId shard) const;
  /// Opens the stored shard with the first of the contents, and a new shard with each of the others.
  void replace(core::ShardId shard, std::vector<ShardContents> contents);
  /// Returns the number of done tasks of the job in the open shards.
  [[nodiscard]] std::uint32_t done_tasks(core::JobId job) const;

  using Savepoint = std::map<std::string, OpenShard>;
  [[nodiscard]] Savepoint savepoint() const { return shards_; }
  /// Undoes all changes since the savepoint, except those of the tombstones.
  void restore(Savepoint savepoint) { shards_ = std::move(savepoint); }

  /// Returns an upper bound of what `write_to` adds.
  [[nodiscard]] state::TransactionCost cost() const;
  /// Adds the writes of the shards, each on condition that the shard has not been written since.
  void write_to(PlannedTransaction& transaction) const;

 private:
  [[nodiscard]] bool can_hold(const std::string& name, core::JobId job) const;
  [[nodiscard]] OpenShard* find_open_with_room(core::JobId job, std::size_t bytes);
  [[nodiscard]] std::string find_stored_with_room(core::JobId job, std::size_t bytes) const;
  [[nodiscard]] std::string unused_name() const;
  [[nodiscard]] std::string key(const std::string& name) const;

  const ControllerState& state_;
  core::PartitionId partition_;
  PlannedTombstones& tombstones_;
  std::size_t max_shards_, max_bytes_;
  std::map<std::string, OpenShard> shards_;  // by name
};

}  // namespace finchrun::assignments
