#include "scheduling/round_view.hpp"

#include <algorithm>

#include "controller/quota_usage.hpp"
#include "scheduling/preemption.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// Scheduling decisions require a state cache that is synchronized within this time.
constexpr double kMaxCacheAgeS = 2.0;

// Per array or service, partition and round, to limit the work. Gangs are considered as a whole.
constexpr std::size_t kMaxTasksPerJob = 200;

// The expected additional start time on a cordoned machine, where starts have failed recently.
constexpr double kCordonedStartDelayS = 30;

// Replaces a share of 0 of a limited team, since a limit of 0 means unlimited.
constexpr double kMinLimit = 1e-9;

template <class F>
void for_each_partition(const ControllerState& state, F&& f) {
  for (std::uint32_t p = 0; p < state.partitions.size(); ++p) f(core::PartitionId{p});
}

// Advances the usage windows of the partitions that this controller leads to `wall_s`. After a change of
// leadership, continues from the record of the earlier leader.
void advance_usage_windows(ControllerState& state, double wall_s) {
  for_each_partition(state, [&](core::PartitionId partition) {
    if (!state.leads(partition)) return;
    auto& usage = state.usage[partition.index];
    auto& usage_token = state.usage_fencing_tokens[partition.index];
    if (usage_token != state.fencing_token(partition)) {
      const auto& record = state.cache.usage(partition);
      if (!record.windows.empty()) usage.restore(record.index, record.windows);
      usage_token = state.fencing_token(partition);
    }
    usage.advance(wall_s);
  });
}

// Adds `seconds` of usage for each task that heartbeats have confirmed in the partitions that this controller
// leads.
void account_usage(ControllerState& state, double wall_s, double seconds) {
  const auto teams = state.settings.teams.size();
  state.cache.for_each_assignments(
      [&](core::JobId id, core::PartitionId partition, const jobs::JobAssignments& recorded) {
        if (recorded.assignments.empty() || !state.leads(partition)) return;
        const auto* job = state.cache.job(id);
        if (!job || job->spec.team.index >= teams) return;
        const auto running = std::count_if(
            recorded.assignments.begin(), recorded.assignments.end(),
            [&](const jobs::TaskAssignment& assignment) {
              return state.fleet.confirmed_starts.contains({id, assignment.task, assignment.attempt});
            });
        state.usage[partition.index].add(
            job->spec.team, job->spec.need.cpus * seconds * static_cast<double>(running), wall_s);
      });
}

// Returns the decayed usage by team in one partition; for another leader's partition from its last record.
std::vector<double> decayed_usage_in(const ControllerState& state, core::PartitionId partition,
                                     double wall_s) {
  if (state.leads(partition)) return state.usage[partition.index].decayed();
  const auto& record = state.cache.usage(partition);
  const auto& tuning = state.tuning;
  ledger::UsageWindows windows(state.settings.teams.size(), tuning.usage_window_s, tuning.usage_windows,
                               tuning.usage_decay);
  windows.restore(record.index, record.windows);
  windows.advance(wall_s);
  return windows.decayed();
}

std::vector<double> decayed_usage(const ControllerState& state, double wall_s) {
  std::vector<double> usage(state.settings.teams.size(), 0);
  for_each_partition(state, [&](core::PartitionId partition) {
    const auto here = decayed_usage_in(state, partition, wall_s);
    for (std::size_t team = 0; team < usage.size(); ++team) usage[team] += here[team];
  });
  return usage;
}

std::vector<sched::GuaranteeUsage> guarantees_of(const std::vector<config::Team>& teams,
                                                 const std::vector<core::Resources>& used) {
  std::vector<sched::GuaranteeUsage> guarantees;
  guarantees.reserve(used.size());
  for (std::size_t team = 0; team < used.size(); ++team)
    guarantees.push_back({used[team], teams[team].cpus, teams[team].gpus});
  return guarantees;
}

// `used`: by team, in this partition.
std::vector<sched::TeamQuota> team_quotas_in(const ControllerState& state, core::PartitionId partition,
                                             const std::vector<core::Resources>& used) {
  std::vector<sched::TeamQuota> quotas;
  for (std::uint32_t team = 0; team < state.settings.teams.size(); ++team) {
    const auto quota_shares = state.quota_shares(core::TeamId{team});
    const auto& share = quota_shares.share(partition);
    quotas.push_back({used[team], limit_in_partition(quota_shares.limit().cpus, share.cpus),
                      limit_in_partition(quota_shares.limit().gpus, share.gpus)});
  }
  return quotas;
}

