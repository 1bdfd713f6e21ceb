#include "scheduling/round_view.hpp"

#include <algorithm>

#include "controller/quota_usage.hpp"
#include "scheduling/preemption.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// A copy of the store that is older than this is not decided from.
constexpr double kMaxCacheAgeS = 2.0;

// Of one job in one partition and round: bounds the work here. A gang is looked at as a whole.
constexpr std::size_t kMostTasksOfJob = 200;

// On a cordoned machine (starts have failed there lately) a start is expected to cost this much more.
constexpr double kCordonedRiskS = 30;

// A limited team with nothing allowed in a partition: 0 would mean no limit.
constexpr double kLeastLimit = 1e-9;

template <class F>
void each_partition(const ControllerState& state, F&& f) {
  for (std::uint32_t p = 0; p < state.partitions.size(); ++p) f(core::PartitionId{p});
}

// Brings the usage windows of our partitions up to now; those of a new leadership go on from what the earlier
// leader recorded.
void roll_own_usage(ControllerState& state, double wall_s) {
  each_partition(state, [&](core::PartitionId partition) {
    if (!state.leads(partition)) return;
    auto& usage = state.usage[partition.index];
    auto& usage_from = state.usage_from[partition.index];
    if (usage_from != state.fencing_token(partition)) {
      const auto& record = state.cache.usage(partition);
      if (!record.windows.empty()) usage.restore(record.index, record.windows);
      usage_from = state.fencing_token(partition);
    }
    usage.roll(wall_s);
  });
}

// Books the core-seconds of what runs in our partitions: `seconds` for each task that a heartbeat has shown.
void book_usage(ControllerState& state, double wall_s, double seconds) {
  const auto teams = state.settings.teams.size();
  state.cache.for_each_assignments([&](core::JobId id, core::PartitionId partition, const jobs::JobAssignments& run) {
    if (run.assignments.empty() || !state.leads(partition)) return;
    const auto* job = state.cache.job(id);
    if (!job || job->spec.team.index >= teams) return;
    const auto running = std::count_if(
        run.assignments.begin(), run.assignments.end(), [&](const jobs::TaskAssignment& assignment) {
          return state.fleet.confirmed_starts.contains({id, assignment.task, assignment.attempt});
        });
    state.usage[partition.index].add(job->spec.team,
                                     job->spec.need.cpus * seconds * static_cast<double>(running), wall_s);
  });
}

// Usage by team in one partition. Another leader's is as last recorded, aged to now.
std::vector<double> decayed_usage_in(const ControllerState& state, core::PartitionId partition,
                                     double wall_s) {
  if (state.leads(partition)) return state.usage[partition.index].decayed();
  const auto& record = state.cache.usage(partition);
  const auto& tuning = state.tuning;
  ledger::UsageWindows windows(state.settings.teams.size(), tuning.window_s, tuning.windows, tuning.decay);
  windows.restore(record.index, record.windows);
  windows.roll(wall_s);
  return windows.decayed();
}

