// The tombstone list of one partition, as a transaction in the making will leave it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "assignments/planned_transaction.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::assignments {

using controller::ControllerState;

/// What the records are to say of an exit: the attempt is over, and, where that completes tasks, which. A
/// gang completes as a whole; a service's tasks are never done. `job` may be unknown (null).
state::Tombstone tombstone_of(const agent::ObservedExit& exit, const jobs::JobRecord* job);

/// Exits that are recorded ahead of the shards that still name their assignments.
///
/// Invariant: a tombstone leaves the list only in the transaction that writes its shard without the
/// assignment, or once the stored shard says the same without it. Else the assignment would be back, and the
/// task would run a second time (ran_twice).
class PlannedTombstones {
 public:
  /// Starts from the stored list, less what its shards don't need any more.
  PlannedTombstones(const ControllerState& state, core::PartitionId partition);

  /// The stored list, written under larger limits, is over the limit on values. It stays as it is until every
  /// shard that it speaks of is written without what has ended; until then exits go into their shards.
  [[nodiscard]] bool too_long() const { return too_long_; }
  /// The list differs from the stored one, so the transaction writes it.
  [[nodiscard]] bool changed() const { return changed_; }
  /// Bytes that the list takes at most.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] const std::map<std::string, state::JobTombstones>& shards() const { return shards_; }
  /// Tombstones that are noted for the shard.
  [[nodiscard]] std::size_t count(const std::string& shard) const;
  /// The shard with most tombstones: rewriting it shortens the list most. Nothing if there are none.
  [[nodiscard]] std::optional<std::string> longest() const;
  /// Takes what the shard's tombstones say of the job into what the shard holds of it.
  void apply_to(const std::string& shard, core::JobId job, jobs::JobAssignments& held) const;

  /// Is one tombstone more within the limit on values?
  [[nodiscard]] bool has_room(const std::string& shard, core::JobId job, const state::Tombstone& item) const;
  /// Notes the tombstone; only for a list that is not too long and has room for it.
  void add(const std::string& shard, core::JobId job, const state::Tombstone& item);
  /// Forgets the shard's tombstones: only together with a write of the shard that has taken them in.
  void drop(const std::string& shard);

  /// Adds the list's write, if it has changed, on condition that nobody else has written it since: a late
  /// write must not undo a later one.
  void write_to(PlannedTransaction& transaction) const;

 private:
  [[nodiscard]] std::size_t job_bytes(core::JobId job, const std::vector<state::Tombstone>& items) const;

  const ControllerState& state_;
  core::PartitionId partition_;
  std::size_t max_bytes_;
  std::map<std::string, state::JobTombstones> shards_;  // by the shard's name
  std::size_t bytes_ = 0;
  bool too_long_ = false;
  bool changed_ = false;
};

}  // namespace finchrun::assignments
