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
  std::string lane, team, image;
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
enum class Cause { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct Piece {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::other;
  Cause cause = Cause::none;
  bool saved = false;
};
struct Report {
  std::string machine, endpoint, type, zone;
  bool spot = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  std::optional<double> notice_s;
  std::vector<Piece> pieces;
};
std::variant<Report, Malformed> parse_report(const std::string& body);

struct Order {
  enum class Kind { start, stop, forget } kind = Kind::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
// At most kMaxOrders go into one response: every line of it must stay within 64 KiB.
inline constexpr std::size_t kMaxOrders = 400;
std::string render_orders(std::uint64_t token, const std::vector<Order>& orders);
std::string render_push(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);
std::string render_moved(const std::optional<std::string>& owner);

std::string render_status(const std::string& id, const char* status);
std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running);
std::string render_error(std::string_view why);

}  // namespace finchrun::wire
