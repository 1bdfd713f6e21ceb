// The interface of users, agents and health checks.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

using state::CommitStatus;

http::Response error(int status, std::string_view why, std::optional<int> retry_after = std::nullopt) {
  return {status, wire::render_error(why), retry_after};
}
http::Response later(std::string_view why, int seconds = 1) { return error(503, why, seconds); }

// Checks what needs the deployment's names. Nothing if it can run; else why it never can.
std::optional<std::string> never_runs(const ControllerState& w, const wire::Submission& s,
                                      const jobs::JobSpec& spec) {
  const auto team = std::find_if(w.settings.teams.begin(), w.settings.teams.end(),
                                 [&](const auto& t) { return t.name == s.team; });
  if (team == w.settings.teams.end()) return "unknown team";
  std::set<std::string> zones;  // in which a task fits some allowed type
  for (const auto& f : w.fleet.machine_types) {
    if (s.types && std::find(s.types->begin(), s.types->end(), f.name) == s.types->end()) continue;
    if (!spec.need.fits(f.size)) continue;
    for (const auto& zone : f.zones)
      if (!s.zone || zone == *s.zone) zones.insert(zone);
  }
  if (zones.empty()) return "a task fits no allowed machine type";
  const double n = spec.needs_all_tasks() ? spec.tasks : 1;
  const sched::TeamQuota empty{{}, team->cpus_max, team->gpus_max};
  if (!empty.allows(spec.need * n)) return "the job needs more than its team's limit";
  if (spec.needs_all_tasks() && spec.one_zone && spec.spread && spec.tasks > 1)
    return "together and scatter exclude each other";
  if (spec.needs_all_tasks() && spec.spread && spec.tasks > 1 && zones.size() < 2)
    return "scatter needs a second zone that allows its tasks";
  if (spec.gang() && spec.tasks > AssignmentWriter::most_assignments(w.settings.state_limits))
    return "pieces: more than can be recorded to start together";
  return std::nullopt;
}

// The field of the protocol that takes most of the job's record.
const char* longest_field(const wire::Submission& s) {
  std::size_t types = 0;
  if (s.types)
    for (const auto& t : *s.types) types += t.size();
  return types > s.image.size() ? "racks" : "plate";
}

}  // namespace

asio::awaitable<http::Response> Controller::handle(http::Request request) {
  const std::string_view target = request.target;
  const auto path = target.substr(0, target.find('?'));
  constexpr std::string_view kJobs = "/submissions";
  const bool get = request.method == "GET", post = request.method == "POST";
  if (path == "/hello") {
    if (!post) co_return error(405, "method not allowed");
    co_return co_await hello(std::move(request.body));
  }
  if (path == "/up") {
    if (!get) co_return error(405, "method not allowed");
    if (!healthy()) co_return later("no news from the state service");
    co_return http::Response{200, "{}"};
  }
  if (path == kJobs) {
    if (!post) co_return error(405, "method not allowed");
    co_return co_await submit(request.body);
  }
  if (path.starts_with(kJobs) && path.size() > kJobs.size() + 1 && path[kJobs.size()] == '/') {
    auto rest = path.substr(kJobs.size() + 1);
    constexpr std::string_view kAbort = "/abort";
    if (rest.ends_with(kAbort)) {
      const std::string id(rest.substr(0, rest.size() - kAbort.size()));
      if (!post) co_return error(405, "method not allowed");
      if (!wire::valid_job_id(id)) co_return error(404, "no such job");
      co_return co_await abort(id);
    }
    if (rest.find('/') == std::string_view::npos) {
      if (!get) co_return error(405, "method not allowed");
      const std::string id(rest);
      if (!wire::valid_job_id(id)) co_return error(404, "no such job");
      co_return co_await query(id);
    }
  }
  co_return error(404, "no such path");
}

http::Response Controller::status_of(core::JobId id) {
  return state_.with([&](ControllerState& w) {
    const auto& name = w.names.jobs.name(id);
    const auto* job = w.cache.job(id);
    if (!job) return w.cache.unreadable(id) ? later("state unknown") : error(404, "no such job");
    if (job->status == jobs::Status::cancelled)
      return http::Response{200, wire::render_status(name, "cancelled")};
    if (job->status == jobs::Status::done)
      return http::Response{200, wire::render_status(name, "done", job->spec.tasks, 0)};
    const auto running = w.cache.placed(id);
    return http::Response{
        200, wire::render_status(name, running > 0 ? "running" : "pending", w.cache.done(id), running)};
  });
}

