// Ranges: what the partitions offer to a job, and the move of what can't be placed to where there is room.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"
#include "app/waiting_tasks.hpp"

namespace finchrun::app {
namespace {

using state::CommitStatus;

// A machine of which nothing is certain yet, or that is certain to be useless.
bool worth_counting(const ControllerState& w, const agent::Machine& m, core::TimePoint now) {
  if (m.quarantined || m.gone || m.terminating || m.termination_notice_s || !m.partition.valid())
    return false;
  if (w.leads(m.partition)) return w.usable(m, now);
  return m.listed && m.status == "running";
}

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

const ClusterLoad& current_load(ControllerState& w, core::TimePoint now) {
  constexpr double kFresh = 0.5;  // every submission asks; nothing much changes in between
  auto& load = w.load;
  if (load.at != core::TimePoint{} && core::since(load.at, now) < kFresh) return load;
  load = {};
  load.at = now;
  load.waiting.resize(w.partitions.size());
  load.images.resize(w.partitions.size());
  for (const auto id : w.cache.live()) {
    const WaitingTasks tasks(w.cache, id);
    if (!tasks.any()) continue;
    const auto& job = *w.cache.job(id);
    for (std::uint32_t p = 0; p < load.waiting.size(); ++p)
      load.waiting[p] += job.spec.need * static_cast<double>(tasks.count(core::PartitionId{p}));
  }
  for (const auto& [id, m] : w.fleet.all()) {
    if (!worth_counting(w, m, now)) continue;
    const auto* machine_type = w.fleet.machine_type(m.type);
    if (!machine_type) continue;
    auto free = machine_type->size;
    free -= w.used_on(id);
    load.machines.push_back({m.partition, m.type, m.spot, machine_type->size, free});
    for (const auto& [image, _] : m.images) load.images[m.partition.index].insert(image);
  }
  return load;
}

std::vector<sched::PartitionCapacity> partition_capacities(ControllerState& w, const jobs::JobSpec& spec,
                                                           core::TimePoint now) {
  const auto& load = current_load(w, now);
  std::vector<sched::PartitionCapacity> rooms(w.partitions.size());
  for (std::uint32_t p = 0; p < rooms.size(); ++p) {
    rooms[p].partition = core::PartitionId{p};
    rooms[p].zone = w.partitions.zone(core::PartitionId{p});
    rooms[p].allowed = !spec.zone || *spec.zone == rooms[p].zone;
    const auto& waiting = load.waiting[p];
    if (spec.need.gpus > 0) rooms[p].backlog = std::max(rooms[p].backlog, waiting.gpus / spec.need.gpus);
    if (spec.need.cpus > 0) rooms[p].backlog = std::max(rooms[p].backlog, waiting.cpus / spec.need.cpus);
    rooms[p].has_image = load.images[p].contains(spec.image);
  }
  for (const auto& m : load.machines) {
    if (!spec.allows_type(m.type) || (m.spot && !spec.spot)) continue;
    auto& room = rooms[m.partition.index];
    room.free += spec.need.times_in(m.free);
    room.capacity += spec.need.times_in(m.size);
  }
  return rooms;
}

asio::awaitable<void> Controller::rebalance() {
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
    for (std::size_t i = 0; i < backlog_.size() && !move && tries < kMostTries; ++i) {
      const auto& d = backlog_[i];
      const auto partition = backlog_partition_[i];
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
  const auto result = co_await commit(std::move(move->txn));
  if (result.outcome == CommitStatus::done) spdlog::info("{}", move->text);
}

}  // namespace finchrun::app
