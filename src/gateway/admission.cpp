#include "gateway/admission.hpp"

#include <algorithm>
#include <set>

#include "assignments/assignment_writer.hpp"
#include "sched/distribute.hpp"
#include "scheduling/cluster_load.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

// Zones in which a task fits some allowed machine type.
std::set<std::string> zones_that_fit(const ControllerState& state, const wire::Submission& submission) {
  std::set<std::string> zones;
  const auto& types = submission.types;
  for (const auto& machine_type : state.fleet.machine_types) {
    if (types && std::find(types->begin(), types->end(), machine_type.name) == types->end()) continue;
    if (!submission.spec.need.fits_in(machine_type.size)) continue;
    for (const auto& zone : machine_type.zones)
      if (!submission.zone || zone == *submission.zone) zones.insert(zone);
  }
  return zones;
}

// The field that takes most of the job's record.
Impossible longest_field(const wire::Submission& submission) {
  std::size_t types_bytes = 0;
  if (submission.types)
    for (const auto& type : *submission.types) types_bytes += type.size();
  return types_bytes > submission.image.size() ? Impossible::types_too_long : Impossible::image_too_long;
}

// The job as it is recorded: names become ids, and the tasks are distributed over the partitions.
jobs::JobRecord make_record(ControllerState& state, const wire::Submission& submission, core::TimePoint now,
                            double wall_s) {
  jobs::JobRecord record;
  auto& spec = record.spec;
  spec = submission.spec;
  spec.job_class = state.names.job_classes.intern(submission.job_class);
  spec.team = *state.names.teams.find(submission.team);
  spec.image = state.names.images.intern(submission.image);
  if (submission.zone) spec.zone = state.names.zones.intern(*submission.zone);
  if (submission.types) {
    spec.types.emplace();
    for (const auto& name : *submission.types)
      if (const auto id = state.names.types.find(name); id && state.fleet.machine_type(*id))
        spec.types->push_back(*id);
  }
  spec.submitted_s = wall_s;
  record.ranges = sched::distribute(spec, scheduling::partition_capacities(state, spec, now));
  return record;
}

}  // namespace

std::string_view text_of(Impossible reason) {
  switch (reason) {
    case Impossible::unknown_team:
      return "unknown team";
    case Impossible::fits_no_machine_type:
      return "a task fits no allowed machine type";
    case Impossible::over_team_limit:
      return "the job needs more than its team's limit";
    case Impossible::one_zone_and_spread:
      return "together and scatter exclude each other";
    case Impossible::no_second_zone:
      return "scatter needs a second zone that allows its tasks";
    case Impossible::too_many_to_start_at_once:
      return "pieces: more than can be recorded to start together";
    case Impossible::types_too_long:
      return "racks: too long to be recorded";
    case Impossible::image_too_long:
      return "plate: too long to be recorded";
  }
  return "";
}

std::optional<Impossible> why_never_runs(const ControllerState& state, const wire::Submission& submission) {
  const auto& spec = submission.spec;
  const auto& teams = state.settings.teams;
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const auto& candidate) { return candidate.name == submission.team; });
  if (team == teams.end()) return Impossible::unknown_team;
  const auto zones = zones_that_fit(state, submission);
  if (zones.empty()) return Impossible::fits_no_machine_type;
  const double tasks_at_once = spec.needs_all_tasks() ? spec.tasks : 1;
  const sched::TeamQuota empty{{}, team->cpus_max, team->gpus_max};
  if (!empty.allows(spec.need * tasks_at_once)) return Impossible::over_team_limit;
  const bool spreads = spec.needs_all_tasks() && spec.spread && spec.tasks > 1;
  if (spreads && spec.one_zone) return Impossible::one_zone_and_spread;
  if (spreads && zones.size() < 2) return Impossible::no_second_zone;
  if (spec.gang() &&
      spec.tasks > assignments::AssignmentWriter::most_assignments(state.settings.state_limits))
    return Impossible::too_many_to_start_at_once;
  return std::nullopt;
}

Admission decide_admission(ControllerState& state, const wire::Submission& submission, core::TimePoint now,
                           double wall_s) {
  if (state.find_job(submission.id)) return AlreadyKnown{};
  if (!state.loaded || state.fleet.machine_types.empty()) return NotReady{};
  if (const auto reason = why_never_runs(state, submission)) return NeverRuns{*reason};
  if (submission.spec.standing() && !state.all_members_know(state::kServicesLevel))
    return TooEarlyForUpgrade{};

  const auto record = make_record(state, submission, now, wall_s);
  for (const auto& range : record.ranges)
    state.load.waiting.at(range.partition.index) +=
        record.spec.need * static_cast<double>(range.to - range.from);
  auto value = jobs::to_json(record, state.names);
  if (boost::json::serialize(value).size() > state.settings.state_limits.value_bytes())
    return NeverRuns{longest_field(submission)};
  Admitted admitted;
  admitted.transaction.compares.push_back({state::keys::job(submission.id), 0});
  admitted.transaction.writes.push_back({state::keys::job(submission.id), std::move(value)});
  return admitted;
}

CancellationDecision decide_cancellation(const ControllerState& state, const std::string& job) {
  const auto id = state.names.jobs.find(job);
  const auto* known = id ? state.cache.job(*id) : nullptr;
  if (!known) return UnknownJob{};
  if (known->status != jobs::Status::live) return AlreadyOver{*id};
  jobs::JobRecord cancelled;
  cancelled.status = jobs::Status::cancelled;
  cancelled.spec = known->spec;
  Cancellable decision;
  decision.job = *id;
  decision.transaction.compares.push_back({state::keys::job(job), known->revision});
  decision.transaction.writes.push_back({state::keys::job(job), jobs::to_json(cancelled, state.names)});
  return decision;
}

}  // namespace finchrun::gateway
