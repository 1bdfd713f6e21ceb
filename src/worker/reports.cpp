#include "worker/reports.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::worker {
namespace {

using wire::Cause;
using wire::Order;
using wire::TaskState;

void touch_image(Machine& m, const Fleet& fleet, core::ImageId image, double gb) {
  auto at = std::find_if(m.images.begin(), m.images.end(), [&](const auto& i) { return i.first == image; });
  if (at != m.images.end()) m.images.erase(at);
  m.images.emplace_back(image, gb);
  const auto* flavor = fleet.flavor(m.type);
  if (!flavor) return;
  double total = 0;
  for (const auto& [_, size] : m.images) total += size;
  while (m.images.size() > 1 && total > flavor->cache_gb) {
    total -= m.images.front().second;
    m.images.erase(m.images.begin());
  }
}

constexpr double kFailuresForgotten = 120;  // twice the longest pause of a job that fails everywhere

void note_failure(ReportContext& ctx, Machine& m, core::JobId job) {
  m.failed_jobs.insert(job);
  // Several jobs failing on one machine point at the machine; one job failing on several points at the job.
  if (m.failed_jobs.size() >= 2 && !m.sick) {
    m.sick = true;
    spdlog::warn("machine {} is sick: tasks of {} jobs failed on it", m.name, m.failed_jobs.size());
  }
  m.avoid_until = ctx.now + core::secs(20);
  auto& t = ctx.trouble[job];
  // A standing job meets many machines in its life; only failures that come together point at the job.
  if (core::since(t.last_failure, ctx.now) > kFailuresForgotten) t.machines.clear();
  t.last_failure = ctx.now;
  t.machines.insert(m.id);
  ++t.failures;
  if (t.machines.size() >= 2) {
    const double pause =
        std::min(60.0, 2.0 * static_cast<double>(1 << std::min<std::size_t>(t.machines.size(), 6)));
    t.retry_at = ctx.now + core::secs(pause);
  }
}

// Could a start order that went straight to the worker be carried out after this report was made?
bool may_still_start(const ReportContext& ctx, const Start& start, const wire::Report& r) {
  const auto it = ctx.fleet.sent.find(start);
  if (it == ctx.fleet.sent.end() || it->second.token != ctx.token) return false;
  return !it->second.answered_seq || r.seq <= *it->second.answered_seq;
}

bool is_done(const state::Mirror& mirror, const jobs::JobRecord& job, core::JobId id, std::uint32_t task) {
  bool done = false;
  if (job.spec.standing()) return done;
  mirror.each_run(id, [&](core::PartId, const jobs::RunRecord& r) { done = done || r.done.contains(task); });
  return done;
}

}  // namespace

bool gang_broken(const jobs::JobRecord& job, const state::Mirror& mirror, const Fleet& fleet,
                 core::JobId id) {
  if (!job.spec.gang()) return false;
  std::size_t there = 0;
  bool lost = false;
  mirror.each_run(id, [&](core::PartId part, const jobs::RunRecord& run) {
    there += run.entries.size();
    for (const auto& e : run.entries)
      lost = lost || fleet.facts.contains({id, part, e.task, e.attempt, false});
  });
  return lost || there != job.spec.tasks;
}

void machine_gone(const state::Mirror& mirror, Fleet& fleet, core::MachineId id) {
  for (const auto& p : mirror.on_machine(id))
    fleet.facts.insert({p.job, p.part, p.entry.task, p.entry.attempt, false});
}

