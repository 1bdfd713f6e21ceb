// Waiting work and free capacity of each partition, for the distribution and rebalancing of jobs.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "sched/distribute.hpp"

namespace finchrun::scheduling {

/// Returns the capacity of each partition for the job, by partition index. It is an estimate, especially for
/// partitions with other leaders, and not used for placement. It is computed from `state.cluster_load`, which
/// this function recomputes once it is half a second old.
std::vector<sched::PartitionCapacity> partition_capacities(controller::ControllerState& state,
                                                           const jobs::JobSpec& spec, core::TimePoint now);

}  // namespace finchrun::scheduling
