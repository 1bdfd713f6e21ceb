// What teams use, of their quotas and of their guarantees, by the records as the state cache shows them.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "agent/fleet.hpp"
#include "config/settings.hpp"
#include "ledger/quota_shares.hpp"
#include "state/state_cache.hpp"

namespace finchrun::controller {

/// Tasks of the job that are not done, whether they wait or run.
std::uint32_t unfinished_tasks(const state::StateCache& cache, core::JobId id);

/// Booked by each team in each partition, [partition][team]: every assignment, those of jobs that are over
/// too (rule `quota`). What is known to have ended is not counted: its end is recorded no later than what
/// takes its place.
std::vector<std::vector<core::Resources>> used_by_partition(const config::Settings& settings,
                                                            const state::StateCache& cache,
                                                            const agent::Fleet& fleet);

/// Summed over the partitions, by team: `used` is [partition][team].
std::vector<core::Resources> sum_by_team(const std::vector<std::vector<core::Resources>>& used,
                                         std::size_t teams);

/// The team's shares as its record says; equal ones while it has none.
ledger::QuotaShares quota_shares(const config::Settings& settings, const state::StateCache& cache,
                                 core::TeamId team);

/// Live jobs that fit their team's guarantee together with the team's earlier unfinished jobs. A team without
/// any guarantee has none; a job that needs accelerators has to fit a guarantee of accelerators.
std::set<core::JobId> within_guarantee(const config::Settings& settings, const state::StateCache& cache);

}  // namespace finchrun::controller
