#include "agent/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agent/lease_renewal.hpp"
#include "agent/start_permission.hpp"
#include "metrics/metrics.hpp"

namespace finchrun::agent {
namespace {

using state::MachineAssignment;
using wire::Command;
using wire::ExitCause;
using wire::TaskState;
using wire::TaskStatus;

constexpr std::size_t kFailedJobsUntilQuarantine = 2;
constexpr double kCordonAfterFailureS = 20;
constexpr double kCordonWithoutRoomS = 2;
// The timeout of a direct command: its answer is no older.
constexpr double kLongestDirectAnswerS = 3;

const char* name_of(ExitCause cause) {
  switch (cause) {
    case ExitCause::none:
      return "none";
    case ExitCause::done:
      return "done";
    case ExitCause::stopped:
      return "stopped";
    case ExitCause::gang_peer_ended:
      return "gang_peer_ended";
    case ExitCause::gang_peers_missing:
      return "gang_peers_missing";
    case ExitCause::error:
      return "error";
    case ExitCause::no_room:
      return "no_room";
    case ExitCause::other_attempt_present:
      return "busy";
    case ExitCause::unknown:
      return "unknown";
  }
  return "unknown";
}

TaskAttempt attempt_of(const MachineAssignment& item) {
  return {item.job, item.assignment.task, item.assignment.attempt};
}

/// Handles one heartbeat.
class HeartbeatHandler {
 public:
  HeartbeatHandler(const HeartbeatContext& context, Machine& machine, const wire::Heartbeat& heartbeat)
      : context_(context),
        machine_(machine),
        heartbeat_(heartbeat),
        recorded_(heartbeat.tasks.size(), false) {}

  HeartbeatResult handle() && {
    // Rule 4: only messages with a newer (incarnation, sequence) count.
    if (machine_.is_outdated(heartbeat_.agent_incarnation, heartbeat_.sequence)) {
      result_.kind = HeartbeatResult::Kind::outdated;
      return std::move(*this).finish();
    }
    const auto& tokens = context_.tokens;
    if (heartbeat_.fencing_token > std::max(machine_.command_token(tokens), tokens.highest_available)) {
      result_.kind = HeartbeatResult::Kind::superseded;
      return std::move(result_);
    }
    update_reachability();
    record_newest();
    had_unconfirmed_ends_ = std::exchange(machine_.has_unconfirmed_ends, false);
    bool has_assignments = false;
    for (const auto& item : context_.cache.on_machine(machine_.id)) {
      if (item.partition != machine_.partition) continue;
      has_assignments = true;
      handle_assignment(item);
    }
    handle_unrecorded_tasks();
    check_cancelled_tasks();
    if (has_assignments || machine_.unrecorded_tasks > 0 || machine_.idle_since == core::TimePoint{})
      machine_.idle_since = context_.now;
    return std::move(*this).finish();
  }

 private:
  /// Completes the answer, which renews the agent's lease unless it is one to a direct command.
  HeartbeatResult finish() && {
    if (!context_.is_direct_answer) {
      const auto refused = complete_renewal(context_, machine_, heartbeat_, result_.commands);
      if (refused) {
        result_.kind = HeartbeatResult::Kind::not_renewed;
        if (!machine_.renewal_refused) log_refused_renewal(*refused);
      }
      machine_.renewal_refused = refused.has_value();
    }
    if (result_.commands.size() > wire::kMaxCommands) result_.commands.resize(wire::kMaxCommands);
    return std::move(result_);
  }

  void log_refused_renewal(const TaskAttempt& attempt) const {
    const auto& [job, task, number] = attempt;
    spdlog::warn(
        "lease not renewed machine={} job={} task={} attempt={} start_fencing_token={} fencing_token={} "
        "highest_available_token={} reason=cancelled_task_may_start",
        machine_.name, context_.names.jobs.name(job), task, number,
        machine_.direct_starts.token_of(attempt).value_or(0), machine_.command_token(context_.tokens),
        context_.tokens.highest_available);
  }

