#include "scheduling/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// Stopping a replica costs the gap until its replacement runs, not its run time so far.
constexpr double kReplicaRestartGapS = 30;
// Stopping a task younger than this costs extra, since its user has hardly gained from the start.
constexpr double kYoungTaskMaxAgeS = 30;
constexpr double kYoungTaskExtraCostS = 20;
// The cost of restarting from a checkpoint, in addition to the time to save it.
constexpr double kRestartCostS = 5;
// The minimum remaining run time of a task that has run longer than estimated: a fraction of the estimate,
// and a constant.
constexpr double kMinRemainingFraction = 0.1;
constexpr double kMinRemainingS = 1;

// The time for a stop command to reach its machine and for the exit to be reported: one heartbeat each, and
// some slack.
constexpr double kHeartbeatsForStop = 2;
constexpr double kStopSlackS = 4;

// A gang's reservation lasts for its expected waiting time with a margin, up to a maximum. If the estimate
// was wrong, the reservation expires and the gang can get other machines.
constexpr double kReservationMargin = 1.5;
constexpr double kReservationSlackS = 5;
constexpr double kMaxReservationS = 60;

// At most one machine in this many is reserved for gangs in a partition.
constexpr std::size_t kReservableMachinesDivisor = 4;

void reserve_machine(ControllerState& state, core::MachineId id, core::JobId job, double ready_in_s,
                     double duration_s, core::TimePoint now) {
  auto* machine = state.fleet.find(id);
  if (!machine) return;
  machine->reserved_for = job;
  machine->reservation_ready_at = now + core::to_duration(ready_in_s);
  machine->reservation_expires_at = now + core::to_duration(duration_s);
}

// Returns the run time since a heartbeat first reported the task, or 0 if none has.
double ran_s(const ControllerState& state, const agent::TaskAttempt& attempt, core::TimePoint now) {
  const auto confirmed = state.fleet.confirmed_starts.find(attempt);
  return confirmed == state.fleet.confirmed_starts.end() ? 0 : core::seconds_between(confirmed->second, now);
}

// Returns nullopt if the task cannot be preempted: its job is over, or it is being stopped or has ended.
std::optional<sched::RunningTask> running_task(const ControllerState& state, core::MachineId machine,
                                               const state::MachineAssignment& on_machine,
                                               const std::set<core::JobId>& within_guarantee,
                                               core::TimePoint now) {
  const auto& [id, partition, assignment] = on_machine;
  const auto* job = state.cache.job(id);
  if (!job || job->status != jobs::Status::live) return std::nullopt;
  const agent::TaskAttempt attempt{id, assignment.task, assignment.attempt};
  if (state.fleet.preempting.contains(attempt) || state.fleet.has_ended(id, partition, assignment))
    return std::nullopt;
  const double ran = ran_s(state, attempt, now);
  sched::RunningTask task;
  task.job = id;
  task.team = job->spec.team;
  task.task = assignment.task;
  task.attempt = assignment.attempt;
  task.machine = machine;
  task.need = job->spec.need;
  task.priority = static_cast<int>(job->spec.priority);
  task.gang = job->spec.is_gang();
  task.within_guarantee = within_guarantee.contains(id);
  task.stop_cost_s = stop_cost_s(job->spec, ran);
  task.remaining_s = remaining_s(job->spec, ran);
  return task;
}

// Adds the tasks that the round has placed. Without them, the resources that they use would never appear to
// become free.
void append_placed(const sched::Plan& plan, const std::vector<sched::Demand>& demands,
                   std::vector<sched::RunningTask>& running) {
  for (const auto& placement : plan.placements) {
    const auto& demand = demands[placement.demand];
    sched::RunningTask task;
    task.job = demand.job;
    task.machine = placement.machine;
    task.need = demand.need;
    task.remaining_s = demand.expected_run_s;
    running.push_back(task);
  }
}

// Adds reservations for the demands that preemption makes room for.
std::vector<sched::Node> nodes_with_reservations(const std::vector<sched::Preemption>& preemptions,
                                                 const sched::Plan& plan,
                                                 const std::vector<sched::Demand>& demands) {
  std::map<core::MachineId, core::JobId> reserved;
  for (const auto& preemption : preemptions)
    for (const auto machine : preemption.machines) reserved[machine] = demands[preemption.demand].job;
  auto nodes = plan.nodes;
  for (auto& node : nodes)
    if (const auto found = reserved.find(node.id); found != reserved.end()) node.reserved_for = found->second;
  return nodes;
}

void evict_gracefully(ControllerState& state, core::JobId id, const jobs::TaskAssignment& assignment) {
  const double grace_s = state.cache.job(id)->spec.stop_grace_s();
  if (state.fleet.preempting.try_emplace({id, assignment.task, assignment.attempt}, grace_s).second)
    spdlog::info("graceful eviction job={} task={} attempt={} machine={} grace_s={:.0f} reason=reclaimed",
                 state.names.jobs.name(id), assignment.task, assignment.attempt,
                 state.names.machines.name(assignment.machine), grace_s);
}

// Evicts the tasks that must leave the machine now. Adds gangs to `gangs` instead of evicting their tasks.
void evict_from(ControllerState& state, core::MachineId machine, double termination_notice_s,
                std::set<core::JobId>& gangs) {
  for (const auto& placed : state.cache.on_machine(machine)) {
    const auto* job = state.cache.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!must_evict(termination_notice_s, job->spec, state.settings.heartbeat_interval_s)) continue;
    if (job->spec.is_gang()) {
      gangs.insert(placed.job);
    } else {
      evict_gracefully(state, placed.job, placed.assignment);
    }
  }
}

}  // namespace

