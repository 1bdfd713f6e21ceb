// What waits and what is free in each partition, for distributing and rebalancing jobs.
#pragma once

#include <vector>

#include "controller/controller_state.hpp"
#include "sched/distribute.hpp"

namespace finchrun::scheduling {

/// What each partition offers to a job of this kind, in order of partition. An estimate, of partitions of
/// other leaders above all: nothing is placed by it. Half a second old at most: it rests on `state.load`,
/// which is renewed here.
std::vector<sched::PartitionCapacity> partition_capacities(controller::ControllerState& state,
                                                           const jobs::JobSpec& spec, core::TimePoint now);

}  // namespace finchrun::scheduling
