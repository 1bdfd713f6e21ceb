// The job records of the state cache, and the newest cancellations, which controllers send each other.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jobs/job.hpp"
#include "state/transaction.hpp"

namespace finchrun::state {

/// Job records by id, with indexes of the live, the unreadable and the recently cancelled jobs.
class JobTable {
 public:
  explicit JobTable(jobs::Names& names) : names_(names) {}

  /// Applies a change of the job's record, and ignores one that is not newer than the known record. Throws
  /// on a malformed record, and keeps the known one.
  void apply(core::JobId id, const KeyUpdate& update);
  /// Marks a job whose record can't be read. If it were treated as absent, its user would be told that an
  /// accepted job is unknown (rule `forgotten`).
  void mark_unreadable(core::JobId id) { unreadable_.insert(id); }
  void reset();

  /// The job's record, null if there is none that could be read.
  [[nodiscard]] const jobs::JobRecord* find(core::JobId id) const;
  [[nodiscard]] bool is_unreadable(core::JobId id) const { return unreadable_.contains(id); }
  /// Jobs that are accepted and have not ended.
  [[nodiscard]] const std::set<core::JobId>& live_jobs() const { return live_; }
  /// Jobs cancelled after the revision; nullopt if this cache no longer has all of them.
  [[nodiscard]] std::optional<std::vector<core::JobId>> cancelled_after(std::uint64_t revision) const;
  /// Returns the jobs that were read as cancelled since the last call, repeated ones among them.
  [[nodiscard]] std::vector<core::JobId> take_new_cancellations() {
    return std::exchange(new_cancellations_, {});
  }
  /// Increases with every change of a record.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct Entry {
    jobs::JobRecord record;
    bool exists = false;
  };
  Entry& entry(core::JobId id);
  void record_cancellation(core::JobId id, std::uint64_t revision);

  jobs::Names& names_;
  std::uint64_t version_ = 0;
  std::deque<Entry> entries_;  // by job index
  std::set<core::JobId> live_;
  std::set<core::JobId> unreadable_;
  // The newest cancellations by revision, and the revision up to which they have been dropped.
  std::set<std::pair<std::uint64_t, core::JobId>> cancelled_;
  std::uint64_t cancellations_dropped_up_to_ = 0;
  std::vector<core::JobId> new_cancellations_;  // until `take_new_cancellations`
};

}  // namespace finchrun::state
