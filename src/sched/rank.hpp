// Weighted Fair-share Grouping: ranks waiting tasks by team shares over the three-part cost, after
// "Fair-share scheduling algorithm for a tertiary storage system" (P. Jakl, J. Lauret, M. Sumbera).
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::sched {

struct Factors {
  double image = 0.3;  // the paper's tape factor: images stand for tapes
  double size = 0.1;
  double usage = 0.6;
};

// Waiting tasks of one job: alike in everything that the ranking looks at.
struct QueuedTasks {
  core::TeamId team;
  core::ImageId image;
  double cpus = 0;
  std::uint32_t count = 1;
};

struct Costs {
  double image = 0, size = 0, usage = 0;  // each 0 to 100
  double total = 0;
  double weight = 0;  // shares over total cost
};

// `shares` and `usage` (decayed core-seconds) by team.
std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors);

}  // namespace finchrun::sched
