#include "agent/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::agent {
namespace {

using state::MachineAssignment;
using wire::Command;
using wire::ExitCause;
using wire::TaskState;
using wire::TaskStatus;

constexpr std::size_t kJobsFailedUntilQuarantine = 2;
constexpr double kCordonAfterFailureS = 20;
constexpr double kCordonWithoutRoomS = 2;

const char* name_of(ExitCause cause) {
  switch (cause) {
    case ExitCause::none:
      return "none";
    case ExitCause::done:
      return "done";
    case ExitCause::stopped:
      return "stopped";
    case ExitCause::peers:
      return "gang_peer_ended";
    case ExitCause::alone:
      return "gang_peers_missing";
    case ExitCause::error:
      return "error";
    case ExitCause::no_room:
      return "no_room";
    case ExitCause::busy:
      return "busy";
    case ExitCause::unknown:
      return "unknown";
  }
  return "unknown";
}

TaskAttempt start_of(const MachineAssignment& item) {
  return {item.job, item.assignment.task, item.assignment.attempt};
}

/// The end of the assigned attempt, not completed.
ObservedExit exit_of(const MachineAssignment& item) {
  return {item.job, item.partition, item.assignment.task, item.assignment.attempt, false};
}

/// The task is recorded as completed, in whatever partition. Replicas of a service never are.
bool is_done(const state::StateCache& cache, const jobs::JobRecord& job, core::JobId id, std::uint32_t task) {
  if (job.spec.standing()) return false;
  bool done = false;
  cache.for_each_assignments(id, [&](core::PartitionId, const jobs::JobAssignments& assignments) {
    done = done || assignments.done.contains(task);
  });
  return done;
}

/// One heartbeat, step by step.
class HeartbeatHandler {
 public:
  HeartbeatHandler(const HeartbeatContext& context, Machine& machine, const wire::Heartbeat& heartbeat)
      : context_(context),
        machine_(machine),
        heartbeat_(heartbeat),
        recorded_(heartbeat.tasks.size(), false) {}

  HeartbeatResult handle() && {
    // Rule 4: only the newest (incarnation, sequence) counts.
    if (machine_.is_outdated(heartbeat_.agent_incarnation, heartbeat_.sequence)) {
      result_.kind = HeartbeatResult::Kind::outdated;
      return std::move(result_);
    }
    if (heartbeat_.fencing_token > context_.fencing_token) {
      result_.kind = HeartbeatResult::Kind::deposed;
      return std::move(result_);
    }
    update_reachability();
    record_newest();
    bool has_assignments = false;
    for (const auto& item : context_.cache.on_machine(machine_.id)) {
      if (item.partition != machine_.partition) continue;
      has_assignments = true;
      handle_assignment(item);
    }
    handle_unrecorded_tasks();
    if (has_assignments || machine_.unrecorded_tasks > 0 || machine_.idle_since == core::TimePoint{})
      machine_.idle_since = context_.now;
    if (result_.commands.size() > wire::kMaxCommands) result_.commands.resize(wire::kMaxCommands);
    return std::move(result_);
  }

 private:
  /// What the heartbeat shows of the way from us to the agent. Looks at the newest heartbeat before this one.
  void update_reachability() {
    if (machine_.has_heartbeat && heartbeat_.agent_incarnation > machine_.agent_incarnation) {
      machine_.images.clear();
      // Its lease ran out although its heartbeats came: what we answer may not reach it.
      machine_.mark_unreachable(context_.now);
    }
    if (has_outlived_lease()) machine_.heard();
    // Nobody but us gives out this fencing token.
    if (machine_.has_heartbeat && heartbeat_.fencing_token > machine_.fencing_token && is_trusted())
      machine_.heard();
  }

  /// An incarnation that outlives a lease has had an answer that the agent accepted.
  [[nodiscard]] bool has_outlived_lease() const {
    const double lease_with_drift_s = context_.lease_s * 1.05 + 1;
    return machine_.unreachable() && heartbeat_.agent_incarnation == machine_.agent_incarnation &&
           core::seconds_between(machine_.unreachable_in_incarnation, context_.now) > lease_with_drift_s;
  }

  void record_newest() {
    machine_.has_heartbeat = true;
    machine_.agent_incarnation = heartbeat_.agent_incarnation;
    machine_.sequence = heartbeat_.sequence;
    machine_.fencing_token = heartbeat_.fencing_token;
    // An answer to a command of ours does not say that its agent reaches us: one that can't loses its lease,
    // and with it whatever is placed there.
    if (!context_.direct) machine_.last_heartbeat = context_.now;
    machine_.endpoint = heartbeat_.endpoint;
    machine_.termination_notice_s = heartbeat_.termination_notice_s;
  }