  /// Updates whether the agent receives messages of this controller. Compares with the previous heartbeat.
  void update_reachability() {
    if (machine_.has_heartbeat && heartbeat_.agent_incarnation > machine_.agent_incarnation) {
      machine_.cached_images.clear();
      // The agent's lease expired although its heartbeats arrived, so the answers may not reach it.
      machine_.mark_unreachable(context_.now);
    }
    if (has_outlived_lease()) machine_.mark_reachable();
    // Only this controller sends this fencing token.
    if (machine_.has_heartbeat && heartbeat_.fencing_token > machine_.fencing_token && is_trusted())
      machine_.mark_reachable();
  }

  /// Returns true if the incarnation has lasted longer than a lease, so that the agent must have received an
  /// answer.
  [[nodiscard]] bool has_outlived_lease() const {
    const double lease_with_drift_s = context_.lease_s * 1.05 + 1;
    return machine_.is_unreachable() && heartbeat_.agent_incarnation == machine_.agent_incarnation &&
           core::seconds_between(machine_.last_marked_unreachable, context_.now) > lease_with_drift_s;
  }

  void record_newest() {
    machine_.has_heartbeat = true;
    machine_.agent_incarnation = heartbeat_.agent_incarnation;
    machine_.sequence = heartbeat_.sequence;
    machine_.fencing_token = heartbeat_.fencing_token;
    // This controller gave the agent a raised token before the machine was dropped from the fleet.
    if (is_trusted()) machine_.raised_token = std::max(machine_.raised_token, heartbeat_.fencing_token);
    machine_.direct_starts.drop_void(heartbeat_.agent_incarnation, heartbeat_.fencing_token);
    // An answer to a direct command doesn't show that the agent can reach this controller. An agent that
    // can't loses its lease, and with it every task placed there.
    if (!context_.is_direct_answer) machine_.last_heartbeat = context_.now;
    if (context_.is_direct_answer) machine_.last_direct_answer = context_.now;
    machine_.last_message = context_.now;
    machine_.endpoint = heartbeat_.endpoint;
    machine_.termination_notice_s = heartbeat_.termination_notice_s;
  }

  void handle_assignment(const MachineAssignment& item) {
    // Rule 3: a later incarnation of the agent holds no task of an earlier one.
    if (item.assignment.agent_incarnation < heartbeat_.agent_incarnation)
      return observe_exit(item, ExitProof::later_incarnation);
    const auto* job = context_.cache.job(item.job);
    const bool live = job && job->status == jobs::Status::live;
    const auto* status = status_of(item);
    if (live && status && status->state != TaskState::fetching && status->cause != ExitCause::no_room)
      use_image(job->spec);
    if (status && status->state == TaskState::ended)
      return handle_exit(item, *status, live && job->spec.is_service());
    const bool unwanted = is_unwanted(context_.cache, context_.fleet, attempt_of(item));
    if (!status) return handle_missing(item, unwanted);
    check_not_counted_as_gone(item, *status);
    if (context_.fleet.confirmed_starts.try_emplace(attempt_of(item), context_.now).second && is_trusted())
      machine_.mark_reachable();
    // The start has done its work: it is void long before the task ends.
    if (!context_.is_direct_answer) supersede_start(attempt_of(item));
    if (unwanted) stop(item, *status, live);
  }

  /// Returns the status of the assigned attempt; null if the heartbeat does not name it.
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

