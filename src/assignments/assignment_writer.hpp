// Plans changes to one partition's records, so that the changes of several jobs need few keys of one
// transaction.
#pragma once

#include <string>
#include <vector>

#include "assignments/open_shards.hpp"
#include "assignments/planned_tombstones.hpp"
#include "assignments/planned_transaction.hpp"
#include "assignments/shard_shrinker.hpp"

namespace finchrun::assignments {

/// Plans one transaction on the assignment shards and the tombstone list of a partition, from a snapshot that
/// must not change meanwhile. The rules ran_twice and forgotten depend on these invariants:
///
/// - Write-ahead: an assignment is in the store before its start command is sent. Planned changes take effect
///   only once the transaction is durable.
/// - A tombstone leaves the list only in the transaction that writes its shard without the assignment.
/// - Each assignment and each done task is in exactly one shard, before and after every transaction.
class AssignmentWriter {
 public:
  AssignmentWriter(const ControllerState& state, core::PartitionId partition)
      : AssignmentWriter(state, partition, state.settings.store_limits.max_writes()) {}
  /// `max_writes`: the number of writes in the transaction that the writer may use.
  AssignmentWriter(const ControllerState& state, core::PartitionId partition, std::size_t max_writes);
  // Not copyable: the members refer to each other.
  AssignmentWriter(const AssignmentWriter&) = delete;
  AssignmentWriter& operator=(const AssignmentWriter&) = delete;

  /// Adds the assignments to shards that have room. Returns false, and changes nothing, if the transaction
  /// would exceed a limit of the store. `others`: the cost of what the transaction contains beside this
  /// writer's changes.
  bool add(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments,
           const state::TransactionCost& others = {});
  /// Returns the number of assignments of one job that always fit into a transaction of their own.
  static std::size_t max_assignments(const config::StoreLimits& limits);
  /// Plans one step of ShardShrinker. The writer must not plan anything else.
  bool shrink();
  /// Returns true if the shard is within the value limit.
  [[nodiscard]] bool is_within_limit(core::ShardId shard) const { return shards_.is_within_limit(shard); }
  /// Returns true if the stored tombstone list is over the value limit.
  [[nodiscard]] bool tombstones_exceed_limit() const { return tombstones_.exceeds_limit(); }
  /// Removes the exit's assignment from the records and marks completed tasks as done: in the shard if this
  /// transaction writes it anyway, otherwise in the tombstone list. Idempotent. Returns false if this
  /// transaction has no room for the exit.
  bool record_exit(const agent::ObservedExit& exit);
  /// Returns the number of done tasks of the job in all partitions, including those that this writer has
  /// marked.
  [[nodiscard]] std::uint32_t done_tasks(core::JobId job) const;
  /// Returns the number of keys that the transaction writes.
  [[nodiscard]] std::size_t written_key_count() const {
    return shards_.size() + (tombstones_.changed() ? 1 : 0);
  }
  /// The planned changes so far.
  struct Savepoint {
    PlannedTombstones::Savepoint tombstones;
    OpenShards::Savepoint shards;
  };
  [[nodiscard]] Savepoint savepoint() const { return {tombstones_.savepoint(), shards_.savepoint()}; }
  /// Undoes all changes since the savepoint.
  void restore(Savepoint savepoint);
  /// Returns an upper bound of what `write_to` adds; nothing if no key is written.
  [[nodiscard]] state::TransactionCost cost() const;
  /// Adds the writes, and the compares that make the transaction of a late or deposed leader fail: the
  /// fencing token, the fence, and the revision of each written key. Adds nothing if no key is written.
  void write_to(PlannedTransaction& transaction) const;

 private:
  bool add_to_shards(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments);
  bool add_tombstone(const std::string& shard, core::JobId job, const state::Tombstone& tombstone);

  const ControllerState& state_;
  core::PartitionId partition_;
  state::TransactionLimits limits_;
  std::size_t max_writes_, max_bytes_;
  PlannedTombstones tombstones_;  // of shards that are not open
  OpenShards shards_;
};

}  // namespace finchrun::assignments
