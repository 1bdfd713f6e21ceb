// The tombstone list of one partition, as a planned transaction will leave it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "assignments/planned_transaction.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::assignments {

using controller::ControllerState;

/// Returns the tombstone of an exit: the attempt that has ended, and the tasks that are done by it. A gang
/// completes as a whole; the tasks of a service are never done. `job` is null if it is unknown.
state::Tombstone tombstone_of(const agent::ObservedExit& exit, const jobs::JobRecord* job);

/// Exits that are recorded before the shards that still contain their assignments are rewritten.
///
/// Invariant: a tombstone leaves the list only in the transaction that writes its shard without the
/// assignment, or once the stored shard no longer has the assignment. Otherwise the assignment would
/// reappear, and the task would run a second time (ran_twice).
class PlannedTombstones {
 public:
  /// Starts from the stored list, without the tombstones that their shards no longer need.
  PlannedTombstones(const ControllerState& state, core::PartitionId partition);

  /// Returns true if the stored list, written under larger limits, is over the value limit. The list then
  /// stays unchanged until every shard that it names is written without the ended assignments; until then
  /// exits go into their shards.
  [[nodiscard]] bool exceeds_limit() const { return exceeds_limit_; }
  /// Returns true if the list differs from the stored one, so that the transaction writes it.
  [[nodiscard]] bool changed() const { return changed_; }
  /// Returns an upper bound of the list's stored size.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] const std::map<std::string, state::JobTombstones>& shards() const { return shards_; }
  /// Returns the number of tombstones of the shard.
  [[nodiscard]] std::size_t count(const std::string& shard) const;
  /// Returns the shard whose rewrite shortens the list most, or nullopt if there are no tombstones.
  [[nodiscard]] std::optional<std::string> shard_with_most_tombstones() const;
  /// Applies the shard's tombstones of the job to the assignments that the shard holds of it.
  void apply_to(const std::string& shard, core::JobId job, jobs::JobAssignments& recorded) const;

  /// Returns true if the list stays within the value limit when the tombstone is added.
  [[nodiscard]] bool has_room(const std::string& shard, core::JobId job,
                              const state::Tombstone& tombstone) const;
  /// Adds the tombstone. Requires that the list is within the limit and has room for it.
  void add(const std::string& shard, core::JobId job, const state::Tombstone& tombstone);
  /// Removes the shard's tombstones. Only valid together with a write of the shard with them applied.
  void drop(const std::string& shard);

  /// The changes of the list so far.
  struct Savepoint {
    std::map<std::string, state::JobTombstones> shards;
    std::size_t bytes = 0;
    bool changed = false;
  };
  [[nodiscard]] Savepoint savepoint() const { return {shards_, bytes_, changed_}; }
  /// Undoes all changes since the savepoint.
  void restore(Savepoint savepoint);

  /// Returns an upper bound of what `write_to` adds.
  [[nodiscard]] state::TransactionCost cost() const;
  /// Adds the write of the list if it has changed, on condition that the list has not been written since: a
  /// late write must not undo a later one.
  void write_to(PlannedTransaction& transaction) const;

 private:
  [[nodiscard]] std::size_t job_entry_bytes(core::JobId job,
                                            const std::vector<state::Tombstone>& tombstones) const;
  [[nodiscard]] std::string key() const;

  const ControllerState& state_;
  core::PartitionId partition_;
  std::size_t max_bytes_;
  std::map<std::string, state::JobTombstones> shards_;  // by shard name
  std::size_t bytes_ = 0;
  bool exceeds_limit_ = false;
  bool changed_ = false;
};

}  // namespace finchrun::assignments
