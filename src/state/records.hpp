// The records of the key-value store, except jobs and a shard's entries (jobs/job.hpp). One function for
// each type writes the stored form, and one reads it.
//
// Other versions of the program share the stored form, so no byte of it may change. A `decode` function
// throws std::exception on a malformed record, which means a bug or a newer version.
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

// A record level tells which record features a controller's build supports. Member records without a level
// were written by builds that predate levels, and have level 0.

/// From this level on, builds read services (`standing` in the records).
inline constexpr std::uint64_t kServicesLevel = 1;
/// From this level on, builds read the same contents whether a shard or its partition's tombstones are read
/// first.
inline constexpr std::uint64_t kUnorderedTombstonesLevel = 2;
/// The level of this build.
inline constexpr std::uint64_t kRecordLevel = kUnorderedTombstonesLevel;

/// `members/<label>`: a running controller process, as far as the key-value store knows. The key is attached
/// to the process's store lease.
struct Member {
  std::uint64_t incarnation = 0;   ///< of the process; unique
  std::uint64_t revision = 0;      ///< of the record
  std::uint64_t record_level = 0;  ///< record level of its build
};
json::value encode(const Member& member);
Member decode_member(const json::value& stored, std::uint64_t revision);

/// `parts/<partition>`: the leader of a partition. The record's revision is the leader's fencing token.
struct LeadershipRecord {
  std::string leader;             ///< label; empty: no leader yet
  std::uint64_t incarnation = 0;  ///< of the leader's process
  std::uint64_t revision = 0;     ///< the fencing token
};
json::value encode(const LeadershipRecord& leadership);
LeadershipRecord decode_leadership(const json::value& stored, std::uint64_t revision);

/// `teams/<team>`: how the leaders of the partitions have divided the team's quota.
struct QuotaRecord {
  /// By partition: its share, and its request beyond that. Memory is not limited. Empty: equal shares.
  std::vector<std::pair<core::Resources, core::Resources>> partitions;
  std::uint64_t revision = 0;
};
json::value encode(const QuotaRecord& quota, const jobs::Names& names);
/// For `partitions` partitions; one that the record does not name has neither a share nor a request.
QuotaRecord decode_quota(const json::value& stored, std::uint64_t revision, std::size_t partitions,
                         const jobs::Names& names);

/// `usage/<partition>`: resource usage by team, from which a later leader computes fair shares.
struct UsageRecord {
  std::int64_t index = 0;                   ///< number of the newest window
  std::deque<std::vector<double>> windows;  ///< newest first; core-seconds by team
  std::uint64_t revision = 0;
};
/// Writes whole core-seconds. Leaves out the oldest windows, which count least, if the record would exceed
/// `max_bytes`.
json::value encode(const UsageRecord& usage, std::size_t max_bytes);
UsageRecord decode_usage(const json::value& stored, std::uint64_t revision);

/// `fence/<partition>`: only the revision matters. It is rewritten after a commit without an answer, so that
/// a late transaction, which compares with the old revision, fails.
json::value encode_fence(std::uint64_t newest_revision);

/// Marks an assignment as ended before its shard is rewritten. The tombstones of a partition share one small
/// key: rewriting every shard in which a task ends used up the write budget. A tombstone is removed only in
/// the transaction that rewrites its shard without the assignment; otherwise the assignment would reappear.
struct Tombstone {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  jobs::Intervals::Span done{0, 0};  ///< tasks that become done; may be empty
  bool operator==(const Tombstone&) const = default;
};
json::value to_json(const Tombstone& tombstone);

using JobTombstones = std::map<core::JobId, std::vector<Tombstone>>;
using ShardTombstones = std::map<std::string, JobTombstones>;  // by the shard's name

/// `ends/<partition>`: all tombstones of a partition's shards.
struct TombstoneList {
  std::uint64_t revision = 0;
  ShardTombstones shards;
  /// Tombstones of one shard, empty if there are none.
  [[nodiscard]] const JobTombstones& of(const std::string& shard) const;
};
json::value encode(const ShardTombstones& tombstones, const jobs::Names& names);
TombstoneList decode_tombstones(const json::value& stored, std::uint64_t revision, jobs::Names& names);

/// Removes the ended assignments and marks their tasks as done. Returns true if anything changed.
bool apply_tombstones(jobs::JobAssignments& job_assignments, const std::vector<Tombstone>& items);

/// `runs/<partition>/<shard>`: one shard's entries by job. Empty entries are left out.
json::value encode_shard(const std::map<core::JobId, jobs::JobAssignments>& contents,
                         const jobs::Names& names);
/// Returns the entries in their stored order.
std::vector<std::pair<core::JobId, jobs::JobAssignments>> decode_shard(const json::value& stored,
                                                                       jobs::Names& names);

}  // namespace finchrun::state
