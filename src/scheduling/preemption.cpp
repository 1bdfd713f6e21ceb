#include "scheduling/preemption.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// Tasks of the partition that could be stopped, and what that would cost.
std::vector<sched::RunningTask> running_in(const ControllerState& w, core::PartitionId partition,
                                           const std::set<core::JobId>& within, core::TimePoint now) {
  constexpr double kGapS = 30;
  constexpr double kYoung = 30;  // a start that is stopped sooner than this was none, to its user
  std::vector<sched::RunningTask> out;
  w.cache.each_named_machine([&](core::MachineId machine, const std::vector<state::MachineAssignment>& list) {
    for (const auto& [id, in_partition, e] : list) {
      if (in_partition != partition) continue;
      const auto* job = w.cache.job(id);
      if (!job || job->status != jobs::Status::live) continue;
      const agent::TaskAttempt start{id, e.task, e.attempt};
      if (w.fleet.preempting.contains(start)) continue;
      if (w.fleet.ended(id, partition, e)) continue;
      const auto seen = w.fleet.confirmed_starts.find(start);
      const double ran = seen == w.fleet.confirmed_starts.end() ? 0 : core::since(seen->second, now);
      sched::RunningTask r;
      r.job = id;
      r.team = job->spec.team;
      r.task = e.task;
      r.attempt = e.attempt;
      r.machine = machine;
      r.need = job->spec.need;
      r.priority = static_cast<int>(job->spec.priority);
      r.gang = job->spec.gang();
      r.within = within.contains(id);
      // What stopping a replica costs is the gap until another one runs, not the time that it has run.
      r.loss_s = job->spec.standing() ? kGapS : job->spec.checkpoint_s > 0 ? job->spec.save_s + 5 : ran;
      if (ran < kYoung) r.loss_s += 20;
      r.left_s = std::max(job->spec.expected_run_s - ran, 0.1 * job->spec.expected_run_s + 1);
      out.push_back(r);
    }
  });
  return out;
}

}  // namespace

// Tasks on machines that the cloud is about to take save what they have and start again elsewhere; a gang as
// a whole.
void evict_from_reclaimed_machines(ControllerState& w) {
  std::set<core::JobId> gangs;
  const auto stop = [&](core::JobId id, const jobs::JobSpec& spec, const jobs::TaskAssignment& e) {
    const double grace = spec.stop_grace_s();
    if (w.fleet.preempting.try_emplace({id, e.task, e.attempt}, grace).second)
      spdlog::info("drain job={} task={} try={} machine={}", w.names.jobs.name(id), e.task, e.attempt,
                   w.names.machines.name(e.machine));
  };
  for (const auto& [id, m] : w.fleet.all()) {
    if (!m.termination_notice_s || !m.partition.valid() || !w.leads(m.partition)) continue;
    for (const auto& placed : w.cache.on_machine(id)) {
      const auto* job = w.cache.job(placed.job);
      if (!job || job->status != jobs::Status::live) continue;
      if (*m.termination_notice_s > job->spec.save_s + 2 * w.settings.report_s + 4) continue;
      if (job->spec.gang()) {
        gangs.insert(placed.job);
      } else {
        stop(placed.job, job->spec, placed.assignment);
      }
    }
  }
  for (const auto id : gangs) {
    w.cache.each_run(id, [&](core::PartitionId partition, const jobs::JobAssignments& run) {
      if (!w.leads(partition)) return;
      for (const auto& e : run.assignments) stop(id, w.cache.job(id)->spec, e);
    });
  }
}

void Preemptor::make_room(core::PartitionId partition, const sched::Plan& plan,
                          std::vector<sched::Demand>& demands, const RoundView& view, std::size_t machines,
                          core::TimePoint now) {
  if (plan.unplaced.empty()) return;
  auto running = state_.with([&](ControllerState& w) { return running_in(w, partition, view.within, now); });
  const auto preemptions =
      sched::preempt(plan.nodes, demands, plan.unplaced, running, plan.teams, view.guarantees);
  for (const auto& e : preemptions) {
    start(e, demands[e.demand], running, now);
    demands[e.demand].has_reservation = true;
  }
  // What this round places runs there too: without it a machine that is being filled seems never to come
  // free.
  for (const auto& p : plan.placements) {
    const auto& d = demands[p.demand];
    sched::RunningTask r;
    r.job = d.job;
    r.machine = p.machine;
    r.need = d.need;
    r.left_s = d.expected_run_s;
    running.push_back(r);
  }
  // Nodes that were just reserved are kept from the gatherers too.
  auto nodes = plan.nodes;
  std::map<core::MachineId, core::JobId> taken;
  for (const auto& e : preemptions)
    for (const auto id : e.machines) taken[id] = demands[e.demand].job;
  for (auto& n : nodes)
    if (const auto t = taken.find(n.id); t != taken.end()) n.reserved_for = t->second;
  const auto reservations =
      sched::reserve_for_gangs(nodes, demands, plan.unplaced, running, plan.teams,
                               tuning_.gang_reservation_delay_s, std::max<std::size_t>(1, machines / 4));
  state_.with([&](ControllerState& w) {
    for (const auto& g : reservations) {
      auto& d = demands[g.demand];
      d.has_reservation = true;
      // Estimates are often wrong: after a while the gang looks for other machines.
      constexpr double kLongest = 60;
      spdlog::info("gather job={} tasks={} machines={} part={} in_s={:.0f}", w.names.jobs.name(d.job),
                   d.tasks.size(), g.machines.size(), w.names.partitions.name(partition), g.in_s);
      for (const auto id : g.machines) {
        auto* m = w.fleet.find(id);
        if (!m) continue;
        m->reserved_for = d.job;
        m->reserved_ready = now + core::secs(g.in_s);
        m->reserved_until = now + core::secs(std::min(kLongest, g.in_s * 1.5 + 2 * w.settings.report_s + 5));
      }
    }
  });
}

void Preemptor::start(const sched::Preemption& e, const sched::Demand& d,
                      const std::vector<sched::RunningTask>& running, core::TimePoint now) {
  std::map<core::MachineId, std::vector<wire::Command>> stops;
  state_.with([&](ControllerState& w) {
    double longest = 0;
    for (const auto v : e.victims) {
      const auto& r = running[v];
      // All of a gang must hear it within gang_peer_s of each other, with time to save.
      const double grace = w.cache.job(r.job)->spec.stop_grace_s();
      longest = std::max(longest, grace);
      w.fleet.preempting[{r.job, r.task, r.attempt}] = grace;
      spdlog::info("preempt job={} task={} try={} machine={} for={}", w.names.jobs.name(r.job), r.task,
                   r.attempt, w.names.machines.name(r.machine), w.names.jobs.name(d.job));
      stops[r.machine].push_back(
          {wire::Command::Kind::stop, w.names.jobs.name(r.job), r.task, r.attempt, grace});
    }
    for (const auto id : e.machines) {
      auto* m = w.fleet.find(id);
      if (!m) continue;
      m->reserved_for = d.job;
      m->reserved_ready = now + core::secs(longest);
      m->reserved_until = now + core::secs(longest + 2 * w.settings.report_s + 4);
    }
  });
  for (auto& [machine, commands] : stops) runtime_.spawn(commands_.send(machine, std::move(commands), {}));
}

}  // namespace finchrun::scheduling