void add_partitions(const ControllerState& state, const std::vector<std::vector<core::Resources>>& used,
                    RoundView& view) {
  for_each_partition(state, [&](core::PartitionId partition) {
    if (!state.may_decide_for(partition)) return;
    auto& partition_view = view.partitions[partition];
    partition_view.fencing_token = state.fencing_token(partition);
    partition_view.team_quotas = team_quotas_in(state, partition, used[partition.index]);
  });
}

void add_nodes(const ControllerState& state, core::TimePoint now, RoundView& view) {
  for (const auto& [id, machine] : state.fleet.machines()) {
    const auto partition = view.partitions.find(machine.partition);
    if (partition == view.partitions.end() || !state.is_schedulable(machine, now)) continue;
    if (const auto* machine_type = state.fleet.machine_type(machine.type))
      partition->second.nodes.push_back(make_node(state, machine, *machine_type, now));
  }
  // Profiles cover all partitions; assumes an equal part of the tasks in each.
  auto job_classes = state.job_class_profiles;
  for (auto& job_class : job_classes) job_class.active_tasks /= static_cast<double>(state.partitions.size());
  for (auto& [_, partition] : view.partitions) sched::compute_scarcity(partition.nodes, job_classes);
}

std::set<core::JobId> jobs_with_reservation(const ControllerState& state, core::TimePoint now) {
  std::set<core::JobId> jobs;
  for (const auto& [_, machine] : state.fleet.machines())
    if (machine.reservation_expires_at > now) jobs.insert(machine.reserved_for);
  return jobs;
}

// Returns false during the backoff after failures of the job's tasks.
bool may_start_now(const ControllerState& state, core::JobId id, core::TimePoint now) {
  const auto failures = state.job_failures.find(id);
  return failures == state.job_failures.end() || failures->second.retry_at <= now;
}

void add_demands(const ControllerState& state, double wall_s, core::TimePoint now, RoundView& view) {
  const auto reserved = jobs_with_reservation(state, now);
  for (const auto id : state.cache.live_jobs()) {
    const auto& spec = state.cache.job(id)->spec;
    // The team may have been removed from the settings.
    if (spec.team.index >= view.used_by_team.size() || !may_start_now(state, id, now)) continue;
    const WaitingTasks waiting(state.cache, id);
    if (!waiting.has_waiting()) continue;
    for (auto& [partition, partition_view] : view.partitions) {
      auto demand = make_demand(state, id, partition, waiting);
      if (!demand) continue;
      demand->waited_s = wall_s - spec.submitted_s;
      demand->within_guarantee = view.jobs_within_guarantee.contains(id);
      demand->may_claim_guarantee = demand->within_guarantee && demand->waited_s >= state.guarantee_grace_s();
      demand->deferrable = state.is_deferrable(spec, wall_s);
      demand->has_reservation = reserved.contains(id);
      view.queue.push_back({demand->team, demand->image, demand->need.cpus, demand->count});
      partition_view.demands.push_back(view.demands.size());
      view.demands.push_back(std::move(*demand));
    }
  }
}

// Returns true if a task of the job may be on a machine of another zone than the partition's.
bool may_run_in_other_zone(const ControllerState& state, core::JobId id, core::PartitionId partition) {
  bool elsewhere = false;
  state.cache.for_each_assignments(id, [&](core::PartitionId other, const jobs::JobAssignments& recorded) {
    elsewhere = elsewhere || (state.partitions.zone(other) != state.partitions.zone(partition) &&
                              !recorded.assignments.empty());
  });
  return elsewhere;
}

}  // namespace

double limit_in_partition(double team_limit, double share) {
  return team_limit > 0 ? std::max(share, kMinLimit) : 0;
}

