// Changes of this controller's records: what several jobs need goes into few keys of one transaction.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/fleet.hpp"
#include "assignments/shard_split.hpp"
#include "controller/controller_state.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

using controller::ControllerState;

// One transaction, and what follows once it is durable.
struct PlannedTransaction {
  std::vector<state::Compare> compares;
  std::vector<state::Write> writes;
  std::vector<std::string> log;                                       // told then
  std::map<core::MachineId, std::vector<agent::TaskAttempt>> starts;  // that may leave then

  void require(const std::string& key, std::uint64_t revision);  // once for each key
};

// The shards of one partition, as they shall be. Jobs that are over and have nothing on any machine are left
// out of every shard that is written anyway.
class AssignmentWriter {
 public:
  AssignmentWriter(const ControllerState& w, core::PartitionId partition)
      : AssignmentWriter(w, partition, w.settings.state_limits.max_writes()) {}
  // `most_changes`: so many of its transaction's changes the writer may use.
  AssignmentWriter(const ControllerState& w, core::PartitionId partition, std::size_t max_writes);

  // Puts the assignments where they fit. False, with nothing changed, if that would touch too many shards.
  bool add(core::JobId id, const std::vector<jobs::TaskAssignment>& assignments);
  // So many assignments of one job always fit into a transaction that holds nothing else.
  static std::size_t most_assignments(const config::StateLimits& limits);
  // One step towards values within the limits, for what was written under larger ones: one shard is split, or
  // those are rewritten that a too long list of ends speaks of. For a writer that does nothing else. False if
  // there is nothing to do, or nothing that fits into one transaction.
  bool shrink();
  // Is the shard within the limit on values?
  [[nodiscard]] bool fits(core::ShardId shard) const;
  [[nodiscard]] bool tombstones_too_long() const { return tombstones_too_long_; }
  // Removes the fact's entry and marks what is done: in its shard if that is written anyway, else ahead of it
  // among the partition's ends. False if there is no room for it in this transaction.
  bool apply_tombstones(const agent::ObservedExit& f);
  // Done tasks of the job over all partitions, with what this writer has marked.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::size_t touched() const { return open_.size() + (tombstones_changed_ ? 1 : 0); }
  // Adds the shards' changes and the conditions that make a late or deposed writer's fail.
  void finish(PlannedTransaction& e) const;

 private:
  struct Open {
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
    ShardContents jobs;
  };
  // Nothing if too many are open, or if it is over the limit and has to be split first.
  Open* open(const std::string& name);
  // What the shard shall hold from now on: what this writer's ends say of it is taken in.
  [[nodiscard]] ShardContents contents(core::ShardId shard) const;
  void drop_tombstones(const std::string& shard);
  // How many ends are noted for the shard.
  [[nodiscard]] std::size_t tombstones_of(const std::string& shard) const;
  // Spreads the shard's contents over itself and new ones.
  bool split(const std::string& name);
  [[nodiscard]] bool may_hold(const std::string& shard, core::JobId id) const;
  [[nodiscard]] std::string unused_name() const;
  // Puts it among the partition's ends; rewrites the shard that they say most of when they have grown too
  // long.
  bool add_tombstone(const std::string& shard, core::JobId id, const state::Tombstone& item);
  // The open or known shard with room for so much; a new one if there is none.
  Open* with_room(core::JobId id, std::size_t bytes);

  const ControllerState& w_;
  core::PartitionId partition_;
  std::size_t max_writes_, max_shards_, max_bytes_;
  std::map<std::string, Open> open_;
  std::map<std::string, state::JobTombstones> tombstones_;  // of shards that aren't open
  std::size_t tombstone_bytes_ = 0;
  // Written under larger limits: the ends stay as they are until every shard that they speak of is written
  // without what has ended. Until then ends go into their shards.
  bool tombstones_too_long_ = false;
  bool tombstones_changed_ = false;
};

jobs::JobRecord finished(const jobs::JobRecord& job);

}  // namespace finchrun::assignments