std::vector<double> decayed_usage(const ControllerState& state, double wall_s) {
  std::vector<double> usage(state.settings.teams.size(), 0);
  each_partition(state, [&](core::PartitionId partition) {
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

// We lead it, and know everything that was written before its fence moved last.
bool may_place_in(const ControllerState& state, core::PartitionId partition) {
  return state.leads(partition) && !state.fence_due[partition.index] &&
         state.cache.revision() >= state.fenced_at[partition.index];
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
  each_partition(state, [&](core::PartitionId partition) {
    if (!may_place_in(state, partition)) return;
    auto& partition_view = view.partitions[partition];
    partition_view.fencing_token = state.fencing_token(partition);
    partition_view.team_quotas = team_quotas_in(state, partition, used[partition.index]);
  });
}

void add_nodes(const ControllerState& state, core::TimePoint now, RoundView& view) {
  for (const auto& [id, machine] : state.fleet.all()) {
    const auto partition = view.partitions.find(machine.partition);
    if (partition == view.partitions.end() || !state.usable(machine, now)) continue;
    if (const auto* machine_type = state.fleet.machine_type(machine.type))
      partition->second.nodes.push_back(node_of(state, machine, *machine_type, now));
  }
  // The profiles are of all partitions; each sees its even part of the tasks.
  auto job_classes = state.job_classes;
  for (auto& job_class : job_classes) job_class.tasks /= static_cast<double>(state.partitions.size());
  for (auto& [_, partition] : view.partitions) sched::mark_scarcity(partition.nodes, job_classes);
}

// Jobs that have a reservation on some machine.
std::set<core::JobId> jobs_with_reservation(const ControllerState& state, core::TimePoint now) {
  std::set<core::JobId> jobs;
  for (const auto& [_, machine] : state.fleet.all())
    if (machine.reserved_until > now) jobs.insert(machine.reserved_for);
  return jobs;
}

// After failures of its tasks a job waits for a while.
bool may_start_now(const ControllerState& state, core::JobId id, core::TimePoint now) {
  const auto failures = state.job_failures.find(id);
  return failures == state.job_failures.end() || failures->second.retry_at <= now;
}

void add_demands(const ControllerState& state, double wall_s, core::TimePoint now, RoundView& view) {
  const auto reserved = jobs_with_reservation(state, now);
  for (const auto id : state.cache.live_jobs()) {
    const auto& spec = state.cache.job(id)->spec;
    // Its team may not be of this deployment any more.
    if (spec.team.index >= view.used_by_team.size() || !may_start_now(state, id, now)) continue;
    const WaitingTasks waiting(state.cache, id);
    if (!waiting.any()) continue;
    for (auto& [partition, partition_view] : view.partitions) {
      auto demand = demand_of(state, id, partition, waiting);
      if (!demand) continue;
      demand->waited_s = wall_s - spec.submitted_s;
      demand->within = view.within_guarantee.contains(id);
      demand->guaranteed = demand->within && demand->waited_s >= state.guarantee_grace_s();
      demand->deferrable = state.deferrable(spec, wall_s);
      demand->has_reservation = reserved.contains(id);
      view.queue.push_back({demand->team, demand->image, demand->need.cpus, demand->count});
      partition_view.demands.push_back(view.demands.size());
      view.demands.push_back(std::move(*demand));
    }
  }
}

// A task of the job may be on a machine of another zone than the partition's.
bool runs_in_other_zone(const ControllerState& state, core::JobId id, core::PartitionId partition) {
  bool elsewhere = false;
  state.cache.for_each_assignments(id, [&](core::PartitionId other, const jobs::JobAssignments& run) {
    elsewhere = elsewhere || (state.partitions.zone(other) != state.partitions.zone(partition) &&
                              !run.assignments.empty());
  });
  return elsewhere;
}

}  // namespace

double limit_in_partition(double team_limit, double share) {
  return team_limit > 0 ? std::max(share, kLeastLimit) : 0;
}

sched::Node node_of(const ControllerState& state, const agent::Machine& machine,
                    const cloud::MachineType& machine_type, core::TimePoint now) {
  sched::Node node;
  node.id = machine.id;
  node.type = machine.type;
  node.zone = machine.zone;
  node.spot = machine.spot;
  node.size = machine_type.size;
  node.free = machine_type.size;
  node.free -= state.used_on(machine.id);
  node.fetch_gb_per_s = machine_type.fetch_gb_per_s;
  for (const auto& [image, _] : machine.images) node.images.push_back(image);
  std::set<core::ImageId> fetching;
  for (const auto& placed : state.cache.on_machine(machine.id)) {
    const auto* job = state.cache.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!machine.holds(job->spec.image)) fetching.insert(job->spec.image);
    if (job->spec.standing()) node.replicas.push_back(placed.job);
  }
  node.fetching = fetching.size();
  if (machine.cordoned_until > now) node.risk_s = kCordonedRiskS;
  if (machine.reserved_until > now) {
    node.reserved_for = machine.reserved_for;
    node.reserved_in_s = std::max(0.0, core::seconds_between(now, machine.reserved_ready));
  }
  return node;
}

std::uint32_t room_in_zone(const ControllerState& state, core::JobId id, core::PartitionId partition) {
  const auto& job = *state.cache.job(id);
  // `together` of the job's request: while any task, of an old attempt too, may be in another zone, none may
  // start here.
  if (job.spec.one_zone && runs_in_other_zone(state, id, partition)) return 0;
  // `scatter` of the request: what other partitions of the zone may ever place counts too, so no two leaders
  // need to agree.
  std::uint32_t in_zone = 0;
  for (const auto& range : job.ranges)
    if (range.partition != partition &&
        state.partitions.zone(range.partition) == state.partitions.zone(partition))
      in_zone += range.to - range.from;
  state.cache.for_each_assignments(id, [&](core::PartitionId other, const jobs::JobAssignments& run) {
    if (other == partition) in_zone += static_cast<std::uint32_t>(run.assignments.size());
  });
  const auto cap = job.spec.zone_cap();
  return cap - std::min(cap, in_zone);
}

std::optional<sched::Demand> demand_of(const ControllerState& state, core::JobId id,
                                       core::PartitionId partition, const WaitingTasks& waiting) {
  const auto& job = *state.cache.job(id);
  const auto& spec = job.spec;
  // Until every task of its earlier attempt is gone, in whatever partition, a gang can't start again.
  if (spec.gang() && state.cache.placed_tasks(id) > 0) return std::nullopt;
  sched::Demand demand;
  demand.tasks = waiting.first(partition, spec.gang() ? spec.tasks : kMostTasksOfJob);
  if (demand.tasks.empty() || (spec.gang() && demand.tasks.size() != spec.tasks)) return std::nullopt;
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
  demand.gang = spec.gang();
  demand.standing = spec.standing();
  demand.spot = spec.spot;
  demand.types = spec.types;
  demand.zone = spec.zone;
  demand.room_in_zone = room_in_zone(state, id, partition);
  return demand;
}

std::optional<RoundView> build_round_view(ControllerState& state, double round_s, core::TimePoint now) {
  if (!state.loaded || state.fleet.machine_types.empty() ||
      core::seconds_between(state.synchronized_at, now) > kMaxCacheAgeS)
    return std::nullopt;
  const double wall_s = core::unix_time_s();
  state.drop_recorded_exits();
  const auto used = state.used_by_partition();
  RoundView view;
  view.attempt = state.cache.newest_revision() + 1;
  view.team_shares = state.shares;
  view.used_by_team = controller::sum_by_team(used, state.settings.teams.size());
  view.guarantees = guarantees_of(state.settings.teams, view.used_by_team);
  roll_own_usage(state, wall_s);
  book_usage(state, wall_s, round_s);
  view.decayed_usage = decayed_usage(state, wall_s);
  state.observe_job_classes();
  evict_from_reclaimed_machines(state);
  add_partitions(state, used, view);
  if (view.partitions.empty()) return std::nullopt;
  add_nodes(state, now, view);
  view.within_guarantee = state.within_guarantee();
  add_demands(state, wall_s, now, view);
  return view;
}

}  // namespace finchrun::scheduling