// In an outage shared by all, being taken out would only cost users a slow return: they are answered 503
// either way. A node that alone has no news, or that nobody answers any more, leaves the users to the others:
// it would turn each of them away at once, have few connections for it, and so be given the next ones too.
bool Controller::healthy() {
  constexpr double kFresh = 3.0, kHeard = 4.0;
  const auto now = core::Steady::now();
  if (state_.with(
          [&](ControllerState& w) { return w.loaded && core::since(w.synchronized_at, now) < kFresh; }))
    return true;
  const bool alone = std::none_of(peer_heard_.begin(), peer_heard_.end(),
                                  [&](core::TimePoint t) { return core::since(t, now) < kHeard; });
  return !peer_in_touch_with_store() && !(alone && !links_.empty());
}

// Nothing can be proved or recorded at present, directly or through a member: that is said at once.
bool Controller::out_of_touch_with_store() {
  constexpr double kPatience = 2.0;
  const auto now = core::Steady::now();
  const bool stale = state_.with(
      [&](ControllerState& w) { return !w.loaded || core::since(w.synchronized_at, now) > kPatience; });
  return stale && !peer_in_touch_with_store();
}

asio::awaitable<http::Response> Controller::query(const std::string& id) {
  // A final state can't change any more: the copy is proof enough.
  const auto final_id = state_.with([&](ControllerState& w) -> std::optional<core::JobId> {
    const auto known = w.names.jobs.find(id);
    if (!known) return std::nullopt;
    const auto* job = w.cache.job(*known);
    return job && job->status != jobs::Status::live ? known : std::nullopt;
  });
  if (final_id) co_return status_of(*final_id);
  if (out_of_touch_with_store()) co_return later("no news from the state service");
  if (!co_await linearizable_read(core::Steady::now() + std::chrono::milliseconds(1200)))
    co_return later("state unknown");
  const auto known = state_.with([&](ControllerState& w) { return w.names.jobs.find(id); });
  if (!known) co_return error(404, "no such job");
  co_return status_of(*known);
}

asio::awaitable<http::Response> Controller::submit(const std::string& body) {
  auto parsed = wire::parse_submission(body);
  if (const auto* bad = std::get_if<wire::Malformed>(&parsed)) co_return error(400, bad->why);
  auto& s = std::get<wire::Submission>(parsed);

  enum class Next { known, never, undecided, too_early, go };
  std::string why;
  state::Transaction txn;
  const Next next = state_.with([&](ControllerState& w) {
    if (w.find_job(s.id)) return Next::known;
    if (!w.loaded || w.fleet.machine_types.empty()) return Next::undecided;
    if (auto never = never_runs(w, s, s.spec)) {
      why = *never;
      return Next::never;
    }
    if (s.spec.standing() && !w.all_members_know(state::kStandingJobs)) return Next::too_early;
    auto& spec = s.spec;
    spec.job_class = w.names.job_classes.intern(s.job_class);
    spec.team = *w.names.teams.find(s.team);
    spec.image = w.names.images.intern(s.image);
    if (s.zone) spec.zone = w.names.zones.intern(*s.zone);
    if (s.types) {
      spec.types.emplace();
      for (const auto& t : *s.types)
        if (auto id = w.names.types.find(t); id && w.fleet.machine_type(*id)) spec.types->push_back(*id);
    }
    spec.submitted_s = core::wall_s();
    jobs::JobRecord record;
    record.spec = spec;
    record.ranges = sched::distribute(spec, partition_capacities(w, spec, core::Steady::now()));
    // Those that come in the next moment see that these wait too.
    for (const auto& r : record.ranges)
      w.load.waiting.at(r.partition.index) += spec.need * static_cast<double>(r.to - r.from);
    auto value = jobs::to_json(record, w.names);
    if (boost::json::serialize(value).size() > w.settings.state_limits.value_bytes()) {
      why = std::string(longest_field(s)) + ": too long to be recorded";
      return Next::never;
    }
    txn.compares.push_back({state::keys::job(s.id), 0});
    txn.writes.push_back({state::keys::job(s.id), std::move(value)});
    return Next::go;
  });
  // 422 and 400 are final to the user, so they are only given when this node is sure that the job is not
  // known.
  if (next == Next::undecided) co_return later("not ready to decide");
  // A controller of an earlier version would take the replicas for tasks that end.
  if (next == Next::too_early) co_return later("standing jobs wait for the upgrade of all controllers", 5);
  if (out_of_touch_with_store()) co_return later("no news from the state service");
  if (next == Next::never) {
    if (!co_await linearizable_read(core::Steady::now() + std::chrono::milliseconds(1200)))
      co_return later("state unknown");
    const bool known = state_.with([&](ControllerState& w) { return w.find_job(s.id) != nullptr; });
    if (!known) co_return error(422, why);
  }
  if (next == Next::known || next == Next::never) co_return co_await query(s.id);

  if (!store_.spend(1, state::KeyValueStore::For::users)) co_return later("too many submissions");
  const auto result = co_await commit(std::move(txn));
  switch (result.outcome) {
    case CommitStatus::done:
      spdlog::info("accepted job={} team={} tasks={} shape={}", s.id, s.team, s.spec.tasks,
                   jobs::name_of(s.spec.shape));
      co_return http::Response{201, wire::render_status(s.id, "pending")};
    case CommitStatus::conflict:
      co_return co_await query(s.id);
    case CommitStatus::unknown: {
      // It might be applied: what the record says after it decides.
      if (!co_await linearizable_read(core::Steady::now() + std::chrono::milliseconds(1000)))
        co_return later("state unknown");
      const bool known = state_.with([&](ControllerState& w) { return w.find_job(s.id) != nullptr; });
      if (known) co_return co_await query(s.id);
      co_return later("state unknown");
    }
    default:
      co_return later("state service refuses");
  }
}

