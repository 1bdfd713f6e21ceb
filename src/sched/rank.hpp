/// Weighted Fair-share Grouping: ranks waiting tasks by team shares over the three-part cost, after
/// "Fair-share scheduling algorithm for a tertiary storage system" (P. Jakl, J. Lauret, M. Sumbera). The
/// three costs, their sum and the weight are the paper's equations 4 to 8; its terms and ours stand side by
/// side in docs/design.md.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::sched {

/// How much each cost counts; they sum to 1.
struct Factors {
  double image = 0.3;  // the paper's tape factor: images stand for tapes
  double size = 0.1;   // its file-size factor: requested cores stand for file sizes
  double usage = 0.6;  // its usage factor: core-seconds stand for megabytes delivered
};

/// Waiting tasks of one job: alike in everything that the ranking looks at.
struct QueuedTasks {
  core::TeamId team;
  core::ImageId image;
  double cpus = 0;  // of one task
  std::uint32_t count = 1;
};

/// What ranking finds for the tasks of one job.
struct Costs {
  double image = 0;   // grouping cost, 0 to 100: low for an image that many waiting tasks need
  double size = 0;    // size cost, 0 to 100: low for tasks of many cores
  double usage = 0;   // usage cost, 0 to 100: low for a team that has used little lately
  double total = 0;   // the three, each by its factor
  double weight = 0;  // the team's shares over the total cost: the highest goes first
};

/// Costs by entry of the queue. `shares` and `usage` (decayed core-seconds) by team. An empty queue has none.
std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors);

}  // namespace finchrun::sched
