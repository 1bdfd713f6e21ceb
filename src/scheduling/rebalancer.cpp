#include "scheduling/rebalancer.hpp"

#include <spdlog/spdlog.h>

#include "scheduling/cluster_load.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;
using state::CommitStatus;

// How many tasks of the job that zone may still take, by the ranges of its partitions: a task has no
// assignment but in the part of its range, and one that moves has none at all, so what the ranges say covers
// what runs.
std::uint32_t room_in_zone(const ControllerState& w, const jobs::JobRecord& job,
                           core::PartitionId partition) {
  std::uint32_t there = 0;
  for (const auto& range : job.ranges)
    if (w.partitions.zone(range.partition) == w.partitions.zone(partition)) there += range.to - range.from;
  const auto cap = job.spec.zone_cap();
  return cap - std::min(cap, there);
}

// The part with most room for what waits, and how many of the tasks should go there.
std::optional<std::pair<core::PartitionId, std::size_t>> best_partition(ControllerState& w,
                                                                        const jobs::JobRecord& job,
                                                                        const sched::Demand& d,
                                                                        core::PartitionId from, bool whole,
                                                                        core::TimePoint now) {
  std::optional<std::pair<core::PartitionId, std::size_t>> best;
  double most = 0;
  for (const auto& p : partition_capacities(w, job.spec, now)) {
    double spare = p.free - p.backlog;
    // Within one zone a move changes nothing about `scatter`.
    if (job.spec.spread && w.partitions.zone(p.partition) != w.partitions.zone(from))
      spare = std::min(spare, static_cast<double>(room_in_zone(w, job, p.partition)));
    const auto waiting = static_cast<double>(d.tasks.size());
    if (p.partition == from || !p.allowed || spare < (whole ? waiting : 1) || spare <= most) continue;
    most = spare;
    best.emplace(p.partition, static_cast<std::size_t>(std::min(spare, waiting)));
  }
  return best;
}

}  // namespace

asio::awaitable<void> Rebalancer::rebalance(const Backlog& backlog) {
  // What can't be placed here goes where there is room for it: one job a round, so that views stay true.
  struct Move {
    state::Transaction txn;
    std::string text;
  };
  std::optional<Move> move;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    constexpr int kMostTries = 8;  // jobs looked at in one round
    int tries = 0;
    const auto used = w.used_by_team();
    for (std::size_t i = 0; i < backlog.size() && !move && tries < kMostTries; ++i) {
      const auto& d = backlog[i].demand;
      const auto partition = backlog[i].partition;
      const auto* job = w.cache.job(d.job);
      if (!w.leads(partition) || !job || job->status != jobs::Status::live || job->ranges.size() > 48)
        continue;
      const sched::TeamQuota room{used[d.team.index], w.settings.teams[d.team.index].cpus_max,
                                  w.settings.teams[d.team.index].gpus_max};
      if (!room.allows(d.gang ? d.need * static_cast<double>(d.tasks.size()) : d.need)) continue;
      const bool whole = job->spec.gang() || job->spec.one_zone;
      if (whole && w.cache.placed(d.job) > 0) continue;
      ++tries;
      const auto best = best_partition(w, *job, d, partition, whole, now);
      if (!best) continue;
      const auto count = best->second;
      jobs::JobRecord next = *job;
      if (whole) {
        next.ranges = {{0, job->spec.tasks, best->first}};
      } else {
        std::set<std::uint32_t> moved(d.tasks.end() - static_cast<std::ptrdiff_t>(count), d.tasks.end());
        next.ranges.clear();
        for (const auto& r : job->ranges) {
          for (auto task = r.from; task < r.to;) {
            const bool goes = r.partition == partition && moved.contains(task);
            auto end = task + 1;
            while (end < r.to && (r.partition == partition && moved.contains(end)) == goes) ++end;
            next.ranges.push_back({task, end, goes ? best->first : r.partition});
            task = end;
          }
        }
      }
      auto value = jobs::to_json(next, w.names);
      if (boost::json::serialize(value).size() > w.settings.state_limits.value_bytes()) continue;
      const auto& job_name = w.names.jobs.name(d.job);
      const auto& partition_name = w.names.partitions.name(partition);
      move.emplace();
      move->txn.compares.push_back({state::keys::partition(partition_name), w.fencing_token(partition)});
      move->txn.compares.push_back({state::keys::job(job_name), job->revision});
      // A placement of ours that is still under way requires the job's record as it was.
      move->txn.compares.push_back({state::keys::fence(partition_name), w.cache.fence(partition)});
      move->txn.writes.push_back({state::keys::job(job_name), std::move(value)});
      move->text = fmt::format("moved job={} tasks={} from={} to={}", job_name, count, partition_name,
                               w.names.partitions.name(best->first));
    }
  });
  if (!move || !store_.spend(1, state::KeyValueStore::For::records)) co_return;
  const auto result = co_await follower_.commit(std::move(move->txn));
  if (result.outcome == CommitStatus::done) spdlog::info("{}", move->text);
}

}  // namespace finchrun::scheduling
