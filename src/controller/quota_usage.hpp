// Usage of the teams' quotas and guarantees, computed from the records in the state cache.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "agent/fleet.hpp"
#include "config/settings.hpp"
#include "ledger/quota_shares.hpp"
#include "state/state_cache.hpp"

namespace finchrun::controller {

/// Returns the number of the job's tasks that are not done, whether they wait or run.
std::uint32_t unfinished_tasks(const state::StateCache& cache, core::JobId id);

/// Returns the resources assigned to each team in each partition, [partition][team]. Counts every assignment,
/// also those of finished and cancelled jobs (rule `quota`), except attempts known to have ended: their end
/// is recorded no later than the assignments that replace them.
std::vector<std::vector<core::Resources>> used_by_partition(const config::Settings& settings,
                                                            const state::StateCache& cache,
                                                            const agent::Fleet& fleet);

/// Sums `used`, which is [partition][team], over the partitions.
std::vector<core::Resources> sum_by_team(const std::vector<std::vector<core::Resources>>& used,
                                         std::size_t teams);

/// Returns the team's quota shares from its record; equal shares while it has no record.
ledger::QuotaShares quota_shares(const config::Settings& settings, const state::StateCache& cache,
                                 core::TeamId team);

/// Returns the live jobs that fit into their team's guarantee together with the team's earlier unfinished
/// jobs. A team without a guarantee has no such jobs; a job that needs accelerators must fit a guarantee of
/// accelerators.
std::set<core::JobId> jobs_within_guarantee(const config::Settings& settings, const state::StateCache& cache);

}  // namespace finchrun::controller