  /// Handles an assigned task that the heartbeat shows as ended (rule 3). The agent refuses copies of its
  /// start only while it lists the attempt, and it may lose its tasks, so the end counts once the start is
  /// void.
  void handle_exit(const MachineAssignment& item, const TaskStatus& status, bool is_replica) {
    const auto attempt = attempt_of(item);
    if (!is_trusted() || may_still_start(attempt)) {
      supersede_start(attempt);
      machine_.has_unconfirmed_ends = true;
      if (!had_unconfirmed_ends_) log_unconfirmed_end(status, attempt);
      return;
    }
    auto observed_exit = exit_of(item, ExitProof::shown_ended);
    // A replica runs again, whatever the cause of its end.
    observed_exit.done = status.cause == ExitCause::done && !is_replica;
    if (!context_.fleet.observe_exit(observed_exit)) return;
    result_.exits_observed = true;
    spdlog::info(
        "task ended job={} task={} attempt={} machine={} reason={} checkpoint_saved={} "
        "agent_fencing_token={} fencing_token={}",
        status.job, status.task, status.attempt, machine_.name, name_of(status.cause),
        status.checkpoint_saved, heartbeat_.fencing_token, machine_.command_token(context_.tokens));
    if (status.cause == ExitCause::error || status.cause == ExitCause::unknown) record_failure(item.job);
    if (status.cause == ExitCause::no_room)
      machine_.cordoned_until = context_.now + core::to_duration(kCordonWithoutRoomS);
    if (status.cause == ExitCause::done) machine_.failed_jobs.clear();
  }

  void log_unconfirmed_end(const TaskStatus& status, const TaskAttempt& attempt) const {
    spdlog::info(
        "task end unconfirmed job={} task={} attempt={} machine={} reason={} start_fencing_token={} "
        "agent_fencing_token={} fencing_token={}",
        status.job, status.task, status.attempt, machine_.name, name_of(status.cause),
        machine_.direct_starts.token_of(attempt).value_or(0), heartbeat_.fencing_token,
        machine_.command_token(context_.tokens));
  }

  /// Records a failure of the job on the machine. Failures of several jobs on one machine indicate a fault of
  /// the machine; failures of one job on several machines indicate a fault of the job.
  void record_failure(core::JobId job) {
    machine_.failed_jobs.insert(job);
    if (machine_.failed_jobs.size() >= kFailedJobsUntilQuarantine && !machine_.quarantined) {
      machine_.quarantined = true;
      spdlog::warn("machine quarantined machine={} failed_jobs={}", machine_.name,
                   machine_.failed_jobs.size());
    }
    machine_.cordoned_until = context_.now + core::to_duration(kCordonAfterFailureS);
    context_.job_failures[job].record(machine_.id, context_.now);
  }

  /// Handles an assigned task that the heartbeat does not name. Either this proves the task gone, or its
  /// start command is sent.
  void handle_missing(const MachineAssignment& item, bool unwanted) {
    if (context_.is_direct_answer) return;
    const auto attempt = attempt_of(item);
    if (is_trusted() && (unwanted || context_.fleet.confirmed_starts.contains(attempt))) {
      if (!may_still_start(attempt)) return observe_exit(item, ExitProof::absent);
      supersede_start(attempt);  // the next heartbeat then proves the absence
      return;
    }
    if (!context_.starts_allowed) return;
    if (find_start_refusal(context_.cache, context_.fleet, machine_, attempt)) return;
    // The agent may replace an ended attempt of the task, and so forget it.
    if (!supersede(machine_.direct_starts.token_of_other_attempts(attempt))) return;
    metrics::count_start("heartbeat");
    result_.commands.push_back({Command::Kind::start, context_.names.jobs.name(item.job),
                                item.assignment.task, item.assignment.attempt, 0});
  }

  /// Returns true if the agent had seen this controller's fencing token. Only then does the heartbeat prove
  /// that no command of an earlier leader can still be executed.
  [[nodiscard]] bool is_trusted() const { return heartbeat_.fencing_token >= context_.tokens.of_partition; }

  /// Returns true if a direct start command, or a copy of it, may be executed after this heartbeat was sent.
  /// Start commands in answers to earlier heartbeats are void once the agent sends this one (rule 4).
  [[nodiscard]] bool may_still_start(const TaskAttempt& attempt) const {
    return machine_.direct_starts.token_of(attempt).has_value();
  }

