/// Splits a job's tasks into ranges and assigns the ranges to partitions by their free capacity. Has no side
/// effects.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::sched {

/// The capacity of one partition for the tasks of one job, counted in tasks of that job.
struct PartitionCapacity {
  core::PartitionId partition;
  core::ZoneId zone;
  bool allowed = true;     // the partition is in a zone that the job allows
  double free = 0;         // tasks that fit now
  double backlog = 0;      // tasks that would fit in the resources that waiting tasks need
  double capacity = 0;     // tasks that fit when the partition is empty
  bool has_image = false;  // at least one machine has the job's image
};

/// Returns the ranges of the job's tasks, sorted and without gaps: each task belongs to exactly one
/// partition. A gang or a single-zone job is assigned to one partition as a whole. `partitions` must not be
/// empty. If none of them is allowed, all are considered, so that the job is queued in some partition.
std::vector<jobs::TaskRange> distribute(const jobs::JobSpec& spec,
                                        const std::vector<PartitionCapacity>& partitions);

}  // namespace finchrun::sched