sched::Node make_node(const ControllerState& state, const agent::Machine& machine,
                      const cloud::MachineType& machine_type, core::TimePoint now) {
  sched::Node node;
  node.id = machine.id;
  node.type = machine.type;
  node.zone = machine.zone;
  node.spot = machine.spot;
  node.size = machine_type.size;
  node.free = machine_type.size;
  node.free -= state.allocated_on(machine.id);
  node.fetch_gb_per_s = machine_type.fetch_gb_per_s;
  for (const auto& [image, _] : machine.cached_images) node.images.push_back(image);
  std::set<core::ImageId> fetching;
  for (const auto& placed : state.cache.on_machine(machine.id)) {
    const auto* job = state.cache.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!machine.has_image(job->spec.image)) fetching.insert(job->spec.image);
    if (job->spec.is_service()) node.replicas.push_back(placed.job);
  }
  node.fetches_in_progress = fetching.size();
  if (machine.cordoned_until > now) node.start_delay_s = kCordonedStartDelayS;
  if (machine.reservation_expires_at > now) {
    node.reserved_for = machine.reserved_for;
    node.reservation_starts_in_s = std::max(0.0, core::seconds_between(now, machine.reservation_ready_at));
  }
  return node;
}

std::uint32_t zone_headroom(const ControllerState& state, core::JobId id, core::PartitionId partition) {
  const auto& job = *state.cache.job(id);
  // No task of a single-zone job may start here while any task, including old attempts, may be in another
  // zone.
  if (job.spec.single_zone && may_run_in_other_zone(state, id, partition)) return 0;
  // `spread` limits the tasks in a zone. Counts all tasks that other partitions in the zone may place, so
  // that leaders need no coordination.
  std::uint32_t in_zone = 0;
  for (const auto& range : job.ranges)
    if (range.partition != partition &&
        state.partitions.zone(range.partition) == state.partitions.zone(partition))
      in_zone += range.to - range.from;
  state.cache.for_each_assignments(id, [&](core::PartitionId other, const jobs::JobAssignments& recorded) {
    if (other == partition) in_zone += static_cast<std::uint32_t>(recorded.assignments.size());
  });
  const auto zone_limit = job.spec.max_tasks_per_zone();
  return zone_limit - std::min(zone_limit, in_zone);
}

std::optional<sched::Demand> make_demand(const ControllerState& state, core::JobId id,
                                         core::PartitionId partition, const WaitingTasks& waiting) {
  const auto& job = *state.cache.job(id);
  const auto& spec = job.spec;
  // A gang cannot restart until all tasks of its earlier attempt have ended in all partitions.
  if (spec.is_gang() && state.cache.placed_tasks(id) > 0) return std::nullopt;
  sched::Demand demand;
  demand.tasks = waiting.first_tasks(partition, spec.is_gang() ? spec.tasks : kMaxTasksPerJob);
  if (demand.tasks.empty() || (spec.is_gang() && demand.tasks.size() != spec.tasks)) return std::nullopt;
  demand.count = waiting.count(partition);
  demand.job = id;
  demand.job_revision = job.revision;
  demand.team = spec.team;
  demand.job_class = spec.job_class;
  demand.image = spec.image;
  demand.image_gb = spec.image_gb;
  demand.need = spec.need;
  demand.expected_run_s = spec.expected_run_s;
  demand.priority = static_cast<int>(spec.priority);
  demand.gang = spec.is_gang();
  demand.is_service = spec.is_service();
  demand.spot = spec.spot;
  demand.allowed_types = spec.allowed_types;
  demand.zone = spec.zone;
  demand.zone_headroom = zone_headroom(state, id, partition);
  return demand;
}

std::optional<RoundView> build_round_view(ControllerState& state, double round_s, core::TimePoint now) {
  if (!state.cache_loaded || state.fleet.machine_types.empty() ||
      core::seconds_between(state.synchronized_at, now) > kMaxCacheAgeS)
    return std::nullopt;
  const double wall_s = core::unix_time_s();
  state.drop_recorded_exits();
  const auto used = state.used_by_partition();
  RoundView view;
  view.attempt = state.cache.newest_revision() + 1;
  view.team_shares = state.fair_share_weights;
  view.used_by_team = controller::sum_by_team(used, state.settings.teams.size());
  view.guarantees = guarantees_of(state.settings.teams, view.used_by_team);
  advance_usage_windows(state, wall_s);
  account_usage(state, wall_s, round_s);
  view.decayed_usage = decayed_usage(state, wall_s);
  state.update_job_class_profiles();
  evict_from_reclaimed_machines(state);
  add_partitions(state, used, view);
  if (view.partitions.empty()) return std::nullopt;
  add_nodes(state, now, view);
  view.jobs_within_guarantee = state.jobs_within_guarantee();
  add_demands(state, wall_s, now, view);
  return view;
}

}  // namespace finchrun::scheduling
