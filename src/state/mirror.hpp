// This controller's copy of everything in the state service, fed by its changes. It is the only source of
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
#include "state/store.hpp"

namespace finchrun::state {

// What a controller's build can do with the records, said in its member record. Builds from before this said
// nothing, which is level 0.
inline constexpr std::uint64_t kStandingJobs = 1;
// What is read of a shard does not depend on whether it or its part's ends are read first.
inline constexpr std::uint64_t kEndsInAnyOrder = 2;
inline constexpr std::uint64_t kRecordLevel = kEndsInAnyOrder;

struct Member {
  std::uint64_t incarnation = 0;
  std::uint64_t stamp = 0;
  std::uint64_t level = 0;
};
struct Claim {
  std::string owner;  // label; empty: nobody yet
  std::uint64_t incarnation = 0;
  std::uint64_t stamp = 0;  // the part's term
};
// What the parts' owners have agreed on about a team's limit; empty lists: equal shares.
struct TeamRecord {
  std::vector<std::pair<core::Resources, core::Resources>> parts;  // by part: share, wish
  std::uint64_t stamp = 0;
};
struct UsageRecord {
  std::int64_t index = 0;
  std::deque<std::vector<double>> windows;
  std::uint64_t stamp = 0;
};
// Run records of many jobs under one key, so that a round's changes cost the service few writes.
struct Shard {
  core::PartId part;
  std::string name;
  std::uint64_t stamp = 0;        // 0: not there (any more)
  std::vector<core::JobId> jobs;  // that it holds something of
  std::size_t bytes = 0;          // that it takes at most, as shown here
  // As stored, of those jobs of which it still names what the part's ends say has ended.
  std::map<core::JobId, jobs::RunRecord> unsettled;
  // What is stored here is not what is shown: the part's ends make the difference.
  [[nodiscard]] bool needs_ends() const { return !unsettled.empty(); }
};
// What one shard holds of a job.
struct Piece {
  core::PartId part;
  core::ShardId shard;
  jobs::RunRecord run;
};
// Ends that are recorded ahead of the shard which still names the entry: one small key takes them all, where
// rewriting every shard that an end touches spent the budget of changes. An item goes only in the transaction
// that writes its shard without the entry, or the entry would be back.
struct Ended {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  jobs::Intervals::Span done{0, 0};  // tasks that are done by it; empty: none
  bool operator==(const Ended&) const = default;
};
using EndedOfJobs = std::map<core::JobId, std::vector<Ended>>;
struct Ends {
  std::uint64_t stamp = 0;
  std::map<std::string, EndedOfJobs> shards;  // by the shard's name
  // Those of one shard; nothing if it has none.
  [[nodiscard]] const EndedOfJobs& of(const std::string& shard) const;
};
// Takes the ended entries out of the record and marks what is done. False if it names none of them.
bool settle(jobs::RunRecord& run, const std::vector<Ended>& items);
json::value to_json(const Ended& e);
// An entry of some run record, as found by its machine.
struct Placed {
  core::JobId job;
  core::PartId part;
  jobs::Entry entry;
};

namespace keys {
std::string job(const std::string& id);
std::string shard(const std::string& part, const std::string& name);
std::string part(const std::string& part);
std::string member(const std::string& label);
std::string team(const std::string& team);
std::string usage(const std::string& part);
std::string fence(const std::string& part);
std::string ends(const std::string& part);
}  // namespace keys

class Mirror {
 public:
  Mirror(jobs::Names& names, std::size_t parts, std::size_t teams)
      : names_(names), claims_(parts), teams_(teams), fences_(parts, 0), usage_(parts), ends_(parts) {}

