#include "gateway/admission.hpp"

#include <algorithm>
#include <set>

#include "assignments/assignment_writer.hpp"
#include "sched/distribute.hpp"
#include "scheduling/cluster_load.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

// Returns the allowed zones in which one task fits on an allowed machine type.
std::set<std::string> feasible_zones(const ControllerState& state, const wire::Submission& submission) {
  std::set<std::string> zones;
  const auto& types = submission.allowed_types;
  for (const auto& machine_type : state.fleet.machine_types) {
    if (types && std::find(types->begin(), types->end(), machine_type.name) == types->end()) continue;
    if (!submission.spec.need.fits_in(machine_type.size)) continue;
    for (const auto& zone : machine_type.zones)
      if (!submission.zone || zone == *submission.zone) zones.insert(zone);
  }
  return zones;
}

// Returns the reason for the longer of the two fields that can make a record exceed the store's value limit.
InfeasibleReason record_too_long_reason(const wire::Submission& submission) {
  std::size_t types_bytes = 0;
  if (submission.allowed_types)
    for (const auto& type : *submission.allowed_types) types_bytes += type.size();
  return types_bytes > submission.image.size() ? InfeasibleReason::types_too_long
                                               : InfeasibleReason::image_too_long;
}

// Builds the job's record: interns its names and distributes its tasks over the partitions.
jobs::JobRecord make_record(ControllerState& state, const wire::Submission& submission, core::TimePoint now,
                            double wall_s) {
  jobs::JobRecord record;
  auto& spec = record.spec;
  spec = submission.spec;
  spec.job_class = state.names.job_classes.intern(submission.job_class);
  spec.team = *state.names.teams.find(submission.team);
  spec.image = state.names.images.intern(submission.image);
  if (submission.zone) spec.zone = state.names.zones.intern(*submission.zone);
  if (submission.allowed_types) {
    spec.allowed_types.emplace();
    for (const auto& name : *submission.allowed_types)
      if (const auto id = state.names.types.find(name); id && state.fleet.machine_type(*id))
        spec.allowed_types->push_back(*id);
  }
  spec.submitted_s = wall_s;
  record.ranges = sched::distribute(spec, scheduling::partition_capacities(state, spec, now));
  return record;
}

}  // namespace

std::string_view error_text(InfeasibleReason reason) {
  switch (reason) {
    case InfeasibleReason::unknown_team:
      return "unknown team";
    case InfeasibleReason::fits_no_machine_type:
      return "a task fits no allowed machine type";
    case InfeasibleReason::over_team_limit:
      return "the job needs more than its team's limit";
    case InfeasibleReason::single_zone_with_spread:
      return "together and scatter exclude each other";
    case InfeasibleReason::spread_needs_second_zone:
      return "scatter needs a second zone that allows its tasks";
    case InfeasibleReason::gang_too_large:
      return "pieces: more than can be recorded to start together";
    case InfeasibleReason::types_too_long:
      return "racks: too long to be recorded";
    case InfeasibleReason::image_too_long:
      return "plate: too long to be recorded";
  }
  return "";
}

std::optional<InfeasibleReason> infeasible_reason(const ControllerState& state,
                                                  const wire::Submission& submission) {
  const auto& spec = submission.spec;
  const auto& teams = state.settings.teams;
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const auto& candidate) { return candidate.name == submission.team; });
  if (team == teams.end()) return InfeasibleReason::unknown_team;
  const auto zones = feasible_zones(state, submission);
  if (zones.empty()) return InfeasibleReason::fits_no_machine_type;
  const double tasks_at_once = spec.needs_all_tasks() ? spec.tasks : 1;
  const sched::TeamQuota unused_quota{{}, team->cpus_max, team->gpus_max};
  if (!unused_quota.allows(spec.need * tasks_at_once)) return InfeasibleReason::over_team_limit;
  const bool spreads = spec.needs_all_tasks() && spec.spread && spec.tasks > 1;
  if (spreads && spec.single_zone) return InfeasibleReason::single_zone_with_spread;
  if (spreads && zones.size() < 2) return InfeasibleReason::spread_needs_second_zone;
  if (spec.is_gang() &&
      spec.tasks > assignments::AssignmentWriter::max_assignments(state.settings.store_limits))
    return InfeasibleReason::gang_too_large;
  return std::nullopt;
}

Admission decide_admission(ControllerState& state, const wire::Submission& submission, core::TimePoint now,
                           double wall_s) {
  if (state.find_job(submission.id)) return AlreadyAccepted{};
  if (!state.cache_loaded || state.fleet.machine_types.empty()) return NotReady{};
  if (const auto reason = infeasible_reason(state, submission)) return Infeasible{*reason};
  if (submission.spec.is_service() && !state.all_members_support(state::kServicesLevel))
    return AwaitingUpgrade{};

  const auto record = make_record(state, submission, now, wall_s);
  for (const auto& range : record.ranges)
    state.cluster_load.waiting_demand.at(range.partition.index) +=
        record.spec.need * static_cast<double>(range.to - range.from);
  auto value = jobs::to_json(record, state.names);
  if (boost::json::serialize(value).size() > state.settings.store_limits.max_value_bytes())
    return Infeasible{record_too_long_reason(submission)};
  Admitted admitted;
  admitted.transaction.compares.push_back({state::keys::job(submission.id), 0});
  admitted.transaction.writes.push_back({state::keys::job(submission.id), std::move(value)});
  return admitted;
}

CancellationDecision decide_cancellation(const ControllerState& state, const std::string& job) {
  const auto id = state.names.jobs.find(job);
  const auto* record = id ? state.cache.job(*id) : nullptr;
  if (!record) return UnknownJob{};
  if (record->status != jobs::Status::live) return AlreadyFinished{*id};
  jobs::JobRecord cancelled;
  cancelled.status = jobs::Status::cancelled;
  cancelled.spec = record->spec;
  Cancellable decision;
  decision.job = *id;
  decision.transaction.compares.push_back({state::keys::job(job), record->revision});
  decision.transaction.writes.push_back({state::keys::job(job), jobs::to_json(cancelled, state.names)});
  return decision;
}

}  // namespace finchrun::gateway
