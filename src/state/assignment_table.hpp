// Assignments of the state cache: the shards of every partition, with the partition's tombstones applied.
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

/// One shard of a partition's assignments. A shard stores the assignments of many jobs under one key, so
/// that the changes of a scheduling round cost the key-value store few writes.
struct AssignmentShard {
  core::PartitionId partition;
  std::string name;
  std::uint64_t revision = 0;     ///< 0: the key does not exist
  std::vector<core::JobId> jobs;  ///< with an entry in this shard, sorted
  std::size_t bytes = 0;          ///< upper bound of its stored size after tombstones are applied
  /// Stored entries that still name assignments that a tombstone has ended.
  std::map<core::JobId, jobs::JobAssignments> unreconciled;
  /// True while the shard has not been rewritten, so that its tombstones must be kept.
  [[nodiscard]] bool needs_tombstones() const { return !unreconciled.empty(); }
};

/// A job's entry in one shard, with tombstones applied.
struct ShardAssignments {
  core::PartitionId partition;
  core::ShardId shard;
  jobs::JobAssignments job_assignments;
};

/// An assignment in the index by machine.
struct MachineAssignment {
  core::JobId job;
  core::PartitionId partition;
  jobs::TaskAssignment assignment;
};

/// All assignments, indexed by job, by shard and by machine.
///
/// The contents depend on the stored values alone, not on the order in which they are read. If tombstones
/// changed a shard permanently, a task could count as done twice: a transaction that moves done tasks to
/// another shard and removes their tombstones may be read shard first.
class AssignmentTable {
 public:
  AssignmentTable(jobs::Names& names, std::size_t partitions) : names_(names), tombstones_(partitions) {}

  /// Both apply a change of a shard or of a partition's tombstone list, and ignore a change that is not
  /// newer than the known one. They return the jobs whose assignments may have changed. They throw on a
  /// malformed record, before anything has changed.
  std::vector<core::JobId> apply_shard(core::PartitionId partition, const std::string& name,
                                       const KeyUpdate& update);
  std::vector<core::JobId> apply_tombstones(core::PartitionId partition, const KeyUpdate& update);
  /// Marks a partition with a record that can't be read: what runs there is unknown from now on.
  void mark_unreadable(core::PartitionId partition) { unreadable_partitions_.insert(partition); }
  void reset();

  [[nodiscard]] bool is_readable(core::PartitionId partition) const {
    return !unreadable_partitions_.contains(partition);
  }
  /// Increases with every change.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const AssignmentShard& shard(core::ShardId id) const { return shards_.at(id.index); }
  [[nodiscard]] std::optional<core::ShardId> find_shard(core::PartitionId partition,
                                                        const std::string& name) const;
  /// Shards of the partition whose keys exist.
  [[nodiscard]] std::vector<core::ShardId> shards(core::PartitionId partition) const;
  [[nodiscard]] const TombstoneList& tombstones(core::PartitionId partition) const {
    return tombstones_.at(partition.index);
  }
  /// The job's entries in all shards.
  [[nodiscard]] const std::vector<ShardAssignments>& shard_assignments(core::JobId id) const;
  /// The job's entry in the shard, null if there is none.
  [[nodiscard]] const jobs::JobAssignments* find(core::JobId id, core::ShardId shard) const;
  [[nodiscard]] bool has_assignment(core::JobId id, core::PartitionId partition, std::uint32_t task,
                                    std::uint64_t attempt) const;
  /// Number of the job's tasks that are recorded as done.
  [[nodiscard]] std::uint32_t done_tasks(core::JobId id) const;
  /// Number of the job's tasks that may be on a machine.
  [[nodiscard]] std::uint32_t placed_tasks(core::JobId id) const;
  /// Jobs with an entry in some shard.
  [[nodiscard]] const std::set<core::JobId>& assigned_jobs() const { return assigned_jobs_; }
  /// All assignments, by machine. Machines without assignments are left out.
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
  JobEntry& job_entry(core::JobId id);
  core::ShardId find_or_create_shard(core::PartitionId partition, const std::string& name);
  // Reapplies the shard's tombstones to the jobs whose tombstones have changed, and returns these jobs.
  std::vector<core::JobId> reapply_tombstones(core::ShardId shard, const JobTombstones& before,
                                              const JobTombstones& after);
  // Replaces the job's entry in the shard with a stored one, to which it applies the tombstones.
  void store_entry(core::JobId id, core::ShardId shard, jobs::JobAssignments stored);
  // Replaces the job's entry in the shard; `next` has the tombstones applied.
  void replace_entry(core::JobId id, core::ShardId shard, jobs::JobAssignments next);
  void remove_from_machines(core::JobId id, const ShardAssignments& removed);

  jobs::Names& names_;
  std::uint64_t version_ = 0;
  std::deque<JobEntry> entries_;  // by job index
  std::set<core::JobId> assigned_jobs_;
  std::deque<AssignmentShard> shards_;
  std::map<std::pair<core::PartitionId, std::string>, core::ShardId> shard_ids_;
  std::vector<TombstoneList> tombstones_;  // by partition
  std::set<core::PartitionId> unreadable_partitions_;
  std::unordered_map<core::MachineId, std::vector<MachineAssignment>> by_machine_;
};

}  // namespace finchrun::state
