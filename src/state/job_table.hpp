// The job records of the state cache, and the newest cancellations, which controllers gossip about.
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

/// Job records by id, with indexes of those that are live, unreadable or newly cancelled.
class JobTable {
 public:
  explicit JobTable(jobs::Names& names) : names_(names) {}

  /// Applies a change of the job's record; one that is not newer than what is known does nothing. Throws on a
  /// record that makes no sense; what was known of the job stays then.
  void apply(core::JobId id, const KeyUpdate& update);
  /// Its record can't be read: the job is known, and nothing else about it. Never taken for absence: its user
  /// would get the answer that an accepted job is unknown (rule `forgotten`).
  void mark_unreadable(core::JobId id) { unreadable_.insert(id); }
  void reset();

  /// Nothing if there is no record that could be read.
  [[nodiscard]] const jobs::JobRecord* find(core::JobId id) const;
  [[nodiscard]] bool unreadable(core::JobId id) const { return unreadable_.contains(id); }
  /// Jobs that are accepted and not over.
  [[nodiscard]] const std::set<core::JobId>& live() const { return live_; }
  /// Cancelled after that revision, as far as this cache knows; nothing if too much of that is forgotten.
  [[nodiscard]] std::optional<std::vector<core::JobId>> cancelled_after(std::uint64_t revision) const;
  /// Moves with every change of a record.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct Entry {
    jobs::JobRecord record;
    bool known = false;  // there is a record
  };
  Entry& entry(core::JobId id);
  void note_cancellation(core::JobId id, std::uint64_t revision);

  jobs::Names& names_;
  std::uint64_t version_ = 0;
  std::deque<Entry> entries_;  // by the dense id
  std::set<core::JobId> live_;
  std::set<core::JobId> unreadable_;
  // The newest cancellations by their revision, and the revision up to which they are forgotten.
  std::set<std::pair<std::uint64_t, core::JobId>> cancelled_;
  std::uint64_t cancellations_forgotten_to_ = 0;
};

}  // namespace finchrun::state
