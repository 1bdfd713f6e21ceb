// What one partition's records are to say of the exits that heartbeats have shown: pure planning, no I/O.
#pragma once

#include "assignments/assignment_writer.hpp"

namespace finchrun::assignments {

/// The record of a job that is complete: the specification stays, the task ranges go.
jobs::JobRecord finished(const jobs::JobRecord& job);

/// A step towards values within the limits, if the partition's records need one: what was written under
/// larger limits is brought within those that hold now or may hold from any moment on. Nothing to write if
/// they fit, or if no step fits into one transaction.
PlannedTransaction plan_shrink(const ControllerState& state, core::PartitionId partition);

/// Records as many of the partition's observed exits as one transaction holds, and the jobs that are complete
/// with them or became so without anyone having recorded it. The rest is left to the next transaction.
PlannedTransaction plan_exits(const ControllerState& state, core::PartitionId partition);

/// The partition's next transaction: shrinking goes before all else, since a shard over the limit could take
/// neither an exit nor a placement. Empty writes: nothing to do.
PlannedTransaction plan_next(const ControllerState& state, core::PartitionId partition);

}  // namespace finchrun::assignments