  /// Lets the next message to the agent make the attempt's direct start void. Returns false if it can't.
  bool supersede_start(const TaskAttempt& attempt) {
    return supersede(machine_.direct_starts.token_of(attempt));
  }
  bool supersede(std::optional<std::uint64_t> start_token) {
    return !start_token || machine_.raise_command_token(*start_token, context_.tokens);
  }

  /// Sends a stop command. A preempted task gets a grace period to save its checkpoint.
  void stop(const MachineAssignment& item, const TaskStatus& status, bool live) {
    const auto preempted = context_.fleet.preempting.find(attempt_of(item));
    const double grace_s = live && preempted != context_.fleet.preempting.end() ? preempted->second : 0;
    if (status.state == TaskState::saving && grace_s > 0) return;  // already stopping
    result_.commands.push_back({Command::Kind::stop, status.job, status.task, status.attempt, grace_s});
  }

  /// Handles tasks without an assignment: their end is already recorded, or an earlier leader's start was
  /// abandoned.
  void handle_unrecorded_tasks() {
    const auto known_before = machine_.unrecorded_tasks;
    machine_.unrecorded_tasks = 0;
    for (std::size_t i = 0; i < heartbeat_.tasks.size(); ++i) {
      if (recorded_[i]) continue;
      const auto& status = heartbeat_.tasks[i];
      if (status.state != TaskState::ended) {
        if (++machine_.unrecorded_tasks > known_before) log_unrecorded(status);
        result_.commands.push_back({Command::Kind::stop, status.job, status.task, status.attempt, 0});
        continue;
      }
      // Once the agent has forgotten the attempt, only a higher fencing token refuses copies of its start.
      if (context_.is_direct_answer) continue;
      const auto job = context_.names.jobs.find(status.job);
      if (job && !supersede_start({*job, status.task, status.attempt})) continue;
      result_.commands.push_back({Command::Kind::forget, status.job, status.task, status.attempt, 0});
    }
  }

  void log_unrecorded(const TaskStatus& status) const {
    metrics::count_unrecorded_task();
    spdlog::warn(
        "task not recorded job={} task={} attempt={} machine={} agent_fencing_token={} fencing_token={}",
        status.job, status.task, status.attempt, machine_.name, heartbeat_.fencing_token,
        machine_.command_token(context_.tokens));
  }

  /// Checks the invariant that a cancelled job's tasks are gone `cancel_s` after its cancellation was learnt.
  void check_cancelled_tasks() {
    for (const auto& status : heartbeat_.tasks) {
      if (!status.is_on_machine()) continue;
      const auto job = context_.names.jobs.find(status.job);
      const auto* cancellation = job ? context_.fleet.cancellations.find(*job) : nullptr;
      // A heartbeat may arrive late, but not before the direct answer that its agent sent earlier.
      if (cancellation && core::seconds_between(cancellation->learned_at, machine_.last_direct_answer) >
                              context_.cancel_s + kLongestDirectAnswerS)
        report_overdue(status, *cancellation);
    }
  }

  void report_overdue(const TaskStatus& status, const KnownCancellation& cancellation) const {
    metrics::count_violation("cancelled_task_present");
    spdlog::error(
        "invariant violated rule=ran_cancelled job={} task={} attempt={} machine={} "
        "state=cancelled_task_present learned_s={:.1f} source={} stops_sent={} stops_unanswered={} "
        "renewals={} agent_incarnation={} sequence={} start_fencing_token={} agent_fencing_token={} "
        "fencing_token={} highest_available_token={} direct_answer={}",
        status.job, status.task, status.attempt, machine_.name,
        core::seconds_between(cancellation.learned_at, context_.now), name_of(cancellation.source),
        cancellation.stops_sent, cancellation.stops_unanswered, cancellation.renewals,
        heartbeat_.agent_incarnation, heartbeat_.sequence,
        machine_.direct_starts.token_of({*context_.names.jobs.find(status.job), status.task, status.attempt})
            .value_or(0),
        heartbeat_.fencing_token, machine_.command_token(context_.tokens), context_.tokens.highest_available,
        context_.is_direct_answer);
  }

