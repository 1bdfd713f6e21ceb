#include "agent/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::agent {
namespace {

using wire::Command;
using wire::ExitCause;
using wire::TaskState;

void touch_image(Machine& m, const Fleet& fleet, core::ImageId image, double gb) {
  auto at = std::find_if(m.images.begin(), m.images.end(), [&](const auto& i) { return i.first == image; });
  if (at != m.images.end()) m.images.erase(at);
  m.images.emplace_back(image, gb);
  const auto* machine_type = fleet.machine_type(m.type);
  if (!machine_type) return;
  double total = 0;
  for (const auto& [_, size] : m.images) total += size;
  while (m.images.size() > 1 && total > machine_type->cache_gb) {
    total -= m.images.front().second;
    m.images.erase(m.images.begin());
  }
}

constexpr double kFailuresForgotten = 120;  // twice the longest pause of a job that fails everywhere

void note_failure(HeartbeatContext& ctx, Machine& m, core::JobId job) {
  m.failed_jobs.insert(job);
  // Several jobs failing on one machine point at the machine; one job failing on several points at the job.
  if (m.failed_jobs.size() >= 2 && !m.quarantined) {
    m.quarantined = true;
    spdlog::warn("machine {} is sick: tasks of {} jobs failed on it", m.name, m.failed_jobs.size());
  }
  m.cordoned_until = ctx.now + core::secs(20);
  auto& t = ctx.job_failures[job];
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

// Could a start command that went straight to the agent be carried out after this heartbeat was made?
bool may_still_start(const HeartbeatContext& ctx, const TaskAttempt& start, const wire::Heartbeat& r) {
  const auto it = ctx.fleet.direct_starts.find(start);
  if (it == ctx.fleet.direct_starts.end() || it->second.fencing_token != ctx.fencing_token) return false;
  return !it->second.answered_sequence || r.sequence <= *it->second.answered_sequence;
}

bool is_done(const state::StateCache& cache, const jobs::JobRecord& job, core::JobId id, std::uint32_t task) {
  bool done = false;
  if (job.spec.standing()) return done;
  cache.each_run(
      id, [&](core::PartitionId, const jobs::JobAssignments& r) { done = done || r.done.contains(task); });
  return done;
}

}  // namespace

bool gang_broken(const jobs::JobRecord& job, const state::StateCache& cache, const Fleet& fleet,
                 core::JobId id) {
  if (!job.spec.gang()) return false;
  std::size_t there = 0;
  bool lost = false;
  cache.each_run(id, [&](core::PartitionId partition, const jobs::JobAssignments& run) {
    there += run.assignments.size();
    for (const auto& e : run.assignments)
      lost = lost || fleet.observed_exits.contains({id, partition, e.task, e.attempt, false});
  });
  return lost || there != job.spec.tasks;
}

void machine_gone(const state::StateCache& cache, Fleet& fleet, core::MachineId id) {
  for (const auto& p : cache.on_machine(id))
    fleet.observed_exits.insert({p.job, p.partition, p.assignment.task, p.assignment.attempt, false});
}

HeartbeatResult handle_heartbeat(HeartbeatContext ctx, Machine& m, const wire::Heartbeat& r) {
  HeartbeatResult out;
  if (m.has_heartbeat &&
      std::pair(r.agent_incarnation, r.sequence) <= std::pair(m.agent_incarnation, m.sequence)) {
    out.kind = HeartbeatResult::Kind::outdated;
    return out;
  }
  if (r.fencing_token > ctx.fencing_token) {
    out.kind = HeartbeatResult::Kind::deposed;
    return out;
  }
  if (m.has_heartbeat && r.agent_incarnation > m.agent_incarnation) {
    m.images.clear();
    // Its lease ran out although its heartbeats came: what we answer may not reach it.
    m.mark_unreachable(ctx.now);
  }
  // A incarnation that outlives a lease has had an answer that the agent accepted.
  if (m.unreachable() && r.agent_incarnation == m.agent_incarnation &&
      core::since(m.unreachable_in_incarnation, ctx.now) > ctx.lease_s * 1.05 + 1)
    m.heard();
  // Nobody but us gives out this fencing token.
  if (m.has_heartbeat && r.fencing_token > m.fencing_token && r.fencing_token == ctx.fencing_token) m.heard();
  m.has_heartbeat = true;
  m.agent_incarnation = r.agent_incarnation;
  m.sequence = r.sequence;
  m.fencing_token = r.fencing_token;
  // An answer to an order of ours does not say that its agent reaches us: one that can't loses its lease,
  // and with it whatever is placed there.
  if (!ctx.direct) m.last_heartbeat = ctx.now;
  m.endpoint = r.endpoint;
  m.termination_notice_s = r.termination_notice_s;
  // Only a heartbeat sent after the agent saw our fencing token proves that no order of an earlier leader can
  // still run.
  const bool trusted = r.fencing_token == ctx.fencing_token;

  std::vector<bool> known(r.tasks.size(), false);
  bool busy = false;
  for (const auto& [job_id, partition, e] : ctx.cache.on_machine(m.id)) {
    if (partition != m.partition) continue;
    busy = true;
    const TaskAttempt start{job_id, e.task, e.attempt};
    const ObservedExit gone{job_id, partition, e.task, e.attempt, false};
    if (e.agent_incarnation < r.agent_incarnation) {
      out.changed |= ctx.fleet.observed_exits.insert(gone).second;
      continue;
    }
    const auto* job = ctx.cache.job(job_id);
    const std::string& job_name = ctx.names.jobs.name(job_id);
    const wire::TaskStatus* status = nullptr;
    for (std::size_t i = 0; i < r.tasks.size(); ++i) {
      const auto& p = r.tasks[i];
      if (p.task == e.task && p.attempt == e.attempt && p.job == job_name) {
        status = &p;
        known[i] = true;
        break;
      }
    }
    const bool live = job && job->status == jobs::Status::live;
    if (live && status && status->state != TaskState::fetching && status->cause != ExitCause::no_room)
      touch_image(m, ctx.fleet, job->spec.image, job->spec.image_gb);
    if (status && status->state == TaskState::ended) {
      ObservedExit observed_exit = gone;
      // A replica that ends in whatever way runs again.
      observed_exit.done = status->cause == ExitCause::done && !(live && job->spec.standing());
      if (ctx.fleet.observed_exits.insert(observed_exit).second) {
        out.changed = true;
        spdlog::info("ended job={} task={} try={} machine={} cause={} saved={}", job_name, e.task, e.attempt,
                     m.name, static_cast<int>(status->cause), status->saved);
        if (status->cause == ExitCause::error || status->cause == ExitCause::unknown)
          note_failure(ctx, m, job_id);
        if (status->cause == ExitCause::no_room) m.cordoned_until = ctx.now + core::secs(2);
        if (status->cause == ExitCause::done) m.failed_jobs.clear();
      }
      continue;
    }
    const auto stop = ctx.fleet.preempting.find(start);
    const bool unwanted = !live || stop != ctx.fleet.preempting.end() ||
                          gang_broken(*job, ctx.cache, ctx.fleet, job_id) ||
                          is_done(ctx.cache, *job, job_id, e.task);
    if (!status) {
      if (trusted && !ctx.direct && !may_still_start(ctx, start, r) &&
          (unwanted || ctx.fleet.confirmed_starts.contains(start))) {
        // Not there, and no command that would start it can be under way: answers to earlier heartbeats are
        // dead.
        out.changed |= ctx.fleet.observed_exits.insert(gone).second;
      } else if (!unwanted && e.agent_incarnation == r.agent_incarnation && ctx.may_start) {
        out.commands.push_back({Command::Kind::start, job_name, e.task, e.attempt, 0});
      }
      continue;
    }
    if (ctx.fleet.confirmed_starts.try_emplace(start, ctx.now).second && trusted) m.heard();
    if (!unwanted) continue;
    const double grace = live && stop != ctx.fleet.preempting.end() ? stop->second : 0;
    if (status->state == TaskState::saving && grace > 0) continue;
    out.commands.push_back({Command::Kind::stop, job_name, e.task, e.attempt, grace});
  }
  m.unrecorded_tasks = 0;
  for (std::size_t i = 0; i < r.tasks.size(); ++i) {
    if (known[i]) continue;
    const auto& p = r.tasks[i];
    // No record knows it: it has ended and that is recorded, or an earlier leader's start was given up.
    if (p.state == TaskState::ended) {
      // Forgotten, a late copy of its start command would start it once more.
      const auto job = ctx.names.jobs.find(p.job);
      if (job && may_still_start(ctx, {*job, p.task, p.attempt}, r)) continue;
      out.commands.push_back({Command::Kind::forget, p.job, p.task, p.attempt, 0});
    } else {
      ++m.unrecorded_tasks;
      out.commands.push_back({Command::Kind::stop, p.job, p.task, p.attempt, 0});
    }
  }
  if (busy || m.unrecorded_tasks > 0 || m.idle_since == core::TimePoint{}) m.idle_since = ctx.now;
  if (out.commands.size() > wire::kMaxCommands) out.commands.resize(wire::kMaxCommands);
  return out;
}

}  // namespace finchrun::agent
