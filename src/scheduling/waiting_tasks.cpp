#include "scheduling/waiting_tasks.hpp"

#include <algorithm>

namespace finchrun::scheduling {

WaitingTasks::WaitingTasks(const state::StateCache& cache, core::JobId id) : job_(cache.job(id)) {
  const auto tasks = job_->spec.tasks;
  // Most jobs have no waiting tasks, which the counters show without a pass over the tasks.
  has_waiting_ = cache.done_tasks(id) + cache.placed_tasks(id) < tasks;
  if (!has_waiting_) return;
  busy_.assign(tasks, false);
  cache.for_each_assignments(
      id, [&](core::PartitionId, const jobs::JobAssignments& recorded) { mark_busy(recorded); });
}

void WaitingTasks::mark_busy(const jobs::JobAssignments& recorded) {
  const auto tasks = job_->spec.tasks;
  // An ended replica is started again, so `done` of a service, recorded by earlier releases, is ignored.
  if (!job_->spec.is_service())
    for (const auto& [from, to] : recorded.done.spans())
      std::fill(busy_.begin() + std::min(from, tasks), busy_.begin() + std::min(to, tasks), true);
  for (const auto& assignment : recorded.assignments)
    if (assignment.task < tasks) busy_[assignment.task] = true;
}

std::uint32_t WaitingTasks::count(core::PartitionId partition) const {
  std::uint32_t waiting = 0;
  if (!has_waiting_) return waiting;
  for (const auto& range : job_->ranges)
    if (range.partition == partition)
      waiting +=
          static_cast<std::uint32_t>(std::count(busy_.begin() + range.from, busy_.begin() + range.to, false));
  return waiting;
}

std::vector<std::uint32_t> WaitingTasks::first_tasks(core::PartitionId partition,
                                                     std::size_t max_count) const {
  std::vector<std::uint32_t> tasks;
  if (!has_waiting_) return tasks;
  for (const auto& range : job_->ranges) {
    if (range.partition != partition) continue;
    for (auto task = range.from; task < range.to && tasks.size() < max_count; ++task)
      if (!busy_[task]) tasks.push_back(task);
  }
  return tasks;
}

}  // namespace finchrun::scheduling
