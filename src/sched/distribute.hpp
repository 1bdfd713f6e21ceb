// Deals a job's tasks to partitions in ranges, by the partitions' free room.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::sched {

struct PartitionCapacity {
  core::PartitionId partition;
  core::ZoneId zone;
  bool allowed = true;  // the job's zone and machine types can be met here
  double free = 0;      // how many of the job's tasks fit now
  double backlog = 0;   // how many of them the tasks already waiting there would take
  double capacity = 0;  // how many of them fit when the partition is empty
  bool has_image = false;
};

std::vector<jobs::Range> distribute(const jobs::JobSpec& spec,
                                    const std::vector<PartitionCapacity>& partitions);

}  // namespace finchrun::sched