  void handle_assignment(const MachineAssignment& item) {
    // Rule 3: a later incarnation of the agent has none of the earlier one's tasks.
    if (item.assignment.agent_incarnation < heartbeat_.agent_incarnation) return observe_exit(exit_of(item));
    const auto* job = context_.cache.job(item.job);
    const bool live = job && job->status == jobs::Status::live;
    const auto* status = status_of(item);
    if (live && status && status->state != TaskState::fetching && status->cause != ExitCause::no_room)
      use_image(job->spec);
    if (status && status->state == TaskState::ended)
      return handle_exit(item, *status, live && job->spec.standing());
    const bool unwanted = is_unwanted(item, live ? job : nullptr);
    if (!status) return handle_missing(item, unwanted);
    if (context_.fleet.confirmed_starts.try_emplace(start_of(item), context_.now).second && is_trusted())
      machine_.heard();
    if (unwanted) stop(item, *status, live);
  }

  /// What the heartbeat says of the assigned attempt; nothing if it does not name it.
  const TaskStatus* status_of(const MachineAssignment& item) {
    const auto& job_name = context_.names.jobs.name(item.job);
    const auto found =
        std::find_if(heartbeat_.tasks.begin(), heartbeat_.tasks.end(), [&](const TaskStatus& status) {
          return status.task == item.assignment.task && status.attempt == item.assignment.attempt &&
                 status.job == job_name;
        });
    if (found == heartbeat_.tasks.end()) return nullptr;
    recorded_[static_cast<std::size_t>(found - heartbeat_.tasks.begin())] = true;
    return &*found;
  }

  void use_image(const jobs::JobSpec& spec) {
    const auto* type = context_.fleet.machine_type(machine_.type);
    machine_.use_image(spec.image, spec.image_gb, type ? std::optional(type->cache_gb) : std::nullopt);
  }

  /// The task should not run there: its job (nothing: it is over) or its gang's attempt is over, it is
  /// preempted, or it is recorded as done.
  [[nodiscard]] bool is_unwanted(const MachineAssignment& item, const jobs::JobRecord* job) const {
    return !job || context_.fleet.preempting.contains(start_of(item)) ||
           gang_broken(*job, context_.cache, context_.fleet, item.job) ||
           is_done(context_.cache, *job, item.job, item.assignment.task);
  }

  /// Rule 3: the heartbeat shows the task's end.
  void handle_exit(const MachineAssignment& item, const TaskStatus& status, bool is_replica) {
    auto observed_exit = exit_of(item);
    // A replica that ends in whatever way runs again.
    observed_exit.done = status.cause == ExitCause::done && !is_replica;
    if (!context_.fleet.observed_exits.insert(observed_exit).second) return;
    result_.changed = true;
    spdlog::info("task ended job={} task={} attempt={} machine={} reason={} checkpoint_saved={}", status.job,
                 status.task, status.attempt, machine_.name, name_of(status.cause), status.saved);
    if (status.cause == ExitCause::error || status.cause == ExitCause::unknown) record_failure(item.job);
    if (status.cause == ExitCause::no_room)
      machine_.cordoned_until = context_.now + core::to_duration(kCordonWithoutRoomS);
    if (status.cause == ExitCause::done) machine_.failed_jobs.clear();
  }

  /// Several jobs failing on one machine point at the machine; one job failing on several at the job.
  void record_failure(core::JobId job) {
    machine_.failed_jobs.insert(job);
    if (machine_.failed_jobs.size() >= kJobsFailedUntilQuarantine && !machine_.quarantined) {
      machine_.quarantined = true;
      spdlog::warn("machine quarantined machine={} failed_jobs={}", machine_.name,
                   machine_.failed_jobs.size());
    }
    machine_.cordoned_until = context_.now + core::to_duration(kCordonAfterFailureS);
    context_.job_failures[job].record(machine_.id, context_.now);
  }

  /// The heartbeat does not have the task: that is proof that it is gone, or it is started (again).
  void handle_missing(const MachineAssignment& item, bool unwanted) {
    const auto start = start_of(item);
    if (proves_absence(start) && (unwanted || context_.fleet.confirmed_starts.contains(start)))
      return observe_exit(exit_of(item));
    if (unwanted || !context_.may_start) return;
    if (item.assignment.agent_incarnation != heartbeat_.agent_incarnation) return;
    result_.commands.push_back({Command::Kind::start, context_.names.jobs.name(item.job),
                                item.assignment.task, item.assignment.attempt, 0});
  }