  // Applies one change. Older ones than what is known are passed over, so repeats do no harm.
  void apply(const Event& e);
  void synced(std::uint64_t epoch);
  // Starts again from nothing (the service no longer keeps the changes since our epoch).
  void reset();

  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  // Highest epoch seen in any answer: attempts numbered by it rise with every start.
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
  // Cancelled after that epoch, as far as we know; nothing if too much of that is forgotten.
  [[nodiscard]] std::optional<std::vector<core::JobId>> cancelled_after(std::uint64_t epoch) const;
  // Calls f(job, part, record) for each piece of all jobs.
  template <class F>
  void each_run(F&& f) const {
    for (const auto id : with_runs_)
      for (const auto& p : slots_[id.v].pieces) f(id, p.part, p.run);
  }
  // All pieces of a job.
  [[nodiscard]] const std::vector<Piece>& pieces(core::JobId id) const;
  [[nodiscard]] const Shard& shard(core::ShardId id) const { return shards_.at(id.v); }
  [[nodiscard]] std::optional<core::ShardId> find_shard(core::PartId part, const std::string& name) const;
  // Shards of the part that are there.
  [[nodiscard]] std::vector<core::ShardId> shards(core::PartId part) const;
  // Recorded ahead of the part's shards, which are shown here as if they had been written.
  [[nodiscard]] const Ends& ends(core::PartId p) const { return ends_.at(p.v); }
  // What the shard holds of the job; nothing if it holds none of it.
  [[nodiscard]] const jobs::RunRecord* run(core::JobId id, core::ShardId shard) const;
  [[nodiscard]] bool has_entry(core::JobId id, core::PartId part, std::uint32_t task,
                               std::uint64_t attempt) const;
  // False once a record of the part can't be read: what runs there is not known then.
  [[nodiscard]] bool readable(core::PartId part) const { return !unreadable_parts_.contains(part); }
  // Done tasks of a job over all parts; those of a standing job are never done.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::uint32_t placed(core::JobId id) const;
  // Everything that may be on the machine: a report or a round looks at one machine's entries, never at all
  // records.
  [[nodiscard]] const std::vector<Placed>& on_machine(core::MachineId id) const;
  // Machines that some record names.
  template <class F>
  void each_named_machine(F&& f) const {
    for (const auto& [id, list] : on_machine_) f(id, list);
  }
  // Calls f(part, record) for each piece of the job.
  template <class F>
  void each_run(core::JobId id, F&& f) const {
    for (const auto& p : pieces(id)) f(p.part, p.run);
  }
  [[nodiscard]] const Claim& claim(core::PartId p) const { return claims_.at(p.v); }
  [[nodiscard]] std::size_t parts() const { return claims_.size(); }
  [[nodiscard]] const Member* member(const std::string& label) const;
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }
  // What the newest member record of the label said, though the process may have ended since.
  [[nodiscard]] std::optional<std::uint64_t> last_level(const std::string& label) const;
  [[nodiscard]] const TeamRecord& team(core::TeamId t) const { return teams_.at(t.v); }
  [[nodiscard]] std::uint64_t fence(core::PartId p) const { return fences_.at(p.v); }
  [[nodiscard]] const UsageRecord& usage(core::PartId p) const { return usage_.at(p.v); }

 private:
  void apply_shard(core::PartId part, const std::string& name, const Event& e);
  void apply_ends(core::PartId part, const Event& e);
  // Shows the shard anew where its ends have changed.
  void show_ends(core::ShardId shard, const EndedOfJobs& before, const EndedOfJobs& now);
  // Shows what the shard holds of the job: what is stored, less what the part's ends say has ended.
  void show_piece(core::JobId id, core::ShardId shard, jobs::RunRecord stored);
  void update_cancelled_with_tasks(core::JobId id);
  // Replaces what the shard holds of the job.
  void put_piece(core::JobId id, core::ShardId shard, jobs::RunRecord next);

  jobs::Names& names_;
  std::uint64_t epoch_ = 0, newest_ = 0, version_ = 0;
  // All that is known of one job, by its dense id.
  struct Slot {
    jobs::JobRecord job;
    bool known = false;  // there is a job record
    std::uint32_t done = 0, placed = 0;
    std::vector<Piece> pieces;
  };
  Slot& slot(core::JobId id);
  std::deque<Slot> slots_;
  std::set<core::JobId> with_runs_;
  std::deque<Shard> shards_;
  std::map<std::pair<core::PartId, std::string>, core::ShardId> shard_ids_;
  std::set<core::PartId> unreadable_parts_;
  std::set<core::JobId> live_;
  std::set<core::JobId> unreadable_;
  std::set<core::JobId> cancelled_with_tasks_;
  // The newest cancellations, and the epoch up to which they are forgotten.
  std::set<std::pair<std::uint64_t, core::JobId>> cancelled_;
  std::uint64_t cancelled_from_ = 0;
  std::unordered_map<core::MachineId, std::vector<Placed>> on_machine_;
  std::unordered_map<std::string, Member> members_;
  std::unordered_map<std::string, std::uint64_t> last_levels_;  // by label
  std::vector<Claim> claims_;
  std::vector<TeamRecord> teams_;
  std::vector<std::uint64_t> fences_;
  std::vector<UsageRecord> usage_;
  std::vector<Ends> ends_;
  // Keys that we deleted before the changes told us so: an older value must not bring them back.
  std::unordered_map<std::string, std::uint64_t> deleted_;
};

}  // namespace finchrun::state
