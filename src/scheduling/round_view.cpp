#include "scheduling/round_view.hpp"

#include "scheduling/preemption.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// Another leader's usage is as last recorded, aged to now; own windows go on from there.
std::vector<double> decayed_usage(ControllerState& w, double wall, double seconds) {
  std::vector<double> usage(w.settings.teams.size(), 0);
  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    const auto& record = w.cache.usage(partition);
    if (w.leads(partition) && w.usage_from[p] != w.fencing_token(partition)) {
      if (!record.windows.empty()) w.usage[p].restore(record.index, record.windows);
      w.usage_from[p] = w.fencing_token(partition);
    }
    if (w.leads(partition)) w.usage[p].roll(wall);
  }
  w.cache.each_run([&](core::JobId id, core::PartitionId partition, const jobs::JobAssignments& run) {
    const auto* job = run.assignments.empty() || !w.leads(partition) ? nullptr : w.cache.job(id);
    if (!job || job->spec.team.index >= usage.size()) return;
    const auto running =
        std::count_if(run.assignments.begin(), run.assignments.end(), [&](const jobs::TaskAssignment& e) {
          return w.fleet.confirmed_starts.contains({id, e.task, e.attempt});
        });
    w.usage[partition.index].add(job->spec.team, job->spec.need.cpus * seconds * static_cast<double>(running),
                                 wall);
  });
  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    std::vector<double> sum;
    if (w.leads(partition)) {
      sum = w.usage[p].decayed();
    } else {
      ledger::UsageWindows theirs(usage.size(), w.tuning.window_s, w.tuning.windows, w.tuning.decay);
      theirs.restore(w.cache.usage(partition).index, w.cache.usage(partition).windows);
      theirs.roll(wall);
      sum = theirs.decayed();
    }
    for (std::size_t i = 0; i < usage.size(); ++i) usage[i] += sum[i];
  }
  return usage;
}

// A limited team with nothing allowed here: 0 would mean no limit.
double limit_here(double limit, double share) { return limit > 0 ? std::max(share, 1e-9) : 0; }

sched::Node node_of(const ControllerState& w, const agent::Machine& m, const cloud::MachineType& machine_type,
                    core::TimePoint now) {
  sched::Node n;
  n.id = m.id;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  n.size = n.free = machine_type.size;
  n.free -= w.used_on(m.id);
  n.fetch_gb_per_s = machine_type.fetch_gb_per_s;
  for (const auto& [image, _] : m.images) n.images.push_back(image);
  std::set<core::ImageId> fetching;
  for (const auto& placed : w.cache.on_machine(m.id)) {
    const auto* job = w.cache.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!m.holds(job->spec.image)) fetching.insert(job->spec.image);
    if (job->spec.standing()) n.replicas.push_back(placed.job);
  }
  n.fetching = fetching.size();
  if (m.cordoned_until > now) n.risk = 30;
  if (m.reserved_until > now) {
    n.reserved_for = m.reserved_for;
    n.reserved_in_s = std::max(0.0, core::since(now, m.reserved_ready));
  }
  return n;
}

// What a job waits for in a partition; nothing if it has nothing to place there now.
std::optional<sched::Demand> demand_of(const ControllerState& w, core::JobId id, core::PartitionId partition,
                                       const WaitingTasks& waiting) {
  constexpr std::size_t kMostTasks = 200;  // of one job in one round: bounds the work here
  const auto& job = *w.cache.job(id);
  const auto& spec = job.spec;
  sched::Demand d;
  // Until every task of its earlier attempt is gone, in whatever partition, a gang can't start again.
  if (spec.gang() && w.cache.placed(id) > 0) return std::nullopt;
  d.tasks = waiting.first(partition, spec.gang() ? spec.tasks : kMostTasks);
  if (d.tasks.empty() || (spec.gang() && d.tasks.size() != spec.tasks)) return std::nullopt;
  d.count = waiting.count(partition);
  d.job = id;
  d.job_revision = job.revision;
  d.team = spec.team;
  d.job_class = spec.job_class;
  d.image = spec.image;
  d.image_gb = spec.image_gb;
  d.need = spec.need;
  d.expected_run_s = spec.expected_run_s;
  d.priority = static_cast<int>(spec.priority);
  d.gang = spec.gang();
  d.standing = spec.standing();
  d.spot = spec.spot;
  d.types = spec.types;
  d.zone = spec.zone;
  // `scatter`: what other partitions of the zone may ever place counts too, so no two leaders need to agree.
  std::uint32_t here = 0;
  for (const auto& r : job.ranges)
    if (r.partition != partition && w.partitions.zone(r.partition) == w.partitions.zone(partition))
      here += r.to - r.from;
  bool elsewhere = false;
  w.cache.each_run(id, [&](core::PartitionId q, const jobs::JobAssignments& r) {
    if (q == partition) here += static_cast<std::uint32_t>(r.assignments.size());
    if (w.partitions.zone(q) != w.partitions.zone(partition)) elsewhere = elsewhere || !r.assignments.empty();
  });
  d.room_in_zone = spec.zone_cap() - std::min(spec.zone_cap(), here);
  // `together`: while any task, of an old attempt too, may be in another zone, none may start here.
  if (spec.one_zone && elsewhere) d.room_in_zone = 0;
  return d;
}

}  // namespace

