#include "gateway/job_api.hpp"

#include <spdlog/spdlog.h>

#include "assignments/assignment_writer.hpp"
#include "gateway/responses.hpp"
#include "sched/distribute.hpp"
#include "scheduling/cluster_load.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

using state::CommitStatus;

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
  if (spec.gang() && spec.tasks > assignments::AssignmentWriter::most_assignments(w.settings.state_limits))
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

http::Response JobApi::status_of(core::JobId id) {
  return state_.with([&](ControllerState& w) {
    const auto& name = w.names.jobs.name(id);
    const auto* job = w.cache.job(id);
    if (!job)
      return w.cache.unreadable(id) ? retry_later("state unknown") : error_response(404, "no such job");
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
bool JobApi::ready() {
  constexpr double kFresh = 3.0, kHeard = 4.0;
  const auto now = core::Steady::now();
  if (state_.with(
          [&](ControllerState& w) { return w.loaded && core::since(w.synchronized_at, now) < kFresh; }))
    return true;
  const bool alone = !peers_.any_heard_within(kHeard, now);
  return !peers_.in_touch_with_store() && !(alone && !peers_.empty());
}

// Nothing can be proved or recorded at present, directly or through a member: that is said at once.
bool JobApi::out_of_touch_with_store() {
  constexpr double kPatience = 2.0;
  const auto now = core::Steady::now();
  const bool stale = state_.with(
      [&](ControllerState& w) { return !w.loaded || core::since(w.synchronized_at, now) > kPatience; });
  return stale && !peers_.in_touch_with_store();
}

asio::awaitable<http::Response> JobApi::query(std::string id) {
  // A final state can't change any more: the copy is proof enough.
  const auto final_id = state_.with([&](ControllerState& w) -> std::optional<core::JobId> {
    const auto known = w.names.jobs.find(id);
    if (!known) return std::nullopt;
    const auto* job = w.cache.job(*known);
    return job && job->status != jobs::Status::live ? known : std::nullopt;
  });
  if (final_id) co_return status_of(*final_id);
  if (out_of_touch_with_store()) co_return retry_later("no news from the state service");
  if (!co_await follower_.linearizable_read(core::Steady::now() + std::chrono::milliseconds(1200)))
    co_return retry_later("state unknown");
  const auto known = state_.with([&](ControllerState& w) { return w.names.jobs.find(id); });
  if (!known) co_return error_response(404, "no such job");
  co_return status_of(*known);
}

asio::awaitable<http::Response> JobApi::submit(std::string body) {
  auto parsed = wire::parse_submission(body);
  if (const auto* bad = std::get_if<wire::Malformed>(&parsed)) co_return error_response(400, bad->why);
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
    record.ranges = sched::distribute(spec, scheduling::partition_capacities(w, spec, core::Steady::now()));
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
  if (next == Next::undecided) co_return retry_later("not ready to decide");
  // A controller of an earlier version would take the replicas for tasks that end.
  if (next == Next::too_early)
    co_return retry_later("standing jobs wait for the upgrade of all controllers", 5);
  if (out_of_touch_with_store()) co_return retry_later("no news from the state service");
  if (next == Next::never) {
    if (!co_await follower_.linearizable_read(core::Steady::now() + std::chrono::milliseconds(1200)))
      co_return retry_later("state unknown");
    const bool known = state_.with([&](ControllerState& w) { return w.find_job(s.id) != nullptr; });
    if (!known) co_return error_response(422, why);
  }
  if (next == Next::known || next == Next::never) co_return co_await query(s.id);

  if (!store_.spend(1, state::KeyValueStore::For::users)) co_return retry_later("too many submissions");
  const auto result = co_await follower_.commit(std::move(txn));
  switch (result.outcome) {
    case CommitStatus::done:
      spdlog::info("accepted job={} team={} tasks={} shape={}", s.id, s.team, s.spec.tasks,
                   jobs::name_of(s.spec.shape));
      co_return http::Response{201, wire::render_status(s.id, "pending")};
    case CommitStatus::conflict:
      co_return co_await query(s.id);
    case CommitStatus::unknown: {
      // It might be applied: what the record says after it decides.
      if (!co_await follower_.linearizable_read(core::Steady::now() + std::chrono::milliseconds(1000)))
        co_return retry_later("state unknown");
      const bool known = state_.with([&](ControllerState& w) { return w.find_job(s.id) != nullptr; });
      if (known) co_return co_await query(s.id);
      co_return retry_later("state unknown");
    }
    default:
      co_return retry_later("state service refuses");
  }
}

asio::awaitable<http::Response> JobApi::cancel(std::string id) {
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
    if (out_of_touch_with_store()) co_return retry_later("no news from the state service");
    if (next == Next::go) {
      // Not held up by the write budget: cancellations must not be starved by anything.
      store_.spend(1, state::KeyValueStore::For::users);
      const auto result = co_await follower_.commit(std::move(txn));
      if (result.outcome == CommitStatus::done) {
        spdlog::info("cancelled job={}", id);
        peer_service_.announce_cancellation(id);
        co_return status_of(job_id);
      }
      if (result.outcome == CommitStatus::refused) co_return retry_later("state service refuses");
    }
    if (!co_await follower_.linearizable_read(deadline)) co_return retry_later("state unknown");
    if (next == Next::unknown && !state_.with([&](ControllerState& w) { return w.find_job(id) != nullptr; }))
      co_return error_response(404, "no such job");
  }
  co_return retry_later("state unknown");
}

}  // namespace finchrun::gateway
