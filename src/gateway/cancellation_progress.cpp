#include "gateway/cancellation_progress.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace finchrun::gateway {
namespace {

using agent::KnownCancellation;
using controller::ControllerState;

bool leads_any(const ControllerState& state) {
  for (std::uint32_t index = 0; index < state.partitions.size(); ++index)
    if (state.leads(core::PartitionId{index})) return true;
  return false;
}

void log_learned(const ControllerState& state, core::JobId job, const KnownCancellation& cancellation,
                 std::size_t tasks) {
  const auto* record = state.cache.job(job);
  spdlog::info("cancellation learned job={} revision={} source={} confirmed_within_s={:.2f} tasks={}",
               state.names.jobs.name(job), record ? record->revision : 0, name_of(cancellation.source),
               core::seconds_between(cancellation.confirmed_after, cancellation.learned_at), tasks);
}

void log_overdue(const ControllerState& state, core::JobId job, const KnownCancellation& cancellation,
                 std::size_t tasks, core::TimePoint now) {
  spdlog::warn(
      "cancelled tasks linger job={} tasks={} learned_s={:.1f} source={} stops_sent={} stops_unanswered={} "
      "renewals={} state_age_s={:.1f} cancellations_known_s={:.1f}",
      state.names.jobs.name(job), tasks, core::seconds_between(cancellation.learned_at, now),
      name_of(cancellation.source), cancellation.stops_sent, cancellation.stops_unanswered,
      cancellation.renewals, core::seconds_between(state.synchronized_at, now),
      core::seconds_between(state.cancellations_known_at(now), now));
}

void log_gone(const ControllerState& state, core::JobId job, const KnownCancellation& cancellation,
              core::TimePoint now) {
  spdlog::info("cancelled tasks gone job={} learned_s={:.1f} stops_sent={} stops_unanswered={} renewals={}",
               state.names.jobs.name(job), core::seconds_between(cancellation.learned_at, now),
               cancellation.stops_sent, cancellation.stops_unanswered, cancellation.renewals);
}

// A placement is conditional on the job's record before its cancellation. So once everything up to the
// cancellation is read, a job without tasks gets no more.
bool can_have_no_tasks(const ControllerState& state, core::JobId job) {
  const auto* record = state.cache.job(job);
  return state.cache_loaded && record && state.cache.revision() >= record->revision &&
         !state.cache.cancelled_with_tasks().contains(job);
}

}  // namespace

std::size_t lingering_tasks(const ControllerState& state, core::JobId job) {
  std::size_t tasks = 0;
  state.cache.for_each_assignments(
      job, [&](core::PartitionId partition, const jobs::JobAssignments& job_assignments) {
        if (!state.leads(partition)) return;
        for (const auto& assignment : job_assignments.assignments)
          tasks += state.fleet.has_ended(job, partition, assignment) ? 0 : 1;
      });
  return tasks;
}

LingeringTasks lingering_tasks(const ControllerState& state, core::TimePoint now) {
  LingeringTasks all;
  for (const auto& [job, cancellation] : state.fleet.cancellations.all()) {
    const auto tasks = lingering_tasks(state, job);
    if (tasks == 0) continue;
    all.tasks += tasks;
    all.oldest_s = std::max(all.oldest_s, core::seconds_between(cancellation.learned_at, now));
  }
  return all;
}

void log_cancellation_progress(ControllerState& state, core::TimePoint now) {
  std::vector<core::JobId> over;
  for (auto& [job, cancellation] : state.fleet.cancellations.all()) {
    const auto tasks = lingering_tasks(state, job);
    if (tasks > 0 && !cancellation.is_logged) {
      cancellation.is_logged = true;
      log_learned(state, job, cancellation, tasks);
    }
    const double known_s = core::seconds_between(cancellation.learned_at, now);
    if (tasks > 0 && !cancellation.is_overdue_logged && known_s > state.settings.lease_renewal_window_s()) {
      cancellation.is_overdue_logged = true;
      log_overdue(state, job, cancellation, tasks, now);
    }
    if (tasks == 0 && cancellation.is_logged && state.cache_loaded) {
      cancellation.is_logged = false;
      log_gone(state, job, cancellation, now);
    }
    if (can_have_no_tasks(state, job)) over.push_back(job);
  }
  for (const auto job : over) state.fleet.cancellations.forget(job);
}

void RenewalLog::update(const ControllerState& state, core::TimePoint now) {
  const bool suspended = leads_any(state) && !state.can_renew_leases(now);
  if (suspended == suspended_) return;
  suspended_ = suspended;
  if (suspended) {
    suspended_since_ = now;
    spdlog::warn("lease renewal suspended cancellations_known_s={:.1f} state_age_s={:.1f}",
                 core::seconds_between(state.cancellations_known_at(now), now),
                 core::seconds_between(state.synchronized_at, now));
  } else {
    spdlog::info("lease renewal resumed suspended_s={:.1f}", core::seconds_between(suspended_since_, now));
  }
}

}  // namespace finchrun::gateway
