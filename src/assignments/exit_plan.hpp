// Plans how one partition's records change for the task exits that heartbeats have reported. No I/O.
#pragma once

#include "assignments/assignment_writer.hpp"
#include "assignments/batch_size.hpp"

namespace finchrun::assignments {

/// Returns the record of the job once it is complete: with its specification, without its task ranges.
jobs::JobRecord completed_record(const jobs::JobRecord& job);

/// Plans one step of shrinking the partition's records, which may have been written under larger limits, to
/// the limits that hold now or may hold soon. Has no writes if all records are within the limits, or if no
/// step fits into one transaction.
PlannedTransaction plan_shrink(const ControllerState& state, core::PartitionId partition);

/// Plans to record as many of the partition's observed exits as fit into one transaction, and the completion
/// of jobs whose tasks are all done, including jobs whose last exits an earlier transaction recorded; at most
/// `max_changes` of each. The next transaction does the rest.
PlannedTransaction plan_exits(const ControllerState& state, core::PartitionId partition,
                              std::size_t max_changes = kUnlimitedChanges);

/// Plans the partition's next transaction. Shrinking comes first, since a shard over the limit can take
/// neither an exit nor a placement. Has no writes if there is nothing to do.
PlannedTransaction plan_next_transaction(const ControllerState& state, core::PartitionId partition,
                                         std::size_t max_changes = kUnlimitedChanges);

}  // namespace finchrun::assignments
