#include "scheduling/waiting_tasks.hpp"

namespace finchrun::scheduling {

WaitingTasks::WaitingTasks(const state::StateCache& cache, core::JobId id) : job_(cache.job(id)) {
  const auto tasks = job_->spec.tasks;
  // Most jobs have nothing waiting; that is seen without looking at single tasks.
  any_ = cache.done(id) + cache.placed(id) < tasks;
  if (!any_) return;
  busy_.assign(tasks, false);
  cache.each_run(id, [&](core::PartitionId, const jobs::JobAssignments& run) {
    // A replica that has ended runs again, whatever an earlier version may have recorded of it.
    if (!job_->spec.standing())
      for (const auto& [from, to] : run.done.spans())
        std::fill(busy_.begin() + std::min(from, tasks), busy_.begin() + std::min(to, tasks), true);
    for (const auto& e : run.assignments)
      if (e.task < tasks) busy_[e.task] = true;
  });
}

std::uint32_t WaitingTasks::count(core::PartitionId partition) const {
  std::uint32_t n = 0;
  if (!any_) return n;
  for (const auto& r : job_->ranges)
    if (r.partition == partition)
      n += static_cast<std::uint32_t>(std::count(busy_.begin() + r.from, busy_.begin() + r.to, false));
  return n;
}

std::vector<std::uint32_t> WaitingTasks::first(core::PartitionId partition, std::size_t most) const {
  std::vector<std::uint32_t> out;
  if (!any_) return out;
  for (const auto& r : job_->ranges) {
    if (r.partition != partition) continue;
    for (auto task = r.from; task < r.to && out.size() < most; ++task)
      if (!busy_[task]) out.push_back(task);
  }
  return out;
}

}  // namespace finchrun::scheduling
