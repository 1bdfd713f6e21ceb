// Changes of one partition's records: what several jobs need goes into few keys of one transaction.
#pragma once

#include <string>
#include <vector>

#include "assignments/open_shards.hpp"
#include "assignments/planned_tombstones.hpp"
#include "assignments/planned_transaction.hpp"
#include "assignments/shard_shrinker.hpp"

namespace finchrun::assignments {

/// Plans one transaction on the assignment shards and the tombstone list of a partition, from a snapshot that
/// must not change while it is used. Invariants, which the rules ran_twice and forgotten rest on:
///
/// - Write-ahead: an assignment stands in the store before its start command leaves. What this plans counts
///   once the transaction is durable, never before.
/// - An exit leaves the tombstone list only in the transaction that writes its shard without the assignment.
/// - Each assignment and each done task stands in exactly one shard, before and after every transaction.
class AssignmentWriter {
 public:
  AssignmentWriter(const ControllerState& state, core::PartitionId partition)
      : AssignmentWriter(state, partition, state.settings.store_limits.max_writes()) {}
  /// `max_writes`: so many writes of its transaction the writer may use.
  AssignmentWriter(const ControllerState& state, core::PartitionId partition, std::size_t max_writes);
  // Its parts refer to each other.
  AssignmentWriter(const AssignmentWriter&) = delete;
  AssignmentWriter& operator=(const AssignmentWriter&) = delete;

  /// Puts the assignments where they fit. False, with none of them put anywhere, if that would touch too many
  /// shards.
  bool add(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments);
  /// So many assignments of one job always fit into a transaction that holds nothing else.
  static std::size_t most_assignments(const config::StoreLimits& limits);
  /// One step towards values within the limits, see ShardShrinker; for a writer that does nothing else.
  bool shrink();
  /// Is the shard within the limit on values?
  [[nodiscard]] bool fits(core::ShardId shard) const { return shards_.fits(shard); }
  /// The stored tombstone list is over the limit on values.
  [[nodiscard]] bool tombstones_too_long() const { return tombstones_.too_long(); }
  /// Takes the exit's assignment out of the records and marks what is done: in its shard if that is written
  /// anyway, else ahead of it in the tombstone list. Idempotent. False if there is no room for it in this
  /// transaction.
  bool record_exit(const agent::ObservedExit& exit);
  /// Done tasks of the job over all partitions, with what this writer has marked.
  [[nodiscard]] std::uint32_t done(core::JobId job) const;
  /// Keys that the transaction writes.
  [[nodiscard]] std::size_t touched() const { return shards_.size() + (tombstones_.changed() ? 1 : 0); }
  /// Adds the writes and the compares that make a late or deposed leader's transaction fail: the fencing
  /// token, the fence, and each written key's revision.
  void finish(PlannedTransaction& transaction) const;

 private:
  bool add_tombstone(const std::string& shard, core::JobId job, const state::Tombstone& item);

  const ControllerState& state_;
  core::PartitionId partition_;
  std::size_t max_writes_, max_bytes_;
  PlannedTombstones tombstones_;  // of shards that aren't open
  OpenShards shards_;
};

}  // namespace finchrun::assignments
