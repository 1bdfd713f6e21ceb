#include "controller/controller_state.hpp"

namespace finchrun::controller {
namespace {

jobs::Names names_for(const config::Settings& s) {
  jobs::Names names;
  for (const auto& t : s.teams) names.teams.intern(t.name);
  return names;
}

}  // namespace

ControllerState::ControllerState(const config::Settings& deployment_settings,
                                 const config::Tuning& operator_tuning)
    : settings(deployment_settings),
      tuning(operator_tuning),
      names(names_for(deployment_settings)),
      partitions(settings, tuning, names),
      cache(names, partitions.size(), settings.teams.size()),
      usage(partitions.size(),
            ledger::UsageWindows(settings.teams.size(), tuning.window_s, tuning.windows, tuning.decay)),
      usage_from(partitions.size(), 0),
      cancellations_confirmed_at(settings.members.size()),
      leader_missing_since(partitions.size()),
      fence_due(partitions.size(), 0),
      fenced_at(partitions.size(), 0),
      leading_since(partitions.size()) {
  for (const auto& team : settings.teams)
    shares.push_back(team.gpus > 0 ? team.gpus : team.cpus > 0 ? team.cpus : 1.0);
}

core::Resources ControllerState::used_on(core::MachineId id) const {
  core::Resources used;
  for (const auto& p : cache.on_machine(id))
    if (const auto* job = cache.job(p.job); job && !fleet.ended(p.job, p.partition, p.assignment))
      used += job->spec.need;
  return used;
}

// Facts whose entry is recorded no more, or whose partition is another leader's, are settled.
void ControllerState::drop_recorded_exits() {
  for (auto it = fleet.observed_exits.begin(); it != fleet.observed_exits.end();) {
    const auto& f = *it;
    if (holds_leadership(f.partition) && cache.has_assignment(f.job, f.partition, f.task, f.attempt)) {
      ++it;
      continue;
    }
    const agent::TaskAttempt start{f.job, f.task, f.attempt};
    fleet.confirmed_starts.erase(start);
    fleet.preempting.erase(start);
    fleet.stop_retries.erase(start);
    if (auto s = fleet.direct_starts.find(start); s != fleet.direct_starts.end())
      if (s->second.answered_sequence || s->second.fencing_token != fencing_token(f.partition))
        fleet.direct_starts.erase(s);
    it = fleet.observed_exits.erase(it);
  }
}

std::vector<std::vector<core::Resources>> ControllerState::used_by_partition() const {
  std::vector<std::vector<core::Resources>> used(partitions.size(),
                                                 std::vector<core::Resources>(settings.teams.size()));
  cache.each_run([&](core::JobId id, core::PartitionId partition, const jobs::JobAssignments& run) {
    const auto* job = run.assignments.empty() ? nullptr : cache.job(id);
    if (!job || job->spec.team.index >= settings.teams.size()) return;
    used[partition.index][job->spec.team.index] +=
        job->spec.need * static_cast<double>(run.assignments.size());
  });
  for (const auto& f : fleet.observed_exits) {
    // Reported as done and as gone: one assignment all the same.
    if (f.done && fleet.observed_exits.contains({f.job, f.partition, f.task, f.attempt, false})) continue;
    const auto* job = cache.job(f.job);
    if (job && job->spec.team.index < settings.teams.size() &&
        cache.has_assignment(f.job, f.partition, f.task, f.attempt))
      used[f.partition.index][job->spec.team.index] -= job->spec.need;
  }
  return used;
}

std::vector<core::Resources> ControllerState::used_by_team() const {
  std::vector<core::Resources> used(settings.teams.size());
  for (const auto& partition : used_by_partition())
    for (std::size_t t = 0; t < used.size(); ++t) used[t] += partition[t];
  return used;
}

ledger::QuotaShares ControllerState::quota_shares(core::TeamId team) const {
  const auto& t = settings.teams.at(team.index);
  ledger::QuotaShares out({t.cpus_max, t.gpus_max, 0}, partitions.size());
  const auto& record = cache.team(team);
  for (std::size_t p = 0; p < record.partitions.size(); ++p)
    out.set(core::PartitionId{static_cast<std::uint32_t>(p)}, record.partitions[p].first,
            record.partitions[p].second);
  return out;
}

std::set<core::JobId> ControllerState::within_guarantee() const {
  std::vector<std::pair<double, core::JobId>> by_age;
  for (const auto id : cache.live()) by_age.emplace_back(cache.job(id)->spec.submitted_s, id);
  std::sort(by_age.begin(), by_age.end());
  std::vector<core::Resources> asked(settings.teams.size());
  std::set<core::JobId> out;
  for (const auto& [_, id] : by_age) {
    const auto& spec = cache.job(id)->spec;
    if (spec.team.index >= settings.teams.size()) continue;
    const auto& team = settings.teams.at(spec.team.index);
    auto& sum = asked[spec.team.index];
    sum += spec.need * static_cast<double>(spec.tasks - std::min(spec.tasks, cache.done(id)));
    const bool gpus = team.gpus <= 0 ? spec.need.gpus <= 0 : sum.gpus <= team.gpus + core::Resources::kSlack;
    const bool cpus = team.cpus <= 0 || sum.cpus <= team.cpus + core::Resources::kSlack;
    if ((team.gpus > 0 || team.cpus > 0) && gpus && cpus) out.insert(id);
  }
  return out;
}

bool ControllerState::deferrable(const jobs::JobSpec& spec, double now_s) const {
  if (!spec.deadline_s) return false;
  bool deadline = false;
  for (const auto& o : settings.objectives) {
    if (o.job_class != names.job_classes.name(spec.job_class)) continue;
    if (o.kind != "deadline") return false;
    deadline = true;
  }
  // Estimates are often wrong by half; the fetch and the rounds on the way take their time too.
  const double needs = spec.expected_run_s * 1.5 + spec.image_gb * 2 + 4 * settings.report_s;
  return deadline && spec.submitted_s + *spec.deadline_s - now_s > needs;
}

void ControllerState::observe_job_classes() {
  constexpr double kFade = 0.98;  // a round
  job_classes.resize(names.job_classes.size());
  std::vector<double> now(job_classes.size(), 0.0);
  for (const auto id : cache.live()) {
    const auto& spec = cache.job(id)->spec;
    auto& job_class = job_classes[spec.job_class.index];
    job_class.need = spec.need;
    job_class.spot = spec.spot;
    job_class.types = spec.types;
    now[spec.job_class.index] += spec.tasks - std::min(spec.tasks, cache.done(id));
  }
  for (std::size_t l = 0; l < job_classes.size(); ++l)
    job_classes[l].tasks = std::max(now[l], job_classes[l].tasks * kFade);
}

agent::HeartbeatResult ControllerState::take(agent::Machine& m, const wire::Heartbeat& r, core::TimePoint now,
                                             bool direct) {
  constexpr double kFresh = 2.0;
  const bool may_start = core::since(synchronized_at, now) < kFresh;
  return agent::handle_heartbeat({names, cache, fleet, job_failures, fencing_token(m.partition), now,
                                  settings.lease_s, may_start, direct},
                                 m, r);
}

bool ControllerState::usable(const agent::Machine& m, core::TimePoint now) const {
  return m.has_heartbeat && m.fencing_token == fencing_token(m.partition) && !m.termination_notice_s &&
         !m.quarantined && !m.terminating && !m.gone && !m.unreachable() && m.unrecorded_tasks == 0 &&
         // A new leader has its answers to the new fencing token before the agent comes by itself.
         core::since(std::max(m.last_heartbeat, leading_since.at(m.partition.index)), now) <
             2.5 * settings.report_s + 1.0;
}

}  // namespace finchrun::controller
