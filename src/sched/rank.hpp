/// Weighted Fair-share Grouping: ranks waiting tasks by their team's shares divided by a cost of three terms,
/// after "Fair-share scheduling algorithm for a tertiary storage system" (P. Jakl, J. Lauret, M. Sumbera).
/// The costs, their sum and the weight are the paper's equations 4 to 8; docs/design.md maps the paper's
/// terms to those used here.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::sched {

/// The weights of the three costs; they sum to 1.
struct Factors {
  double image = 0.3;  // tape factor in the paper; images correspond to tapes
  double size = 0.1;   // file-size factor; requested cores correspond to file sizes
  double usage = 0.6;  // usage factor; core-seconds correspond to megabytes delivered
};

/// Waiting tasks of one job. All have the same attributes for ranking.
struct QueuedTasks {
  core::TeamId team;
  core::ImageId image;
  double cpus = 0;  // per task
  std::uint32_t count = 1;
};

/// The costs and the resulting weight of one job's tasks.
struct Costs {
  double image = 0;   // 0 to 100; low for an image that many waiting tasks need (grouping)
  double size = 0;    // 0 to 100; low for tasks with many cores
  double usage = 0;   // 0 to 100; low for a team with little recent usage
  double total = 0;   // sum of the three, weighted by `Factors`
  double weight = 0;  // the team's shares divided by the total cost; the highest is placed first
};

/// Returns the costs of each queue entry. `shares` and `usage` (decayed core-seconds) are indexed by team.
std::vector<Costs> rank(const std::vector<QueuedTasks>& queue, const std::vector<double>& shares,
                        const std::vector<double>& usage, const Factors& factors);

}  // namespace finchrun::sched
