#include "app/waiting.hpp"

namespace finchrun::app {

WaitingTasks::WaitingTasks(const state::Mirror& mirror, core::JobId id) : job_(mirror.job(id)) {
  const auto tasks = job_->spec.tasks;
  // Most jobs have nothing waiting; that is seen without looking at single tasks.
  any_ = mirror.done(id) + mirror.placed(id) < tasks;
  if (!any_) return;
  busy_.assign(tasks, false);
  mirror.each_run(id, [&](core::PartId, const jobs::RunRecord& run) {
    // A replica that has ended runs again, whatever an earlier version may have recorded of it.
    if (!job_->spec.standing())
      for (const auto& [from, to] : run.done.spans())
        std::fill(busy_.begin() + std::min(from, tasks), busy_.begin() + std::min(to, tasks), true);
    for (const auto& e : run.entries)
      if (e.task < tasks) busy_[e.task] = true;
  });
}

std::uint32_t WaitingTasks::count(core::PartId part) const {
  std::uint32_t n = 0;
  if (!any_) return n;
  for (const auto& r : job_->ranges)
    if (r.part == part)
      n += static_cast<std::uint32_t>(std::count(busy_.begin() + r.from, busy_.begin() + r.to, false));
  return n;
}

std::vector<std::uint32_t> WaitingTasks::first(core::PartId part, std::size_t most) const {
  std::vector<std::uint32_t> out;
  if (!any_) return out;
  for (const auto& r : job_->ranges) {
    if (r.part != part) continue;
    for (auto task = r.from; task < r.to && out.size() < most; ++task)
      if (!busy_[task]) out.push_back(task);
  }
  return out;
}

}  // namespace finchrun::app