ReportResult take_report(ReportContext ctx, Machine& m, const wire::Report& r) {
  ReportResult out;
  if (m.reported && std::pair(r.session, r.seq) <= std::pair(m.session, m.seq)) {
    out.kind = ReportResult::Kind::outdated;
    return out;
  }
  if (r.token > ctx.token) {
    out.kind = ReportResult::Kind::deposed;
    return out;
  }
  if (m.reported && r.session > m.session) {
    m.images.clear();
    // Its lease ran out although its reports came: what we answer may not reach it.
    m.suspect_unreachable(ctx.now);
  }
  // A session that outlives a lease has had an answer that the worker accepted.
  if (m.deaf() && r.session == m.session && core::since(m.deaf_in_session, ctx.now) > ctx.lease_s * 1.05 + 1)
    m.heard();
  // Nobody but us gives out this token.
  if (m.reported && r.token > m.token && r.token == ctx.token) m.heard();
  m.reported = true;
  m.session = r.session;
  m.seq = r.seq;
  m.token = r.token;
  // An answer to an order of ours does not say that its worker reaches us: one that can't loses its lease,
  // and with it whatever is placed there.
  if (!ctx.direct) m.last_report = ctx.now;
  m.endpoint = r.endpoint;
  m.notice_s = r.notice_s;
  // Only a report sent after the worker saw our token proves that no order of an earlier owner can still run.
  const bool trusted = r.token == ctx.token;

  std::vector<bool> known(r.pieces.size(), false);
  bool busy = false;
  for (const auto& [job_id, part, e] : ctx.mirror.on_machine(m.id)) {
    if (part != m.part) continue;
    busy = true;
    const Start start{job_id, e.task, e.attempt};
    const Fact gone{job_id, part, e.task, e.attempt, false};
    if (e.session < r.session) {
      out.changed |= ctx.fleet.facts.insert(gone).second;
      continue;
    }
    const auto* job = ctx.mirror.job(job_id);
    const std::string& job_name = ctx.names.jobs.name(job_id);
    const wire::Piece* piece = nullptr;
    for (std::size_t i = 0; i < r.pieces.size(); ++i) {
      const auto& p = r.pieces[i];
      if (p.task == e.task && p.attempt == e.attempt && p.job == job_name) {
        piece = &p;
        known[i] = true;
        break;
      }
    }
    const bool live = job && job->status == jobs::Status::live;
    if (live && piece && piece->state != TaskState::fetching && piece->cause != Cause::no_room)
      touch_image(m, ctx.fleet, job->spec.image, job->spec.image_gb);
    if (piece && piece->state == TaskState::ended) {
      Fact fact = gone;
      // A replica that ends in whatever way runs again.
      fact.done = piece->cause == Cause::done && !(live && job->spec.standing());
      if (ctx.fleet.facts.insert(fact).second) {
        out.changed = true;
        spdlog::info("ended job={} task={} try={} machine={} cause={} saved={}", job_name, e.task, e.attempt,
                     m.name, static_cast<int>(piece->cause), piece->saved);
        if (piece->cause == Cause::error || piece->cause == Cause::unknown) note_failure(ctx, m, job_id);
        if (piece->cause == Cause::no_room) m.avoid_until = ctx.now + core::secs(2);
        if (piece->cause == Cause::done) m.failed_jobs.clear();
      }
      continue;
    }
    const auto stop = ctx.fleet.to_stop.find(start);
    const bool unwanted = !live || stop != ctx.fleet.to_stop.end() ||
                          gang_broken(*job, ctx.mirror, ctx.fleet, job_id) ||
                          is_done(ctx.mirror, *job, job_id, e.task);
    if (!piece) {
      if (trusted && !ctx.direct && !may_still_start(ctx, start, r) &&
          (unwanted || ctx.fleet.seen.contains(start))) {
        // Not there, and no order that would start it can be under way: answers to earlier reports are
        // dead.
        out.changed |= ctx.fleet.facts.insert(gone).second;
      } else if (!unwanted && e.session == r.session && ctx.may_start) {
        out.orders.push_back({Order::Kind::start, job_name, e.task, e.attempt, 0});
      }
      continue;
    }
    if (ctx.fleet.seen.try_emplace(start, ctx.now).second && trusted) m.heard();
    if (!unwanted) continue;
    const double grace = live && stop != ctx.fleet.to_stop.end() ? stop->second : 0;
    if (piece->state == TaskState::saving && grace > 0) continue;
    out.orders.push_back({Order::Kind::stop, job_name, e.task, e.attempt, grace});
  }
  m.unrecorded_tasks = 0;
  for (std::size_t i = 0; i < r.pieces.size(); ++i) {
    if (known[i]) continue;
    const auto& p = r.pieces[i];
    // No record knows it: it has ended and that is recorded, or an earlier owner's start was given up.
    if (p.state == TaskState::ended) {
      // Forgotten, a late copy of its start order would start it once more.
      const auto job = ctx.names.jobs.find(p.job);
      if (job && may_still_start(ctx, {*job, p.task, p.attempt}, r)) continue;
      out.orders.push_back({Order::Kind::forget, p.job, p.task, p.attempt, 0});
    } else {
      ++m.unrecorded_tasks;
      out.orders.push_back({Order::Kind::stop, p.job, p.task, p.attempt, 0});
    }
  }
  if (busy || m.unrecorded_tasks > 0 || m.idle_since == core::TimePoint{}) m.idle_since = ctx.now;
  if (out.orders.size() > wire::kMaxOrders) out.orders.resize(wire::kMaxOrders);
  return out;
}

}  // namespace finchrun::worker
