#include "controller/quota_usage.hpp"

#include <algorithm>

namespace finchrun::controller {

namespace {

// Returns the job; null if the settings don't name its team, which may have been removed from them.
const jobs::JobRecord* job_of_known_team(const config::Settings& settings, const state::StateCache& cache,
                                         core::JobId id) {
  const auto* job = cache.job(id);
  return job && job->spec.team.index < settings.teams.size() ? job : nullptr;
}

// Returns true for a completed attempt that is also listed as not completed; both entries are the same
// assignment.
bool is_duplicate_exit(const agent::Fleet& fleet, const agent::ObservedExit& exit) {
  return exit.done &&
         fleet.observed_exits.contains({exit.job, exit.partition, exit.task, exit.attempt, false});
}

std::vector<core::JobId> oldest_first(const state::StateCache& cache) {
  std::vector<std::pair<double, core::JobId>> by_age;
  for (const auto id : cache.live_jobs()) by_age.emplace_back(cache.job(id)->spec.submitted_s, id);
  std::sort(by_age.begin(), by_age.end());
  std::vector<core::JobId> jobs;
  for (const auto& [_, id] : by_age) jobs.push_back(id);
  return jobs;
}

// `requested`: total of the team's jobs up to and including the one whose tasks need `need`.
bool fits_guarantee(const config::Team& team, const core::Resources& need, const core::Resources& requested) {
  if (team.gpus <= 0 && team.cpus <= 0) return false;
  const bool gpus_fit =
      team.gpus <= 0 ? need.gpus <= 0 : requested.gpus <= team.gpus + core::Resources::kRoundingTolerance;
  const bool cpus_fit = team.cpus <= 0 || requested.cpus <= team.cpus + core::Resources::kRoundingTolerance;
  return gpus_fit && cpus_fit;
}

}  // namespace

std::uint32_t unfinished_tasks(const state::StateCache& cache, core::JobId id) {
  const auto tasks = cache.job(id)->spec.tasks;
  return tasks - std::min(tasks, cache.done_tasks(id));
}

std::vector<std::vector<core::Resources>> used_by_partition(const config::Settings& settings,
                                                            const state::StateCache& cache,
                                                            const agent::Fleet& fleet) {
  std::vector<std::vector<core::Resources>> used(cache.partitions(),
                                                 std::vector<core::Resources>(settings.teams.size()));
  cache.for_each_assignments([&](core::JobId id, core::PartitionId partition,
                                 const jobs::JobAssignments& job_assignments) {
    const auto* job = job_assignments.assignments.empty() ? nullptr : job_of_known_team(settings, cache, id);
    if (!job) return;
    used[partition.index][job->spec.team.index] +=
        job->spec.need * static_cast<double>(job_assignments.assignments.size());
  });
  for (const auto& exit : fleet.observed_exits) {
    if (is_duplicate_exit(fleet, exit)) continue;
    const auto* job = job_of_known_team(settings, cache, exit.job);
    if (job && cache.has_assignment(exit.job, exit.partition, exit.task, exit.attempt))
      used[exit.partition.index][job->spec.team.index] -= job->spec.need;
  }
  return used;
}

std::vector<core::Resources> sum_by_team(const std::vector<std::vector<core::Resources>>& used,
                                         std::size_t teams) {
  std::vector<core::Resources> sum(teams);
  for (const auto& partition : used)
    for (std::size_t team = 0; team < teams; ++team) sum[team] += partition[team];
  return sum;
}

ledger::QuotaShares quota_shares(const config::Settings& settings, const state::StateCache& cache,
                                 core::TeamId team) {
  const auto& limits = settings.teams.at(team.index);
  ledger::QuotaShares shares({limits.cpus_max, limits.gpus_max, 0}, cache.partitions());
  const auto& record = cache.quota(team);
  for (std::uint32_t p = 0; p < record.partitions.size(); ++p) {
    const auto& [share, requested] = record.partitions[p];
    shares.restore(core::PartitionId{p}, share, requested);
  }
  return shares;
}

std::set<core::JobId> jobs_within_guarantee(const config::Settings& settings,
                                            const state::StateCache& cache) {
  std::vector<core::Resources> requested(settings.teams.size());  // by team: total of its jobs so far
  std::set<core::JobId> within;
  for (const auto id : oldest_first(cache)) {
    const auto* job = job_of_known_team(settings, cache, id);
    if (!job) continue;
    const auto team = job->spec.team.index;
    requested[team] += job->spec.need * static_cast<double>(unfinished_tasks(cache, id));
    if (fits_guarantee(settings.teams[team], job->spec.need, requested[team])) within.insert(id);
  }
  return within;
}

}  // namespace finchrun::controller