std::optional<RoundView> build_round_view(ControllerState& w, double round_s, core::TimePoint now) {
  if (!w.loaded || w.fleet.machine_types.empty() || core::since(w.synchronized_at, now) > 2.0)
    return std::nullopt;
  RoundView v;
  const double wall = core::wall_s();
  w.drop_recorded_exits();
  v.shares = w.shares;
  v.attempt = w.cache.newest() + 1;
  const auto used = w.used_by_partition();
  v.used.resize(w.settings.teams.size());
  for (const auto& partition : used)
    for (std::size_t t = 0; t < v.used.size(); ++t) v.used[t] += partition[t];
  for (std::size_t t = 0; t < v.used.size(); ++t)
    v.guarantees.push_back({v.used[t], w.settings.teams[t].cpus, w.settings.teams[t].gpus});
  v.usage = decayed_usage(w, wall, round_s);
  w.observe_job_classes();
  evict_from_reclaimed_machines(w);

  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    if (!w.leads(partition) || w.fence_due[p] || w.cache.revision() < w.fenced_at[p]) continue;
    v.partitions[partition].fencing_token = w.fencing_token(partition);
    auto& rooms = v.partitions[partition].rooms;
    for (std::uint32_t t = 0; t < v.used.size(); ++t) {
      const auto quota_share = w.quota_shares(core::TeamId{t});
      const auto& share = quota_share.share(partition);
      rooms.push_back({used[p][t], limit_here(quota_share.limit().cpus, share.cpus),
                       limit_here(quota_share.limit().gpus, share.gpus)});
    }
  }
  if (v.partitions.empty()) return std::nullopt;
  std::set<core::JobId> reserved;
  for (const auto& [id, m] : w.fleet.all()) {
    if (m.reserved_until > now) reserved.insert(m.reserved_for);
    const auto partition = v.partitions.find(m.partition);
    if (partition == v.partitions.end() || !w.usable(m, now)) continue;
    if (const auto* machine_type = w.fleet.machine_type(m.type))
      partition->second.nodes.push_back(node_of(w, m, *machine_type, now));
  }
  auto job_classes = w.job_classes;
  for (auto& l : job_classes) l.tasks /= static_cast<double>(w.partitions.size());
  for (auto& [_, partition] : v.partitions) sched::mark_scarcity(partition.nodes, job_classes);

  v.within = w.within_guarantee();
  for (const auto id : w.cache.live()) {
    const auto& job = *w.cache.job(id);
    if (job.spec.team.index >= v.used.size()) continue;  // its team is not of this deployment any more
    if (auto t = w.job_failures.find(id); t != w.job_failures.end() && t->second.retry_at > now) continue;
    const WaitingTasks waiting(w.cache, id);
    if (!waiting.any()) continue;
    for (auto& [partition, view] : v.partitions) {
      auto d = demand_of(w, id, partition, waiting);
      if (!d) continue;
      d->waited_s = wall - job.spec.submitted_s;
      d->within = v.within.contains(id);
      d->guaranteed = d->within && d->waited_s >= w.guarantee_grace_s();
      d->deferrable = w.deferrable(job.spec, wall);
      d->has_reservation = reserved.contains(id);
      v.queue.push_back({d->team, d->image, d->need.cpus, d->count});
      view.demands.push_back(v.demands.size());
      v.demands.push_back(std::move(*d));
    }
  }
  return v;
}

}  // namespace finchrun::scheduling
