// Plans the transactions that record a scheduling round's placements. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "assignments/assignment_writer.hpp"
#include "assignments/batch_size.hpp"

namespace finchrun::assignments {

/// The placement of one job's tasks that a scheduling round has decided.
struct PlannedPlacement {
  core::PartitionId partition;
  std::uint64_t fencing_token = 0;  // of the partition at the time of the decision
  core::JobId job;
  std::uint64_t job_revision = 0;  // of the job's record at the time of the decision
  double weight = 0;               // of the job in the round's ranking, for the log
  std::vector<std::pair<std::uint32_t, core::MachineId>> tasks;
};

/// One transaction of a round's placements.
struct PlacementBatch {
  PlannedTransaction transaction;      // without writes if none of the placements can be recorded
  std::string partition;               // name
  std::size_t next = 0;                // index of the first placement that is left to a later batch
  std::size_t placements = 0;          // number of placements in the transaction
  std::vector<core::JobId> too_large;  // jobs of placements that fit no transaction
};

/// Plans one transaction with as many placements, from `first` on and of one partition, as the store's limits
/// allow, at most `max_placements`; each entirely or not at all. Skips placements that may have been decided
/// on stale records (under another fencing token, of a job whose record has changed, on a machine that is
/// deleted or terminating), and those too large for any transaction. Records observed exits too, since the
/// placements use the capacity that they freed.
PlacementBatch plan_placements(const ControllerState& state, const std::vector<PlannedPlacement>& placements,
                               std::size_t first, std::uint64_t attempt,
                               std::size_t max_placements = kUnlimitedChanges);

}  // namespace finchrun::assignments
