/// The tasks that a scheduling round could not place.
#pragma once

#include <vector>

#include "sched/place.hpp"

namespace finchrun::scheduling {

/// The tasks of one job that still wait in one partition after the round's placements.
struct BacklogItem {
  core::PartitionId partition;
  sched::Demand demand;
};

/// Items grouped by partition, each group in the round's order of placing.
using Backlog = std::vector<BacklogItem>;

}  // namespace finchrun::scheduling
