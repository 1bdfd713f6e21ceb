// The assignment shards that a transaction in the making rewrites.
#pragma once

#include <map>
#include <string>

#include "assignments/planned_tombstones.hpp"
#include "assignments/planned_transaction.hpp"
#include "assignments/shard_split.hpp"

namespace finchrun::assignments {

/// A shard as the transaction will leave it.
struct OpenShard {
  std::uint64_t revision = 0;  // at which it was read; 0: a new one
  std::size_t bytes = 0;       // that it takes at most
  ShardContents jobs;
};

/// The shards of one partition that the transaction rewrites; the tombstones of a shard that is opened are
/// taken in. Jobs that are over and have nothing on any machine are left out of them.
class OpenShards {
 public:
  /// `max_shards`: so many may be open. Both references must outlive this.
  OpenShards(const ControllerState& state, core::PartitionId partition, PlannedTombstones& tombstones,
             std::size_t max_shards);

  [[nodiscard]] bool empty() const { return shards_.empty(); }
  [[nodiscard]] std::size_t size() const { return shards_.size(); }
  [[nodiscard]] bool contains(const std::string& name) const { return shards_.contains(name); }
  /// The shard if it is open, else null.
  [[nodiscard]] OpenShard* find(const std::string& name);
  /// Opens the shard. Null if too many are open, or if it is over the limit and has to be split first.
  OpenShard* open(const std::string& name);
  /// An open or known shard with room for so many bytes of the job, or a new one; null if too many are open.
  OpenShard* with_room(core::JobId job, std::size_t bytes);
  /// What the shard is to hold from now on: what its tombstones say is taken in.
  [[nodiscard]] ShardContents contents(core::ShardId shard) const;
  /// Is the shard within the limit on values?
  [[nodiscard]] bool fits(core::ShardId shard) const;
  /// Opens the known shard with the first of the contents, and a new shard with each of the others. Their
  /// sizes aren't counted: for a transaction that does nothing else.
  void replace(core::ShardId shard, std::vector<ShardContents> contents);
  /// Tasks of the job that the open shards say are done.
  [[nodiscard]] std::uint32_t done(core::JobId job) const;

  /// Adds the shards' writes, each on condition that nobody has written the shard since.
  void write_to(PlannedTransaction& transaction) const;

 private:
  [[nodiscard]] bool may_hold(const std::string& name, core::JobId job) const;
  [[nodiscard]] OpenShard* open_with_room(core::JobId job, std::size_t bytes);
  [[nodiscard]] std::string known_with_room(core::JobId job, std::size_t bytes) const;
  [[nodiscard]] std::string unused_name() const;

  const ControllerState& state_;
  core::PartitionId partition_;
  PlannedTombstones& tombstones_;
  std::size_t max_shards_, max_bytes_;
  std::map<std::string, OpenShard> shards_;  // by name
};

}  // namespace finchrun::assignments
