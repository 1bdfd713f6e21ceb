/// What a scheduling round could not place.
#pragma once

#include <vector>

#include "sched/place.hpp"

namespace finchrun::scheduling {

/// Tasks of one job that wait in one partition. Those that the round placed are no longer among them.
struct BacklogItem {
  core::PartitionId partition;
  sched::Demand demand;
};

/// In the order of the round's ranking, partition by partition.
using Backlog = std::vector<BacklogItem>;

}  // namespace finchrun::scheduling
