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

/// Items by partition, in the order of the round's ranking.
using Backlog = std::vector<BacklogItem>;

}  // namespace finchrun::scheduling
