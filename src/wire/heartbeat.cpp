// Parsing of agents' heartbeats.
#include <charconv>

#include "wire/field_reader.hpp"
#include "wire/protocol_names.hpp"

namespace finchrun::wire {
namespace {

namespace json = boost::json;

// Agents of later versions may send more states and causes, so an unknown one is not an error.
TaskState task_state_of(std::string_view name) {
  if (name == value::kFetching) return TaskState::fetching;
  if (name == value::kWaiting) return TaskState::waiting;
  if (name == value::kRunning) return TaskState::running;
  if (name == value::kSaving) return TaskState::saving;
  if (name == value::kEnded) return TaskState::ended;
  return TaskState::other;
}

ExitCause exit_cause_of(std::string_view name) {
  if (name == value::kDone) return ExitCause::done;
  if (name == value::kStopped) return ExitCause::stopped;
  if (name == value::kGangPeerEnded) return ExitCause::gang_peer_ended;
  if (name == value::kGangPeersMissing) return ExitCause::gang_peers_missing;
  if (name == value::kError) return ExitCause::error;
  if (name == value::kNoRoom) return ExitCause::no_room;
  if (name == value::kOtherAttemptPresent) return ExitCause::other_attempt_present;
  return ExitCause::unknown;
}

// Splits "<job id>/<index>" into the job and the index.
void read_task_name(const json::object& message, TaskStatus& status) {
  const auto name = text(message, field::kTask);
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw_invalid(field::kTask);
  status.job = name.substr(0, slash);
  const char* last = name.data() + name.size();
  const auto [end, error] = std::from_chars(name.data() + slash + 1, last, status.task);
  if (error != std::errc() || end != last) throw_invalid(field::kTask);
}

TaskStatus read_task_status(const json::object& message) {
  TaskStatus status;
  read_task_name(message, status);
  status.attempt = count(message, field::kAttempt);
  status.state = task_state_of(text(message, field::kTaskState));
  if (const auto* cause = optional_field(message, field::kExitCause))
    status.cause = exit_cause_of(text_of(*cause, field::kExitCause));
  if (const auto* saved = optional_field(message, field::kCheckpointSaved))
    status.checkpoint_saved = saved->is_bool() && saved->as_bool();
  return status;
}

// Reads the fields in the order of the protocol's documentation; the first invalid field is reported.
Heartbeat read_heartbeat(const json::object& message) {
  Heartbeat heartbeat;
  heartbeat.machine = text(message, field::kMachine);
  heartbeat.endpoint = text(message, field::kEndpoint);
  heartbeat.type = text(message, field::kMachineType);
  heartbeat.zone = text(message, field::kZone);
  heartbeat.spot = flag(message, field::kSpot);
  heartbeat.agent_incarnation = count(message, field::kAgentIncarnation);
  heartbeat.sequence = count(message, field::kSequence);
  heartbeat.fencing_token = count(message, field::kFencingToken);
  if (const auto* notice = optional_field(message, field::kTerminationNoticeS))
    heartbeat.termination_notice_s = amount_of(*notice, field::kTerminationNoticeS);
  const auto& tasks = required(message, field::kTasks);
  if (!tasks.is_array()) throw_invalid(field::kTasks);
  for (const auto& task : tasks.as_array()) {
    if (!task.is_object()) throw_invalid(field::kTasks);
    heartbeat.tasks.push_back(read_task_status(task.as_object()));
  }
  return heartbeat;
}

}  // namespace

std::variant<Heartbeat, Malformed> parse_heartbeat(const std::string& body) {
  return read_message<Heartbeat>(body, read_heartbeat);
}

}  // namespace finchrun::wire
