/// Distributes a job's tasks over partitions in ranges, by the partitions' free room. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::sched {

/// What a partition has for tasks of one job; all amounts in such tasks.
struct PartitionCapacity {
  core::PartitionId partition;
  core::ZoneId zone;
  bool allowed = true;     // the job's zone and machine types can be met here
  double free = 0;         // how many fit now
  double backlog = 0;      // how many would fit into the room that tasks already waiting there need
  double capacity = 0;     // how many fit when the partition is empty
  bool has_image = false;  // some machine of the partition holds the job's image
};

/// The ranges of the job's tasks, sorted, without gaps: each task belongs to exactly one partition. A gang or
/// a job for one zone goes to one partition as a whole. `partitions` must not be empty; if none of them is
/// allowed, all count, so that the job waits somewhere.
std::vector<jobs::TaskRange> distribute(const jobs::JobSpec& spec,
                                    const std::vector<PartitionCapacity>& partitions);

}  // namespace finchrun::sched
