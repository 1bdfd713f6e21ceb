// The records of the key-value store, apart from jobs and what a shard holds of one job (jobs/job.hpp): each
// as a type, with the one place that writes its stored form and the one that reads it.
//
// The stored form is shared with other versions of the program, so it stays as it is, byte for byte. A
// `decode` throws std::exception on what makes no sense: the records are ours, so that is a bug or a newer
// version.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/resources.hpp"
#include "jobs/job.hpp"

namespace finchrun::state {

namespace json = boost::json;

// Levels: what a controller's build can do with the records, named in its member record. Builds from before
// this named nothing, which is level 0.

/// Services (`standing` in the records) are read as such.
inline constexpr std::uint64_t kStandingJobs = 1;
/// What is read of a shard does not depend on whether it or its partition's tombstones are read first.
inline constexpr std::uint64_t kTombstonesInAnyOrder = 2;
/// The level of this build.
inline constexpr std::uint64_t kRecordLevel = kTombstonesInAnyOrder;

/// `members/<label>`: a controller process that lives, as far as the key-value store knows. The key is
/// attached to the process's store lease.
struct Member {
  std::uint64_t incarnation = 0;  ///< of the process; no two processes share one
  std::uint64_t revision = 0;     ///< of the record
  std::uint64_t level = 0;        ///< what its build can do with the records
};
json::value encode(const Member& member);
Member decode_member(const json::value& stored, std::uint64_t revision);

/// `parts/<partition>`: who leads a partition. The record's revision is the leader's fencing token.
struct LeadershipRecord {
  std::string leader;  ///< label; empty: nobody yet
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< the fencing token
};
json::value encode(const LeadershipRecord& leadership);
LeadershipRecord decode_leadership(const json::value& stored, std::uint64_t revision);

/// `teams/<team>`: what the partitions' leaders have agreed on about the team's quota.
struct QuotaRecord {
  /// By partition: its share, and what it requests beyond that. Memory isn't limited. Empty: equal shares.
  std::vector<std::pair<core::Resources, core::Resources>> partitions;
  std::uint64_t revision = 0;
};
json::value encode(const QuotaRecord& quota, const jobs::Names& names);
/// For `partitions` partitions; those that the record doesn't name have neither a share nor a request.
QuotaRecord decode_quota(const json::value& stored, std::uint64_t revision, std::size_t partitions,
                         const jobs::Names& names);

/// `usage/<partition>`: what teams have used, for the fair shares of a later leader.
struct UsageRecord {
  std::int64_t index = 0;                   ///< number of the newest window
  std::deque<std::vector<double>> windows;  ///< newest first; core-seconds by team
  std::uint64_t revision = 0;
};
/// Whole core-seconds. The oldest windows, which count least, are left out if all of them take more than
/// `max_bytes`.
json::value encode(const UsageRecord& usage, std::size_t max_bytes);
UsageRecord decode_usage(const json::value& stored, std::uint64_t revision);

/// `fence/<partition>`: only its revision counts. It is written anew after a commit without an answer, so
/// that a late transaction, which compares with the old revision, fails.
json::value encode_fence(std::uint64_t newest_revision);

/// Says that an assignment is over, ahead of the shard which still names it: one small key takes them all,
/// where rewriting every shard that the end of a task touches spent the budget of writes. It goes only in the
/// transaction that writes its shard without the assignment, or the assignment would be back.
struct Tombstone {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  jobs::Intervals::Span done{0, 0};  ///< tasks that are done by it; empty: none
  bool operator==(const Tombstone&) const = default;
};
json::value to_json(const Tombstone& tombstone);

using JobTombstones = std::map<core::JobId, std::vector<Tombstone>>;
using ShardTombstones = std::map<std::string, JobTombstones>;  // by the shard's name

/// `ends/<partition>`: all tombstones of a partition's shards.
struct TombstoneList {
  std::uint64_t revision = 0;
  ShardTombstones shards;
  /// Those of one shard; nothing if it has none.
  [[nodiscard]] const JobTombstones& of(const std::string& shard) const;
};
json::value encode(const ShardTombstones& tombstones, const jobs::Names& names);
TombstoneList decode_tombstones(const json::value& stored, std::uint64_t revision, jobs::Names& names);

/// Takes the ended assignments out of the record and marks what is done. False if that changes nothing.
bool apply_tombstones(jobs::JobAssignments& run, const std::vector<Tombstone>& items);

/// `runs/<partition>/<shard>`: what one shard holds of each of its jobs. Jobs of which it holds nothing are
/// left out.
json::value encode_shard(const std::map<core::JobId, jobs::JobAssignments>& contents,
                         const jobs::Names& names);
/// In the order of the stored form.
std::vector<std::pair<core::JobId, jobs::JobAssignments>> decode_shard(const json::value& stored,
                                                                       jobs::Names& names);

}  // namespace finchrun::state
