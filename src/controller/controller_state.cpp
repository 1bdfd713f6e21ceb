#include "controller/controller_state.hpp"

#include <algorithm>

#include "controller/quota_usage.hpp"

namespace finchrun::controller {
namespace {

constexpr double kMaxStateAgeToStartS = 2.0;

// No task is placed on a machine whose heartbeats have been missing for this many intervals plus the delay.
constexpr double kMaxMissedHeartbeats = 2.5;
constexpr double kHeartbeatDelayS = 1.0;

constexpr double kJobClassDecay = 0.98;  // per round, of a job class's task count

// Estimated run times are often wrong by half, and fetching the image and starting the task take time too.
constexpr double kRunTimeMargin = 1.5;
constexpr double kImageFetchSPerGb = 2;
constexpr double kHeartbeatsToStart = 4;

// Share of the objective's time; the rest is left for preemption and start.
constexpr double kGuaranteeGraceShare = 0.3;
constexpr double kDefaultGuaranteeGraceS = 5;  // without an objective

jobs::Names names_for(const config::Settings& settings) {
  jobs::Names names;
  for (const auto& team : settings.teams) names.teams.intern(team.name);
  return names;
}

// Returns the guaranteed accelerators if there are any, else the guaranteed processors.
double fair_share_weight(const config::Team& team) {
  if (team.gpus > 0) return team.gpus;
  return team.cpus > 0 ? team.cpus : 1.0;
}

// Drops the state of an attempt whose end needs no record any more.
void forget_attempt(agent::Fleet& fleet, const agent::TaskAttempt& attempt) {
  fleet.confirmed_starts.erase(attempt);
  fleet.preempting.erase(attempt);
  fleet.stop_retries.erase(attempt);
}

// Returns true if the job class has objectives, and all of them are deadlines.
bool has_only_deadline_objectives(const std::vector<config::Objective>& objectives,
                                  const std::string& job_class) {
  bool has_deadline = false;
  for (const auto& objective : objectives) {
    if (objective.job_class != job_class) continue;
    if (objective.kind != "deadline") return false;
    has_deadline = true;
  }
  return has_deadline;
}

}  // namespace

ControllerState::ControllerState(const config::Settings& deployment_settings,
                                 const config::Tuning& operator_tuning)
    : settings(deployment_settings),
      tuning(operator_tuning),
      names(names_for(deployment_settings)),
      partitions(settings, tuning, names),
      cache(names, partitions.size(), settings.teams.size()),
      cancellations_confirmed_at(settings.members.size()),
      leader_missing_since(partitions.size()),
      leading_since(partitions.size()),
      fences(partitions.size()),
      usage(partitions.size(), ledger::UsageWindows(settings.teams.size(), tuning.usage_window_s,
                                                    tuning.usage_windows, tuning.usage_decay)),
      usage_fencing_tokens(partitions.size(), 0) {
  for (const auto& team : settings.teams) fair_share_weights.push_back(fair_share_weight(team));
}

bool ControllerState::holds_leadership(core::PartitionId partition) const {
  const auto& leadership = cache.leadership(partition);
  return cache_loaded && incarnation != 0 && leadership.leader == settings.label &&
         leadership.incarnation == incarnation;
}

bool ControllerState::leads(core::PartitionId partition) const {
  return holds_leadership(partition) && cache.revision() >= cache.leadership(partition).revision &&
         cache.is_readable(partition);
}

bool ControllerState::all_members_support(std::uint64_t level) const {
  const auto& members = cache.members();
  return !members.empty() && std::all_of(members.begin(), members.end(), [&](const auto& member) {
    return member.second.record_level >= level;
  });
}

bool ControllerState::all_controllers_support(std::uint64_t level) const {
  return std::all_of(settings.members.begin(), settings.members.end(), [&](const config::Member& member) {
    const auto last = cache.last_record_level(member.label);
    return last && *last >= level;
  });
}

core::TimePoint ControllerState::cancellations_known_at(core::TimePoint now) const {
  // A controller that the settings don't name may confirm cancellations without reporting them here.
  const auto named_controllers = static_cast<int>(cancellations_confirmed_at.size()) + 1;
  if (named_controllers < settings.controller_count) return synchronized_at;
  core::TimePoint confirmed_by_all = now;
  for (const auto at : cancellations_confirmed_at) confirmed_by_all = std::min(confirmed_by_all, at);
  return std::max(synchronized_at, confirmed_by_all);
}

bool ControllerState::can_renew_leases(core::TimePoint now) const {
  return core::seconds_between(cancellations_known_at(now), now) < settings.lease_renewal_window_s();
}

void ControllerState::learn_cancellations(agent::CancellationSource source, core::TimePoint now) {
  const auto known_at = cancellations_known_at(now);
  for (const auto job : cache.take_new_cancellations())
    fleet.cancellations.learn(job, {.confirmed_after = known_at, .learned_at = now, .source = source});
}

double ControllerState::seconds_since_heartbeat(const agent::Machine& machine, core::TimePoint now) const {
  const auto term_start = leading_since.at(machine.partition.index);
  return core::seconds_between(std::max({machine.last_heartbeat, machine.first_seen, term_start}), now);
}

bool ControllerState::is_schedulable(const agent::Machine& machine, core::TimePoint now) const {
  const bool obeys = machine.has_heartbeat && machine.fencing_token >= fencing_token(machine.partition);
  if (!obeys || machine.is_unreachable() || machine.unrecorded_tasks > 0) return false;
  if (machine.termination_notice_s || machine.quarantined || machine.terminating || machine.deleted)
    return false;
  // The agents answer a new leader's probes before they send it their first heartbeats.
  const auto last_seen = std::max(machine.last_heartbeat, leading_since.at(machine.partition.index));
  return core::seconds_between(last_seen, now) <
         kMaxMissedHeartbeats * settings.heartbeat_interval_s + kHeartbeatDelayS;
}

core::Resources ControllerState::allocated_on(core::MachineId id) const {
  core::Resources used;
  for (const auto& [job_id, partition, assignment] : cache.on_machine(id))
    if (const auto* job = cache.job(job_id); job && !fleet.has_ended(job_id, partition, assignment))
      used += job->spec.need;
  return used;
}

agent::HeartbeatResult ControllerState::apply_heartbeat(agent::Machine& machine,
                                                        const wire::Heartbeat& heartbeat, core::TimePoint now,
                                                        bool is_direct_answer) {
  const bool starts_allowed = core::seconds_between(synchronized_at, now) < kMaxStateAgeToStartS;
  return agent::handle_heartbeat(
      {names, cache, fleet, job_failures, fencing_tokens(machine.partition), now, settings.agent_lease_s,
       starts_allowed, is_direct_answer, settings.cancel_s, settings.lease_renewal_window_s()},
      machine, heartbeat);
}

void ControllerState::drop_recorded_exits() {
  for (auto it = fleet.observed_exits.begin(); it != fleet.observed_exits.end();) {
    const auto& exit = *it;
    const bool still_to_record = holds_leadership(exit.partition) &&
                                 exit.fencing_token == fencing_token(exit.partition) &&
                                 cache.has_assignment(exit.job, exit.partition, exit.task, exit.attempt);
    if (still_to_record) {
      ++it;
      continue;
    }
    forget_attempt(fleet, {exit.job, exit.task, exit.attempt});
    it = fleet.observed_exits.erase(it);
  }
}

const jobs::JobRecord* ControllerState::find_job(std::string_view name) const {
  const auto id = names.jobs.find(name);
  return id ? cache.job(*id) : nullptr;
}

void ControllerState::update_job_class_profiles() {
  job_class_profiles.resize(names.job_classes.size());
  std::vector<double> unfinished(job_class_profiles.size(), 0.0);
  for (const auto id : cache.live_jobs()) {
    const auto& spec = cache.job(id)->spec;
    auto& profile = job_class_profiles[spec.job_class.index];
    profile.need = spec.need;
    profile.spot = spec.spot;
    profile.allowed_types = spec.allowed_types;
    unfinished[spec.job_class.index] += unfinished_tasks(cache, id);
  }
  for (std::size_t i = 0; i < job_class_profiles.size(); ++i)
    job_class_profiles[i].active_tasks =
        std::max(unfinished[i], job_class_profiles[i].active_tasks * kJobClassDecay);
}

bool ControllerState::is_deferrable(const jobs::JobSpec& spec, double now_s) const {
  if (!spec.deadline_s) return false;
  if (!has_only_deadline_objectives(settings.objectives, names.job_classes.name(spec.job_class)))
    return false;
  const double required_s = spec.expected_run_s * kRunTimeMargin + spec.image_gb * kImageFetchSPerGb +
                            kHeartbeatsToStart * settings.heartbeat_interval_s;
  return spec.submitted_s + *spec.deadline_s - now_s > required_s;
}

std::vector<std::vector<core::Resources>> ControllerState::used_by_partition() const {
  return controller::used_by_partition(settings, cache, fleet);
}

std::vector<core::Resources> ControllerState::used_by_team() const {
  return sum_by_team(used_by_partition(), settings.teams.size());
}

ledger::QuotaShares ControllerState::quota_shares(core::TeamId team) const {
  return controller::quota_shares(settings, cache, team);
}

std::set<core::JobId> ControllerState::jobs_within_guarantee() const {
  return controller::jobs_within_guarantee(settings, cache);
}

double ControllerState::guarantee_grace_s() const {
  for (const auto& objective : settings.objectives)
    if (objective.kind == "guarantee" && objective.within_s > 0)
      return kGuaranteeGraceShare * objective.within_s;
  return kDefaultGuaranteeGraceS;
}

}  // namespace finchrun::controller
