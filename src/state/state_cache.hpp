// This controller's copy of everything in the key-value store, fed by its changes. It is the only source of
// decisions: what isn't in it (or in an answered commit of our own) is not durable.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.hpp"
#include "ledger/usage.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::state {

// What a controller's build can do with the records, said in its member record. Builds from before this said
// nothing, which is level 0.
inline constexpr std::uint64_t kStandingJobs = 1;
// What is read of a shard does not depend on whether it or its partition's ends are read first.
inline constexpr std::uint64_t kTombstonesInAnyOrder = 2;
inline constexpr std::uint64_t kRecordLevel = kTombstonesInAnyOrder;

struct Member {
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;
  std::uint64_t level = 0;
};
struct LeadershipRecord {
  std::string leader;  // label; empty: nobody yet
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  // the partition's term
};
// What the partitions' leaders have agreed on about a team's limit; empty lists: equal shares.
struct QuotaRecord {
  std::vector<std::pair<core::Resources, core::Resources>> partitions;  // by partition: share, wish
  std::uint64_t revision = 0;
};
struct UsageRecord {
  std::int64_t index = 0;
  std::deque<std::vector<double>> windows;
  std::uint64_t revision = 0;
};
// Run records of many jobs under one key, so that a round's changes cost the service few writes.
struct AssignmentShard {
  core::PartitionId partition;
  std::string name;
  std::uint64_t revision = 0;     // 0: not there (any more)
  std::vector<core::JobId> jobs;  // that it holds something of
  std::size_t bytes = 0;          // that it takes at most, as shown here
  // As stored, of those jobs of which it still names what the partition's ends say has ended.
  std::map<core::JobId, jobs::JobAssignments> unreconciled;
  // What is stored here is not what is shown: the partition's ends make the difference.
  [[nodiscard]] bool needs_tombstones() const { return !unreconciled.empty(); }
};
// What one shard holds of a job.
struct ShardAssignments {
  core::PartitionId partition;
  core::ShardId shard;
  jobs::JobAssignments run;
};
// Ends that are recorded ahead of the shard which still names the assignment: one small key takes them all,
// where rewriting every shard that an end touches spent the budget of changes. An item goes only in the
// transaction that writes its shard without the assignment, or the assignment would be back.
struct Tombstone {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  jobs::Intervals::Span done{0, 0};  // tasks that are done by it; empty: none
  bool operator==(const Tombstone&) const = default;
};
using JobTombstones = std::map<core::JobId, std::vector<Tombstone>>;
struct TombstoneList {
  std::uint64_t revision = 0;
  std::map<std::string, JobTombstones> shards;  // by the shard's name
  // Those of one shard; nothing if it has none.
  [[nodiscard]] const JobTombstones& of(const std::string& shard) const;
};
// Takes the ended assignments out of the record and marks what is done. False if it names none of them.
bool apply_tombstones(jobs::JobAssignments& run, const std::vector<Tombstone>& items);
json::value to_json(const Tombstone& e);
// An entry of some run record, as found by its machine.
struct MachineAssignment {
  core::JobId job;
  core::PartitionId partition;
  jobs::TaskAssignment assignment;
};

namespace keys {
std::string job(const std::string& id);
std::string shard(const std::string& partition, const std::string& name);
std::string partition(const std::string& partition);
std::string member(const std::string& label);
std::string team(const std::string& team);
std::string usage(const std::string& partition);
std::string fence(const std::string& partition);
std::string tombstones(const std::string& partition);
}  // namespace keys

class StateCache {
 public:
  StateCache(jobs::Names& names, std::size_t partitions, std::size_t teams)
      : names_(names),
        leadership_(partitions),
        teams_(teams),
        fences_(partitions, 0),
        usage_(partitions),
        tombstones_(partitions) {}

  // Applies one change. Older ones than what is known are passed over, so repeats do no harm.
  void apply(const KeyUpdate& e);
  void synchronized(std::uint64_t revision);
  // Starts again from nothing (the service no longer keeps the changes since our revision).
  void reset();

  [[nodiscard]] std::uint64_t revision() const { return epoch_; }
  // Highest revision seen in any answer: attempts numbered by it rise with every start.
  [[nodiscard]] std::uint64_t newest() const { return newest_; }

