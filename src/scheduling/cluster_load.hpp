// What waits and what is free in each partition, for distributing jobs.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "sched/distribute.hpp"

namespace finchrun::scheduling {

/// What each partition offers to a job of this kind.
std::vector<sched::PartitionCapacity> partition_capacities(controller::ControllerState& w,
                                                           const jobs::JobSpec& spec, core::TimePoint now);

}  // namespace finchrun::scheduling
