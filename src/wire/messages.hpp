// The protocol's messages and the types they become. Wire names stop here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.hpp"

namespace finchrun::wire {

// What a submission says, before it is checked against teams and machine types.
struct Submission {
  std::string id;
  std::string job_class, team, image;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  jobs::JobSpec spec;  // without the fields that need names
};
struct Malformed {
  std::string why;
};
std::variant<Submission, Malformed> parse_submission(const std::string& body);
bool valid_job_id(std::string_view id);

enum class TaskState { fetching, waiting, running, saving, ended, other };
enum class ExitCause { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::other;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};
struct Heartbeat {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  std::uint64_t agent_incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double> termination_notice_s;
  std::vector<TaskStatus> tasks;
};
std::variant<Heartbeat, Malformed> parse_heartbeat(const std::string& body);

struct Command {
  enum class Kind { start, stop, forget } kind = Kind::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
// At most kMaxOrders go into one response: every line of it must stay within 64 KiB.
inline constexpr std::size_t kMaxCommands = 400;
std::string render_commands(std::uint64_t fencing_token, const std::vector<Command>& commands);
std::string render_direct_commands(std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                   const std::vector<Command>& commands);
std::string render_redirect(const std::optional<std::string>& leader);

std::string render_status(const std::string& id, const char* status);
std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running);
std::string render_error(std::string_view why);

}  // namespace finchrun::wire