double stop_cost_s(const jobs::JobSpec& spec, double ran_s) {
  const double lost_s = spec.is_service()                ? kReplicaRestartGapS
                        : spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s + kRestartCostS
                                                         : ran_s;
  return ran_s < kYoungTaskMaxAgeS ? lost_s + kYoungTaskExtraCostS : lost_s;
}

double remaining_s(const jobs::JobSpec& spec, double ran_s) {
  return std::max(spec.expected_run_s - ran_s, kMinRemainingFraction * spec.expected_run_s + kMinRemainingS);
}

bool must_evict(double termination_notice_s, const jobs::JobSpec& spec, double heartbeat_s) {
  return termination_notice_s <= spec.checkpoint_save_s + kHeartbeatsForStop * heartbeat_s + kStopSlackS;
}

std::vector<sched::RunningTask> running_tasks(const ControllerState& state, core::PartitionId partition,
                                              const std::set<core::JobId>& within_guarantee,
                                              core::TimePoint now) {
  std::vector<sched::RunningTask> running;
  state.cache.for_each_assigned_machine(
      [&](core::MachineId machine, const std::vector<state::MachineAssignment>& on_machine) {
        for (const auto& placed : on_machine) {
          if (placed.partition != partition) continue;
          if (const auto task = running_task(state, machine, placed, within_guarantee, now))
            running.push_back(*task);
        }
      });
  return running;
}

void evict_from_reclaimed_machines(ControllerState& state) {
  std::set<core::JobId> gangs;
  for (const auto& [id, machine] : state.fleet.machines()) {
    if (!machine.termination_notice_s || !machine.partition.valid() || !state.leads(machine.partition))
      continue;
    evict_from(state, id, *machine.termination_notice_s, gangs);
  }
  for (const auto id : gangs) {
    state.cache.for_each_assignments(id,
                                     [&](core::PartitionId partition, const jobs::JobAssignments& recorded) {
                                       if (!state.leads(partition)) return;
                                       for (const auto& assignment : recorded.assignments)
                                         evict_gracefully(state, id, assignment);
                                     });
  }
}

void Preemptor::make_room(core::PartitionId partition, const sched::Plan& plan,
                          std::vector<sched::Demand>& demands, const RoundView& view, std::size_t machines,
                          core::TimePoint now) {
  if (plan.unplaced.empty()) return;
  auto running = state_.with([&](ControllerState& state) {
    return running_tasks(state, partition, view.jobs_within_guarantee, now);
  });
  const auto preemptions =
      sched::preempt(plan.nodes, demands, plan.unplaced, running, plan.team_quotas, view.guarantees);
  for (const auto& preemption : preemptions) {
    start_preemption(preemption, demands[preemption.demand], running, now);
    demands[preemption.demand].has_reservation = true;
  }
  append_placed(plan, demands, running);
  const auto max_machines = std::max<std::size_t>(1, machines / kReservableMachinesDivisor);
  start_reservations(
      partition,
      sched::reserve_for_gangs(nodes_with_reservations(preemptions, plan, demands), demands, plan.unplaced,
                               running, plan.team_quotas, tuning_.gang_reservation_delay_s, max_machines),
      demands, now);
}

void Preemptor::start_reservations(core::PartitionId partition,
                                   const std::vector<sched::Reservation>& reservations,
                                   std::vector<sched::Demand>& demands, core::TimePoint now) {
  state_.with([&](ControllerState& state) {
    for (const auto& reservation : reservations) {
      auto& demand = demands[reservation.demand];
      demand.has_reservation = true;
      spdlog::info("gang reservation started job={} tasks={} machines={} partition={} ready_in_s={:.0f}",
                   state.names.jobs.name(demand.job), demand.tasks.size(), reservation.machines.size(),
                   state.names.partitions.name(partition), reservation.ready_in_s);
      const double duration_s =
          std::min(kMaxReservationS, reservation.ready_in_s * kReservationMargin +
                                         kHeartbeatsForStop * state.settings.heartbeat_interval_s +
                                         kReservationSlackS);
      for (const auto machine : reservation.machines)
        reserve_machine(state, machine, demand.job, reservation.ready_in_s, duration_s, now);
    }
  });
}

void Preemptor::start_preemption(const sched::Preemption& preemption, const sched::Demand& demand,
                                 const std::vector<sched::RunningTask>& running, core::TimePoint now) {
  std::map<core::MachineId, std::vector<wire::Command>> stops;
  state_.with([&](ControllerState& state) {
    double longest_grace_s = 0;
    for (const auto index : preemption.victims) {
      const auto& victim = running[index];
      // All tasks of a gang must receive the stop within `gang_peer_s` of each other, with time to save.
      const double grace_s = state.cache.job(victim.job)->spec.stop_grace_s();
      longest_grace_s = std::max(longest_grace_s, grace_s);
      state.fleet.preempting[{victim.job, victim.task, victim.attempt}] = grace_s;
      const auto& job = state.names.jobs.name(victim.job);
      spdlog::info("preempting job={} task={} attempt={} machine={} grace_s={:.0f} for_job={}", job,
                   victim.task, victim.attempt, state.names.machines.name(victim.machine), grace_s,
                   state.names.jobs.name(demand.job));
      stops[victim.machine].push_back({wire::Command::Kind::stop, job, victim.task, victim.attempt, grace_s});
    }
    const double duration_s =
        longest_grace_s + kHeartbeatsForStop * state.settings.heartbeat_interval_s + kStopSlackS;
    for (const auto machine : preemption.machines)
      reserve_machine(state, machine, demand.job, longest_grace_s, duration_s, now);
  });
  for (auto& [machine, commands] : stops) runtime_.spawn(commands_.send(machine, std::move(commands), {}));
}

}  // namespace finchrun::scheduling
