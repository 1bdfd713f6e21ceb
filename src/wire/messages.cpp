#include "wire/messages.hpp"

#include <charconv>
#include <cmath>

namespace finchrun::wire {
namespace {

namespace json = boost::json;

// Thrown inside this file only; a message that breaks the rules becomes `Malformed`.
struct Bad {
  std::string why;
};

json::value parse_object(const std::string& body) {
  boost::system::error_code ec;
  json::value v = json::parse(body, ec);
  if (ec) throw Bad{"not JSON"};
  if (!v.is_object()) throw Bad{"not an object"};
  return v;
}

const json::value& need(const json::object& o, const char* key) {
  const auto* v = o.if_contains(key);
  if (!v) throw Bad{std::string("missing field ") + key};
  return *v;
}
// Any field that may be null may also be omitted.
const json::value* maybe(const json::object& o, const char* key) {
  const auto* v = o.if_contains(key);
  return v && !v->is_null() ? v : nullptr;
}

std::string text_of(const json::value& v, const char* key, std::size_t most = 200) {
  if (!v.is_string() || v.as_string().empty() || v.as_string().size() > most)
    throw Bad{std::string("invalid field ") + key};
  return std::string(v.as_string());
}
std::string text(const json::object& o, const char* key) { return text_of(need(o, key), key); }

bool flag(const json::object& o, const char* key) {
  const auto& v = need(o, key);
  if (!v.is_bool()) throw Bad{std::string("invalid field ") + key};
  return v.as_bool();
}

double amount_of(const json::value& v, const char* key) {
  if (!v.is_number()) throw Bad{std::string("invalid field ") + key};
  const double d = v.to_number<double>();
  if (!std::isfinite(d) || d < 0 || d > 1e12) throw Bad{std::string("field out of range ") + key};
  return d;
}
double amount(const json::object& o, const char* key) { return amount_of(need(o, key), key); }

std::uint64_t count_of(const json::value& v, const char* key) {
  if (v.is_int64() && v.as_int64() >= 0) return static_cast<std::uint64_t>(v.as_int64());
  if (v.is_uint64()) return v.as_uint64();
  throw Bad{std::string("invalid field ") + key};
}
std::uint64_t count(const json::object& o, const char* key) { return count_of(need(o, key), key); }

TaskState state_of(std::string_view s) {
  if (s == "pulling") return TaskState::fetching;
  if (s == "waiting") return TaskState::waiting;
  if (s == "running") return TaskState::running;
  if (s == "flushing") return TaskState::saving;
  if (s == "ended") return TaskState::ended;
  return TaskState::other;
}

ExitCause cause_of(std::string_view s) {
  if (s == "done") return ExitCause::done;
  if (s == "halted") return ExitCause::stopped;
  if (s == "mates_gone") return ExitCause::peers;
  if (s == "alone") return ExitCause::alone;
  if (s == "error") return ExitCause::error;
  if (s == "full") return ExitCause::no_room;
  if (s == "in_use") return ExitCause::busy;
  return ExitCause::unknown;
}

std::optional<jobs::Shape> shape_of(std::string_view s) {
  if (s == "array") return jobs::Shape::array;
  if (s == "ensemble") return jobs::Shape::gang;
  if (s == "standing") return jobs::Shape::standing;
  return std::nullopt;
}

Submission read_submission(const json::object& o) {
  Submission s;
  s.id = text(o, "nameId");
  if (!valid_job_id(s.id)) throw Bad{"invalid field nameId"};
  s.job_class = text(o, "lane");
  s.team = text(o, "crew");
  const auto shape = text(o, "shape");
  const auto known_shape = shape_of(shape);
  if (!known_shape) throw Bad{"invalid field shape"};
  s.spec.shape = *known_shape;
  auto priority = jobs::priority_from(text(o, "urgency"));
  if (!priority) throw Bad{"invalid field urgency"};
  s.spec.priority = *priority;
  const auto tasks = count(o, "pieces");
  if (tasks < 1 || tasks > 100000) throw Bad{"field out of range pieces"};
  s.spec.tasks = static_cast<std::uint32_t>(tasks);
  s.spec.need = {amount(o, "vcpus"), amount(o, "gpus"), amount(o, "ramGb")};
  s.image = text(o, "plate");
  s.spec.image_gb = amount(o, "imageGb");
  if (const auto* racks = maybe(o, "racks")) {
    if (!racks->is_array()) throw Bad{"invalid field racks"};
    s.types.emplace();
    for (const auto& r : racks->as_array()) s.types->push_back(text_of(r, "racks"));
  }
  if (const auto* hall = maybe(o, "hall")) s.zone = text_of(*hall, "hall");
  s.spec.one_zone = flag(o, "together");
  s.spec.spread = flag(o, "scatter");
  s.spec.spot = flag(o, "loaners");
  s.spec.expected_run_s = amount(o, "expectS");
  if (s.spec.standing()) s.spec.expected_run_s = jobs::kNoEnd;
  s.spec.checkpoint_s = amount(o, "snapshotS");
  s.spec.save_s = amount(o, "flushS");
  if (const auto* due = maybe(o, "dueS")) s.spec.deadline_s = amount_of(*due, "dueS");
  return s;
}

TaskStatus read_task_status(const json::object& o) {
  TaskStatus p;
  const auto name = text(o, "piece");
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw Bad{"invalid field piece"};
  p.job = name.substr(0, slash);
  const char* last = name.data() + name.size();
  auto [end, err] = std::from_chars(name.data() + slash + 1, last, p.task);
  if (err != std::errc() || end != last) throw Bad{"invalid field piece"};
  p.attempt = count(o, "try");
  p.state = state_of(text(o, "status"));
  if (const auto* cause = maybe(o, "cause")) p.cause = cause_of(text_of(*cause, "cause"));
  if (const auto* saved = maybe(o, "stored")) p.saved = saved->is_bool() && saved->as_bool();
  return p;
}

Heartbeat read_heartbeat(const json::object& o) {
  Heartbeat r;
  r.machine = text(o, "perch");
  r.endpoint = text(o, "endpoint");
  r.type = text(o, "rack");
  r.zone = text(o, "hall");
  r.spot = flag(o, "loaners");
  r.agent_incarnation = count(o, "stint");
  r.sequence = count(o, "tick");
  r.fencing_token = count(o, "baton");
  if (const auto* notice = maybe(o, "warningS")) r.termination_notice_s = amount_of(*notice, "warningS");
  const auto& pieces = need(o, "pieces");
  if (!pieces.is_array()) throw Bad{"invalid field pieces"};
  for (const auto& p : pieces.as_array()) {
    if (!p.is_object()) throw Bad{"invalid field pieces"};
    r.tasks.push_back(read_task_status(p.as_object()));
  }
  return r;
}

template <class T, class F>
std::variant<T, Malformed> guarded(const std::string& body, F&& read) {
  try {
    const json::value v = parse_object(body);
    return read(v.as_object());
  } catch (const Bad& b) {
    return Malformed{b.why};
  }
}

json::array commands_json(const std::vector<Command>& commands) {
  json::array list;
  for (const auto& command : commands) {
    json::object o;
    const bool stop = command.kind == Command::Kind::stop;
    o["verb"] = command.kind == Command::Kind::start ? "run" : stop ? "kill" : "reap";
    o["piece"] = command.job + "/" + std::to_string(command.task);
    o["try"] = command.attempt;
    if (stop) o["leewayS"] = command.grace_s;
    list.push_back(std::move(o));
  }
  return list;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "req-";
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  return !id.empty() && id.size() <= 20 && id.find_first_not_of("0123456789") == std::string_view::npos;
}

std::variant<Submission, Malformed> parse_submission(const std::string& body) {
  return guarded<Submission>(body, read_submission);
}

std::variant<Heartbeat, Malformed> parse_heartbeat(const std::string& body) {
  return guarded<Heartbeat>(body, read_heartbeat);
}

std::string render_commands(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  return json::serialize(json::object{{"baton", fencing_token}, {"orders", commands_json(commands)}});
}

std::string render_direct_commands(std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                   const std::vector<Command>& commands) {
  return json::serialize(json::object{
      {"baton", fencing_token}, {"stint", agent_incarnation}, {"orders", commands_json(commands)}});
}

std::string render_redirect(const std::optional<std::string>& leader) {
  json::object o;
  if (leader) o["foreman"] = *leader;
  return json::serialize(o);
}

std::string render_status(const std::string& id, const char* status) {
  return json::serialize(json::object{{"nameId", id}, {"status", status}});
}

std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running) {
  return json::serialize(
      json::object{{"nameId", id}, {"status", status}, {"done", done}, {"running", running}});
}

std::string render_error(std::string_view why) { return json::serialize(json::object{{"error", why}}); }

}  // namespace finchrun::wire