  // Moves with every change of a job or of what runs.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const jobs::JobRecord* job(core::JobId id) const;
  // A record of this job exists that this build can't read: the job is known, and nothing else about it.
  [[nodiscard]] bool unreadable(core::JobId id) const { return unreadable_.contains(id); }
  // Jobs that are accepted and not over.
  [[nodiscard]] const std::set<core::JobId>& live() const { return live_; }
  // Jobs that are cancelled and of which some task may still be on a machine.
  [[nodiscard]] const std::set<core::JobId>& cancelled_with_tasks() const { return cancelled_with_tasks_; }
  // Cancelled after that revision, as far as we know; nothing if too much of that is forgotten.
  [[nodiscard]] std::optional<std::vector<core::JobId>> cancelled_after(std::uint64_t revision) const;
  // Calls f(job, part, record) for each piece of all jobs.
  template <class F>
  void each_run(F&& f) const {
    for (const auto id : with_runs_)
      for (const auto& p : slots_[id.index].shard_assignments) f(id, p.partition, p.run);
  }
  // All pieces of a job.
  [[nodiscard]] const std::vector<ShardAssignments>& shard_assignments(core::JobId id) const;
  [[nodiscard]] const AssignmentShard& shard(core::ShardId id) const { return shards_.at(id.index); }
  [[nodiscard]] std::optional<core::ShardId> find_shard(core::PartitionId partition,
                                                        const std::string& name) const;
  // Shards of the partition that are there.
  [[nodiscard]] std::vector<core::ShardId> shards(core::PartitionId partition) const;
  // Recorded ahead of the partition's shards, which are shown here as if they had been written.
  [[nodiscard]] const TombstoneList& tombstones(core::PartitionId p) const { return tombstones_.at(p.index); }
  // What the shard holds of the job; nothing if it holds none of it.
  [[nodiscard]] const jobs::JobAssignments* run(core::JobId id, core::ShardId shard) const;
  [[nodiscard]] bool has_assignment(core::JobId id, core::PartitionId partition, std::uint32_t task,
                                    std::uint64_t attempt) const;
  // False once a record of the partition can't be read: what runs there is not known then.
  [[nodiscard]] bool readable(core::PartitionId partition) const {
    return !unreadable_partitions_.contains(partition);
  }
  // Done tasks of a job over all partitions; those of a standing job are never done.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::uint32_t placed(core::JobId id) const;
  // Everything that may be on the machine: a heartbeat or a round looks at one machine's assignments, never
  // at all records.
  [[nodiscard]] const std::vector<MachineAssignment>& on_machine(core::MachineId id) const;
  // Machines that some record names.
  template <class F>
  void each_named_machine(F&& f) const {
    for (const auto& [id, list] : on_machine_) f(id, list);
  }
  // Calls f(part, record) for each piece of the job.
  template <class F>
  void each_run(core::JobId id, F&& f) const {
    for (const auto& p : shard_assignments(id)) f(p.partition, p.run);
  }
  [[nodiscard]] const LeadershipRecord& leadership(core::PartitionId p) const {
    return leadership_.at(p.index);
  }
  [[nodiscard]] std::size_t partitions() const { return leadership_.size(); }
  [[nodiscard]] const Member* member(const std::string& label) const;
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }
  // What the newest member record of the label said, though the process may have ended since.
  [[nodiscard]] std::optional<std::uint64_t> last_level(const std::string& label) const;
  [[nodiscard]] const QuotaRecord& team(core::TeamId t) const { return teams_.at(t.index); }
  [[nodiscard]] std::uint64_t fence(core::PartitionId p) const { return fences_.at(p.index); }
  [[nodiscard]] const UsageRecord& usage(core::PartitionId p) const { return usage_.at(p.index); }

 private:
  void apply_shard(core::PartitionId partition, const std::string& name, const KeyUpdate& e);
  void apply_tombstone_list(core::PartitionId partition, const KeyUpdate& e);
  // Shows the shard anew where its ends have changed.
  void show_tombstones(core::ShardId shard, const JobTombstones& before, const JobTombstones& now);
  // Shows what the shard holds of the job: what is stored, less what the partition's ends say has ended.
  void show_assignments(core::JobId id, core::ShardId shard, jobs::JobAssignments stored);
  void update_cancelled_with_tasks(core::JobId id);
  // Replaces what the shard holds of the job.
  void replace_assignments(core::JobId id, core::ShardId shard, jobs::JobAssignments next);

  jobs::Names& names_;
  std::uint64_t epoch_ = 0, newest_ = 0, version_ = 0;
  // All that is known of one job, by its dense id.
  struct Slot {
    jobs::JobRecord job;
    bool known = false;  // there is a job record
    std::uint32_t done = 0, placed = 0;
    std::vector<ShardAssignments> shard_assignments;
  };
  Slot& slot(core::JobId id);
  std::deque<Slot> slots_;
  std::set<core::JobId> with_runs_;
  std::deque<AssignmentShard> shards_;
  std::map<std::pair<core::PartitionId, std::string>, core::ShardId> shard_ids_;
  std::set<core::PartitionId> unreadable_partitions_;
  std::set<core::JobId> live_;
  std::set<core::JobId> unreadable_;
  std::set<core::JobId> cancelled_with_tasks_;
  // The newest cancellations, and the revision up to which they are forgotten.
  std::set<std::pair<std::uint64_t, core::JobId>> cancelled_;
  std::uint64_t cancelled_from_ = 0;
  std::unordered_map<core::MachineId, std::vector<MachineAssignment>> on_machine_;
  std::unordered_map<std::string, Member> members_;
  std::unordered_map<std::string, std::uint64_t> last_levels_;  // by label
  std::vector<LeadershipRecord> leadership_;
  std::vector<QuotaRecord> teams_;
  std::vector<std::uint64_t> fences_;
  std::vector<UsageRecord> usage_;
  std::vector<TombstoneList> tombstones_;
  // Keys that we deleted before the changes told us so: an older value must not bring them back.
  std::unordered_map<std::string, std::uint64_t> deleted_;
};

}  // namespace finchrun::state