asio::awaitable<http::Response> Controller::abort(const std::string& id) {
  const auto deadline = core::Steady::now() + std::chrono::milliseconds(3000);
  for (int attempt = 0; attempt < 5 && core::Steady::now() < deadline; ++attempt) {
    state::Transaction txn;
    enum class Next { unknown, final, go };
    core::JobId job_id;
    const Next next = state_.with([&](ControllerState& w) {
      const auto known = w.names.jobs.find(id);
      const auto* job = known ? w.cache.job(*known) : nullptr;
      if (!job) return Next::unknown;
      job_id = *known;
      if (job->status != jobs::Status::live) return Next::final;
      jobs::JobRecord over;
      over.status = jobs::Status::cancelled;
      over.spec = job->spec;
      txn.compares.push_back({state::keys::job(id), job->revision});
      txn.writes.push_back({state::keys::job(id), jobs::to_json(over, w.names)});
      return Next::go;
    });
    if (next == Next::final) co_return status_of(job_id);
    if (out_of_touch_with_store()) co_return later("no news from the state service");
    if (next == Next::go) {
      // Not held up by the write budget: cancellations must not be starved by anything.
      store_.spend(1, state::KeyValueStore::For::users);
      const auto result = co_await commit(std::move(txn));
      if (result.outcome == CommitStatus::done) {
        spdlog::info("cancelled job={}", id);
        announce_cancellation(id);
        co_return status_of(job_id);
      }
      if (result.outcome == CommitStatus::refused) co_return later("state service refuses");
    }
    if (!co_await linearizable_read(deadline)) co_return later("state unknown");
    if (next == Next::unknown && !state_.with([&](ControllerState& w) { return w.find_job(id) != nullptr; }))
      co_return error(404, "no such job");
  }
  co_return later("state unknown");
}

http::Response Controller::heartbeat(const std::string& body) {
  auto parsed = wire::parse_heartbeat(body);
  if (const auto* bad = std::get_if<wire::Malformed>(&parsed)) return error(400, bad->why);
  const auto& r = std::get<wire::Heartbeat>(parsed);
  const auto now = core::Steady::now();
  bool changed = false;
  auto response = state_.with([&](ControllerState& w) -> http::Response {
    const auto zone = w.names.zones.find(r.zone);
    const auto partition = zone ? w.partitions.partition_of(r.machine, *zone) : std::nullopt;
    if (!partition) return http::Response{421, wire::render_redirect(std::nullopt)};
    if (!w.leads(*partition)) {
      const auto& leader = w.cache.leadership(*partition).leader;
      const bool elsewhere = w.loaded && !leader.empty() && leader != w.settings.label && w.alive(leader);
      if (!elsewhere) return later("no owner");
      return http::Response{421, wire::render_redirect(leader)};
    }
    if (!w.may_renew_leases(now)) return later("no news from the state service");
    // A late copy, or the cloud is slower than its answer: it does not bring the machine back.
    if (w.fleet.was_deleted(w.names, r.machine)) return later("machine was returned");
    auto& m = w.fleet.intern(w.names, r.machine);
    if (m.first_seen == core::TimePoint{}) m.first_seen = now;
    m.type = w.names.types.intern(r.type);
    m.zone = *zone;
    m.partition = *partition;
    m.spot = r.spot;
    auto result = w.take(m, r, now, false);
    if (result.kind == agent::HeartbeatResult::Kind::deposed)
      return http::Response{421, wire::render_redirect(std::nullopt)};
    changed = result.changed;
    // An older heartbeat changes nothing and is answered without commands: an answer to one of our direct
    // commands may have overtaken it, and turning its agent away would only send it round the other
    // controllers.
    return http::Response{200, wire::render_commands(w.fencing_token(*partition), result.commands)};
  });
  if (changed) writer_wakeup_.cancel();
  return response;
}

}  // namespace finchrun::app
