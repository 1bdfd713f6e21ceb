// Typed messages of the wire protocol. The names used on the wire are defined in `protocol_names.hpp` and do
// not appear outside `wire`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::wire {

/// A parsed submission, not yet checked against teams and machine types.
struct Submission {
  std::string id;
  std::string job_class, team, image;
  std::optional<std::vector<std::string>> allowed_types;
  std::optional<std::string> zone;
  jobs::JobSpec spec;  ///< without job class, team, image, types, zone and time of submission
};
/// A message that violates the protocol.
struct Malformed {
  std::string reason;  ///< the reason and the first invalid field, returned to the sender
};
/// A field that may be null may also be left out; unknown fields are ignored.
std::variant<Submission, Malformed> parse_submission(const std::string& body);
/// Returns true for "req-" followed by 1 to 20 digits.
bool is_valid_job_id(std::string_view id);

/// State of a task on its machine. `other`: a state that this version does not know.
enum class TaskState { fetching, waiting, running, saving, ended, other };
/// Why a task ended.
enum class ExitCause {
  none,
  done,
  stopped,                ///< by a stop command
  gang_peer_ended,        ///< another task of its gang has ended
  gang_peers_missing,     ///< its gang was not complete in time
  error,                  ///< the task failed
  no_room,                ///< the machine had too few free resources
  other_attempt_present,  ///< another attempt of the task was still on the machine
  unknown                 ///< a cause that this version does not know
};

/// One attempt of a task, as reported by a heartbeat.
struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::other;
  ExitCause cause = ExitCause::none;
  bool checkpoint_saved = false;  ///< only of an ended task
  /// True from the moment at which the task has its image until it ends.
  [[nodiscard]] bool is_on_machine() const {
    return state != TaskState::fetching && state != TaskState::ended;
  }
};
/// An agent's report about its machine, sent periodically and in answer to direct commands. The newest is the
/// one with the highest incarnation, and the highest sequence number within it.
struct Heartbeat {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double>
      termination_notice_s;  ///< time until the cloud terminates the spot instance; empty: not announced
  std::vector<TaskStatus>
      tasks;  ///< all tasks on the machine, and ended ones that no command has told the agent to forget
};
/// Treats null and unknown fields like `parse_submission`. Unknown states and causes are accepted.
std::variant<Heartbeat, Malformed> parse_heartbeat(const std::string& body);

/// A command to an agent concerning one attempt of a task. `forget`: its end is recorded, so the agent drops
/// it from its heartbeats.
struct Command {
  enum class Kind { start, stop, forget } kind = Kind::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< only for `stop`: time to save a checkpoint
};
/// Maximum number of commands in one response, whose lines must not exceed 64 KiB.
inline constexpr std::size_t kMaxCommands = 400;
/// Renders the answer to a heartbeat. The agent obeys the highest fencing token that it has seen, and no
/// lower one.
std::string render_commands(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Renders commands sent directly to an agent, valid only for this incarnation of it.
std::string render_direct_commands(std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                   const std::vector<Command>& commands);
/// Renders the redirect of an agent to the leader of its partition, given by its label. `leader` is empty if
/// the leader is unknown.
std::string render_redirect(const std::optional<std::string>& leader);

/// Renders the state of a job for its user. The overload without counts is for newly accepted and cancelled
/// jobs.
std::string render_status(const std::string& id, const char* status);
std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running);
/// Renders the reason why a request was not carried out.
std::string render_error(std::string_view reason);

}  // namespace finchrun::wire