  /// Rules 3 and 4: a task that the heartbeat does not have is gone if no command that would start it can be
  /// under way. Those in answers to earlier heartbeats are dead once the agent sends this one.
  [[nodiscard]] bool proves_absence(const TaskAttempt& start) const {
    return is_trusted() && !context_.direct && !may_still_start(start);
  }

  /// Only a heartbeat sent after the agent saw our fencing token proves that no command of an earlier leader
  /// can still run.
  [[nodiscard]] bool is_trusted() const { return heartbeat_.fencing_token == context_.fencing_token; }

  /// Could a start command that went straight to the agent be carried out after this heartbeat was made?
  [[nodiscard]] bool may_still_start(const TaskAttempt& start) const {
    const auto found = context_.fleet.direct_starts.find(start);
    if (found == context_.fleet.direct_starts.end()) return false;
    const auto& direct_start = found->second;
    if (direct_start.fencing_token != context_.fencing_token) return false;
    return !direct_start.answered_sequence || heartbeat_.sequence <= *direct_start.answered_sequence;
  }

  /// Tells the agent to stop the task; one that is preempted, with the grace to save its checkpoint.
  void stop(const MachineAssignment& item, const TaskStatus& status, bool live) {
    const auto preempted = context_.fleet.preempting.find(start_of(item));
    const double grace_s = live && preempted != context_.fleet.preempting.end() ? preempted->second : 0;
    if (status.state == TaskState::saving && grace_s > 0) return;  // it is stopping
    result_.commands.push_back({Command::Kind::stop, status.job, status.task, status.attempt, grace_s});
  }

  /// Tasks that no record knows: they have ended and that is recorded, or an earlier leader's start was given
  /// up.
  void handle_unrecorded_tasks() {
    machine_.unrecorded_tasks = 0;
    for (std::size_t i = 0; i < heartbeat_.tasks.size(); ++i) {
      if (recorded_[i]) continue;
      const auto& status = heartbeat_.tasks[i];
      if (status.state != TaskState::ended) {
        ++machine_.unrecorded_tasks;
        result_.commands.push_back({Command::Kind::stop, status.job, status.task, status.attempt, 0});
        continue;
      }
      // Forgotten, a late copy of its start command would start it once more (rule 4).
      const auto job = context_.names.jobs.find(status.job);
      if (job && may_still_start({*job, status.task, status.attempt})) continue;
      result_.commands.push_back({Command::Kind::forget, status.job, status.task, status.attempt, 0});
    }
  }

  void observe_exit(const ObservedExit& observed_exit) {
    result_.changed |= context_.fleet.observed_exits.insert(observed_exit).second;
  }

  const HeartbeatContext& context_;
  Machine& machine_;
  const wire::Heartbeat& heartbeat_;
  std::vector<bool> recorded_;  // by task of the heartbeat: an assignment names it
  HeartbeatResult result_;
};

}  // namespace

void JobFailures::record(core::MachineId machine, core::TimePoint now) {
  constexpr double kForgottenAfterS = 120;  // twice the longest pause of a job that fails everywhere
  constexpr double kLongestPauseS = 60;
  constexpr std::size_t kMostDoublings = 6;
  // A service meets many machines in its life; only failures that come together point at the job.
  if (core::seconds_between(last_failure, now) > kForgottenAfterS) machines.clear();
  last_failure = now;
  machines.insert(machine);
  ++failures;
  if (machines.size() < 2) return;
  const auto doubled = 1 << std::min(machines.size(), kMostDoublings);
  retry_at = now + core::to_duration(std::min(kLongestPauseS, 2.0 * static_cast<double>(doubled)));
}

bool gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                 core::JobId id) {
  if (!job.spec.gang()) return false;
  std::size_t placed = 0;
  bool lost = false;
  cache.for_each_assignments(id, [&](core::PartitionId partition, const jobs::JobAssignments& run) {
    placed += run.assignments.size();
    for (const auto& assignment : run.assignments)
      lost =
          lost || fleet.observed_exits.contains({id, partition, assignment.task, assignment.attempt, false});
  });
  return lost || placed != job.spec.tasks;
}

void machine_gone(const state::StateCache& cache, Fleet& fleet, core::MachineId id) {
  for (const auto& item : cache.on_machine(id)) fleet.observed_exits.insert(exit_of(item));
}

HeartbeatResult handle_heartbeat(HeartbeatContext context, Machine& machine,
                                 const wire::Heartbeat& heartbeat) {
  return HeartbeatHandler(context, machine, heartbeat).handle();
}

}  // namespace finchrun::agent
