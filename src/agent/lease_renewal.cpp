#include "agent/lease_renewal.hpp"

#include <algorithm>

namespace finchrun::agent {
namespace {

using wire::Command;
using wire::TaskState;
using wire::TaskStatus;

/// Completes one answer.
class Renewal {
 public:
  Renewal(const HeartbeatContext& context, Machine& machine, const wire::Heartbeat& heartbeat)
      : context_(context), machine_(machine), heartbeat_(heartbeat) {}

  std::optional<TaskAttempt> complete(std::vector<Command>& commands) && {
    for (const auto& item : context_.cache.on_machine(machine_.id))
      if (is_unresolved(item)) resolve(item);
    for (const auto& status : heartbeat_.tasks) stop_shown(status);
    std::erase_if(commands, [&](const Command& command) { return is_stopped(command); });
    commands.insert(commands.begin(), stops_.begin(), stops_.end());
    return refused_;
  }

 private:
  [[nodiscard]] bool is_cancelled(core::JobId job) const {
    const auto* record = context_.cache.job(job);
    return record && record->status == jobs::Status::cancelled;
  }

  [[nodiscard]] bool is_unresolved(const state::MachineAssignment& item) const {
    return item.partition == machine_.partition && is_cancelled(item.job) &&
           !context_.fleet.has_ended(item.job, item.partition, item.assignment);
  }

  void resolve(const state::MachineAssignment& item) {
    const TaskAttempt attempt{item.job, item.assignment.task, item.assignment.attempt};
    if (auto* cancellation = context_.fleet.cancellations.find(item.job)) ++cancellation->renewals;
    add_stop(context_.names.jobs.name(item.job), item.assignment.task, item.assignment.attempt);
    const auto start_token = machine_.direct_starts.token_of(attempt);
    const bool start_is_void = !start_token || machine_.raise_command_token(*start_token, context_.tokens);
    const bool stop_is_sent = stops_.size() <= wire::kMaxCommands;
    if ((!start_is_void || !stop_is_sent) && is_overdue(item.job)) refused_ = attempt;
  }

  // A task that no record names, or that an outdated heartbeat shows.
  void stop_shown(const TaskStatus& status) {
    if (status.state == TaskState::ended) return;
    const auto job = context_.names.jobs.find(status.job);
    if (job && is_cancelled(*job)) add_stop(status.job, status.task, status.attempt);
  }

  void add_stop(const std::string& job, std::uint32_t task, std::uint64_t attempt) {
    Command stop{Command::Kind::stop, job, task, attempt, 0};
    if (!is_stopped(stop)) stops_.push_back(std::move(stop));
  }

  [[nodiscard]] bool is_stopped(const Command& command) const {
    return command.kind == Command::Kind::stop &&
           std::any_of(stops_.begin(), stops_.end(), [&](const Command& stop) {
             return stop.task == command.task && stop.attempt == command.attempt && stop.job == command.job;
           });
  }

  [[nodiscard]] bool is_overdue(core::JobId job) const {
    const auto* cancellation = context_.fleet.cancellations.find(job);
    return !cancellation ||
           core::seconds_between(cancellation->confirmed_after, context_.now) >= context_.renewal_window_s;
  }

  const HeartbeatContext& context_;
  Machine& machine_;
  const wire::Heartbeat& heartbeat_;
  std::vector<Command> stops_;
  std::optional<TaskAttempt> refused_;
};

}  // namespace

std::optional<TaskAttempt> complete_renewal(const HeartbeatContext& context, Machine& machine,
                                            const wire::Heartbeat& heartbeat,
                                            std::vector<Command>& commands) {
  return Renewal(context, machine, heartbeat).complete(commands);
}

}  // namespace finchrun::agent
