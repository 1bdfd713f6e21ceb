// What this controller knows of the cancellations whose tasks may still be on machines.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace finchrun::agent {

/// How this controller learnt that a job is cancelled.
enum class CancellationSource {
  commit,        ///< it committed the cancellation itself
  read,          ///< by a read of the key-value store's changes
  load,          ///< by reading all records of the store
  announcement,  ///< the confirming controller announced it
  ping           ///< another controller named it in its answer to a ping
};
const char* name_of(CancellationSource source);

/// One cancellation, since this controller learnt of it.
struct KnownCancellation {
  /// No user was told of the cancellation before: all that were confirmed earlier were known here already.
  core::TimePoint confirmed_after{};
  core::TimePoint learned_at{};
  CancellationSource source = CancellationSource::read;
  bool is_logged = false;          ///< it had tasks in a partition led here, which the log tells
  bool is_overdue_logged = false;  ///< the log tells that its stops have not taken effect in time
  std::size_t stops_sent = 0, stops_unanswered = 0;  ///< direct commands of this controller
  std::size_t renewals = 0;  ///< answers that renewed the lease of a machine with a task of the job
};

/// The known cancellations by job. The first knowledge of a job counts, also if its record is read anew.
class Cancellations {
 public:
  /// Records a cancellation that was not known before.
  void learn(core::JobId job, const KnownCancellation& cancellation) {
    known_.try_emplace(job, cancellation);
  }
  void forget(core::JobId job) { known_.erase(job); }
  /// Returns null for a job that is not known as cancelled, or that was forgotten without tasks.
  [[nodiscard]] KnownCancellation* find(core::JobId job);
  [[nodiscard]] const KnownCancellation* find(core::JobId job) const;
  [[nodiscard]] const std::unordered_map<core::JobId, KnownCancellation>& all() const { return known_; }
  [[nodiscard]] std::unordered_map<core::JobId, KnownCancellation>& all() { return known_; }

 private:
  std::unordered_map<core::JobId, KnownCancellation> known_;
};

}  // namespace finchrun::agent