  /// Returns the exit of the assigned attempt, not completed.
  [[nodiscard]] ObservedExit exit_of(const MachineAssignment& item, ExitProof proof) const {
    return {item.job,
            item.partition,
            item.assignment.task,
            item.assignment.attempt,
            false,
            context_.tokens.of_partition,
            proof};
  }

  void observe_exit(const MachineAssignment& item, ExitProof proof) {
    if (!context_.fleet.observe_exit(exit_of(item, proof))) return;
    result_.exits_observed = true;
    spdlog::info(
        "task gone job={} task={} attempt={} machine={} proof={} assigned_incarnation={} "
        "agent_incarnation={} "
        "sequence={} agent_fencing_token={} fencing_token={}",
        context_.names.jobs.name(item.job), item.assignment.task, item.assignment.attempt, machine_.name,
        name_of(proof), item.assignment.agent_incarnation, heartbeat_.agent_incarnation, heartbeat_.sequence,
        heartbeat_.fencing_token, context_.tokens.of_partition);
  }

  /// Checks the invariant that an attempt that counts as gone is on no machine. If it is broken, the attempt
  /// counts as present again, so that its task is not started elsewhere unless that has happened already.
  void check_not_counted_as_gone(const MachineAssignment& item, const TaskStatus& status) {
    if (!context_.fleet.has_ended(item.job, item.partition, item.assignment)) return;
    metrics::count_violation("present_after_exit");
    spdlog::error(
        "invariant violated rule=ran_twice job={} task={} attempt={} machine={} state=present_after_exit "
        "agent_incarnation={} sequence={} agent_fencing_token={} fencing_token={} direct_answer={}",
        status.job, status.task, status.attempt, machine_.name, heartbeat_.agent_incarnation,
        heartbeat_.sequence, heartbeat_.fencing_token, context_.tokens.of_partition,
        context_.is_direct_answer);
    context_.fleet.withdraw_exit(item.job, item.partition, item.assignment);
  }

  const HeartbeatContext& context_;
  Machine& machine_;
  const wire::Heartbeat& heartbeat_;
  bool had_unconfirmed_ends_ = false;  // by the message before
  std::vector<bool> recorded_;         // by task of the heartbeat: true if it has an assignment
  HeartbeatResult result_;
};

}  // namespace

void JobFailures::record(core::MachineId machine, core::TimePoint now) {
  constexpr double kRecentFailureS = 120;  // twice the maximum backoff of a job that fails everywhere
  constexpr double kMaxBackoffS = 60;
  constexpr std::size_t kMaxDoublings = 6;
  // A service runs on many machines over time; only failures close together indicate a fault of the job.
  if (core::seconds_between(last_failure, now) > kRecentFailureS) machines.clear();
  last_failure = now;
  machines.insert(machine);
  ++failures;
  if (machines.size() < 2) return;
  const auto backoff_factor = 1 << std::min(machines.size(), kMaxDoublings);
  retry_at = now + core::to_duration(std::min(kMaxBackoffS, 2.0 * static_cast<double>(backoff_factor)));
}

void mark_assignments_ended(const jobs::Names& names, const state::StateCache& cache, Fleet& fleet,
                            core::MachineId id, ExitProof proof) {
  for (const auto& item : cache.on_machine(id)) {
    const auto fencing_token = cache.leadership(item.partition).revision;
    const auto& assignment = item.assignment;
    if (!fleet.observe_exit(
            {item.job, item.partition, assignment.task, assignment.attempt, false, fencing_token, proof}))
      continue;
    spdlog::info("task gone job={} task={} attempt={} machine={} proof={} fencing_token={}",
                 names.jobs.name(item.job), assignment.task, assignment.attempt, names.machines.name(id),
                 name_of(proof), fencing_token);
  }
}

HeartbeatResult handle_heartbeat(HeartbeatContext context, Machine& machine,
                                 const wire::Heartbeat& heartbeat) {
  return HeartbeatHandler(context, machine, heartbeat).handle();
}

}  // namespace finchrun::agent
