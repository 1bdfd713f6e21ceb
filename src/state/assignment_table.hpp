// The assignments of the state cache: the shards of every partition, with its tombstones applied to them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/job.hpp"
#include "state/records.hpp"
#include "state/transaction.hpp"

namespace finchrun::state {

/// One shard of a partition's assignments: it holds those of many jobs under one key, so that a scheduling
/// round's changes cost the service few writes.
struct AssignmentShard {
  core::PartitionId partition;
  std::string name;
  std::uint64_t revision = 0;     ///< 0: not there (any more)
  std::vector<core::JobId> jobs;  ///< that it holds something of
  std::size_t bytes = 0;          ///< that it takes at most, once its tombstones are applied
  /// As stored, of those jobs of which it still names what the partition's tombstones say is over.
  std::map<core::JobId, jobs::JobAssignments> unreconciled;
  /// Its tombstones may not go before it has been written anew.
  [[nodiscard]] bool needs_tombstones() const { return !unreconciled.empty(); }
};

/// What one shard holds of a job, its tombstones applied.
struct ShardAssignments {
  core::PartitionId partition;
  core::ShardId shard;
  jobs::JobAssignments run;
};

/// An assignment, as found by its machine.
struct MachineAssignment {
  core::JobId job;
  core::PartitionId partition;
  jobs::TaskAssignment assignment;
};

/// All assignments, by job, by shard and by machine.
///
/// What it answers depends on the stored values alone, never on the order in which they were read. Tombstones
/// that were taken into a shard for good once counted tasks as done twice: a transaction that moved what is
/// done to another shard, and took the tombstones out of the list, was read shard first.
class AssignmentTable {
 public:
  AssignmentTable(jobs::Names& names, std::size_t partitions) : names_(names), tombstones_(partitions) {}

  /// Apply a change of a shard, or of a partition's list of tombstones; one that is not newer than what is
  /// known does nothing. They return the jobs whose assignments may have changed, and throw on a record that
  /// makes no sense, before anything has changed.
  std::vector<core::JobId> apply_shard(core::PartitionId partition, const std::string& name,
                                       const KeyUpdate& update);
  std::vector<core::JobId> apply_tombstones(core::PartitionId partition, const KeyUpdate& update);
  /// A record of the partition can't be read: what runs there is not known from now on.
  void mark_unreadable(core::PartitionId partition) { unreadable_partitions_.insert(partition); }
  void reset();

  [[nodiscard]] bool readable(core::PartitionId partition) const {
    return !unreadable_partitions_.contains(partition);
  }
  /// Moves with every change.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const AssignmentShard& shard(core::ShardId id) const { return shards_.at(id.index); }
  [[nodiscard]] std::optional<core::ShardId> find_shard(core::PartitionId partition,
                                                        const std::string& name) const;
  /// Shards of the partition that are there.
  [[nodiscard]] std::vector<core::ShardId> shards(core::PartitionId partition) const;
  [[nodiscard]] const TombstoneList& tombstones(core::PartitionId partition) const {
    return tombstones_.at(partition.index);
  }
  /// What all shards hold of a job.
  [[nodiscard]] const std::vector<ShardAssignments>& shard_assignments(core::JobId id) const;
  /// What the shard holds of the job; nothing if it holds none of it.
  [[nodiscard]] const jobs::JobAssignments* find(core::JobId id, core::ShardId shard) const;
  [[nodiscard]] bool has_assignment(core::JobId id, core::PartitionId partition, std::uint32_t task,
                                    std::uint64_t attempt) const;
  /// How many tasks of the job are recorded as done, and how many may be on a machine.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::uint32_t placed(core::JobId id) const;
  /// Jobs of which some shard holds something.
  [[nodiscard]] const std::set<core::JobId>& assigned_jobs() const { return assigned_jobs_; }
  /// Everything that may be on a machine, by machine. Machines of which no record names one are left out.
  [[nodiscard]] const std::unordered_map<core::MachineId, std::vector<MachineAssignment>>& by_machine()
      const {
    return by_machine_;
  }
  [[nodiscard]] const std::vector<MachineAssignment>& on_machine(core::MachineId id) const;

 private:
  struct JobEntry {
    std::uint32_t done = 0, placed = 0;
    std::vector<ShardAssignments> shard_assignments;
  };
  JobEntry& entry(core::JobId id);
  core::ShardId open_shard(core::PartitionId partition, const std::string& name);
  // Applies the shard's tombstones anew to those jobs for which they have changed; returns these jobs.
  std::vector<core::JobId> reapply_tombstones(core::ShardId shard, const JobTombstones& before,
                                              const JobTombstones& now);
  // Takes in what the shard holds of the job: what is stored, less what the tombstones say is over.
  void put(core::JobId id, core::ShardId shard, jobs::JobAssignments stored);
  // Replaces what the shard holds of the job; `next` has the tombstones applied.
  void replace(core::JobId id, core::ShardId shard, jobs::JobAssignments next);
  void remove_from_machines(core::JobId id, const ShardAssignments& removed);

  jobs::Names& names_;
  std::uint64_t version_ = 0;
  std::deque<JobEntry> entries_;  // by the job's dense id
  std::set<core::JobId> assigned_jobs_;
  std::deque<AssignmentShard> shards_;
  std::map<std::pair<core::PartitionId, std::string>, core::ShardId> shard_ids_;
  std::vector<TombstoneList> tombstones_;  // by partition
  std::set<core::PartitionId> unreadable_partitions_;
  std::unordered_map<core::MachineId, std::vector<MachineAssignment>> by_machine_;
};

}  // namespace finchrun::state
