// The transactions that record a scheduling round's placements: pure planning, no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "assignments/assignment_writer.hpp"

namespace finchrun::assignments {

/// What a scheduling round has found for one job.
struct PlannedPlacement {
  core::PartitionId partition;
  std::uint64_t fencing_token = 0;  // the partition's when it was decided
  core::JobId job;
  std::uint64_t job_revision = 0;  // of the job's record when it was decided
  double weight = 0;               // the job's in the round's ranking, for the log
  std::vector<std::pair<std::uint32_t, core::MachineId>> tasks;
};

/// One transaction of a round's placements.
struct PlacementBatch {
  PlannedTransaction transaction;  // no writes: nothing of these placements can be recorded
  std::string partition;           // its name
  std::size_t next = 0;            // the first placement that is left to a later batch
};

/// As many of the placements, from `first` on and of one partition, as fit into one transaction; each of them
/// as a whole or not at all. Passed over is what may have been decided on old records: under another fencing
/// token, of a job whose record has changed, on a machine that is going away; and what no transaction has
/// room for. Observed exits are recorded with them, since the room that they left was counted on.
PlacementBatch plan_placements(const ControllerState& state, const std::vector<PlannedPlacement>& placements,
                               std::size_t first, std::uint64_t attempt);

}  // namespace finchrun::assignments
