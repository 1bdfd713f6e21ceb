// The protocol's messages and the types they become. The protocol's own names stand in `protocol_names.hpp`
// and stop at this interface.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::wire {

/// What a submission says, before it is checked against teams and machine types.
struct Submission {
  std::string id;
  std::string job_class, team, image;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  jobs::JobSpec spec;  ///< without the fields that need names: class, team, image, types, zone, time
};
/// A message that breaks the protocol's rules.
struct Malformed {
  std::string why;  ///< the reason and the first field that is wrong; the sender gets this text
};
/// A field that may be null may also be left out; unknown fields are ignored.
std::variant<Submission, Malformed> parse_submission(const std::string& body);
/// "req-" and 1 to 20 digits.
bool valid_job_id(std::string_view id);

/// Where a task is on its machine. `other`: a state that this version does not know.
enum class TaskState { fetching, waiting, running, saving, ended, other };
/// Why a task ended: `stopped` by a command, `peers` of its gang have ended, `alone`: its gang was not
/// complete in time, `no_room` on the machine, `busy`: another attempt of the task is still there. `unknown`:
/// a cause that this version does not know.
enum class ExitCause { none, done, stopped, peers, alone, error, no_room, busy, unknown };

/// One attempt of a task, as a heartbeat shows it.
struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::other;
  ExitCause cause = ExitCause::none;
  bool saved = false;  ///< an ended task has saved its work
};
/// What an agent says of its machine, by itself or in answer to direct commands. The newest is the one of the
/// highest incarnation, and of the highest sequence number within it.
struct Heartbeat {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double>
      termination_notice_s;  ///< until the cloud takes the machine back; nothing: not announced
  std::vector<TaskStatus>
      tasks;  ///< all that are on the machine, and those that ended and were not forgotten
};
/// As for submissions. States and causes that are unknown are no error.
std::variant<Heartbeat, Malformed> parse_heartbeat(const std::string& body);

/// What an agent is to do with one attempt of a task. `forget`: its end is recorded, it need not be shown
/// again.
struct Command {
  enum class Kind { start, stop, forget } kind = Kind::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< of `stop`: time to save
};
/// Most commands in one response: every line of it must stay within 64 KiB.
inline constexpr std::size_t kMaxCommands = 400;
/// The answer to a heartbeat. The agent obeys the highest fencing token that it has seen, and no lower one.
std::string render_commands(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Commands that go straight to an agent, for this incarnation of it only.
std::string render_direct_commands(std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                   const std::vector<Command>& commands);
/// Sends an agent to the leader of its partition, by the leader's label; nothing: not known.
std::string render_redirect(const std::optional<std::string>& leader);

/// The state of a job, for its user: without counts for one that is accepted just now or cancelled.
std::string render_status(const std::string& id, const char* status);
std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running);
/// Why a request was not carried out.
std::string render_error(std::string_view why);

}  // namespace finchrun::wire
