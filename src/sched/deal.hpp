// Deals a job's tasks to parts in ranges, by the parts' free room.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::sched {

struct PartRoom {
  core::PartId part;
  core::ZoneId zone;
  bool allowed = true;  // the job's zone and machine types can be met here
  double free = 0;      // how many of the job's tasks fit now
  double backlog = 0;   // how many of them the tasks already waiting there would take
  double capacity = 0;  // how many of them fit when the part is empty
  bool has_image = false;
};

std::vector<jobs::Range> deal(const jobs::JobSpec& spec, const std::vector<PartRoom>& parts);

}  // namespace finchrun::sched
