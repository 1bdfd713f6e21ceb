// Ranges: what the parts offer to a job, and the move of what can't be placed to where there is room.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"
#include "app/waiting.hpp"

namespace finchrun::app {
namespace {

using state::Outcome;

// A machine of which nothing is certain yet, or that is certain to be useless.
bool worth_counting(const World& w, const worker::Machine& m, core::TimePoint now) {
  if (m.sick || m.gone || m.releasing || m.notice_s || !m.part.valid()) return false;
  if (w.acting(m.part)) return w.usable(m, now);
  return m.listed && m.status == "running";
}

// How many tasks of the job that zone may still take, by the ranges of its parts: a task has no entry but in
// the part of its range, and one that moves has none at all, so what the ranges say covers what runs.
std::uint32_t room_in_zone(const World& w, const jobs::JobRecord& job, core::PartId part) {
  std::uint32_t there = 0;
  for (const auto& range : job.ranges)
    if (w.parts.zone(range.part) == w.parts.zone(part)) there += range.to - range.from;
  const auto cap = job.spec.zone_cap();
  return cap - std::min(cap, there);
}

// The part with most room for what waits, and how many of the tasks should go there.
std::optional<std::pair<core::PartId, std::size_t>> best_part(World& w, const jobs::JobRecord& job,
                                                              const sched::Demand& d, core::PartId from,
                                                              bool whole, core::TimePoint now) {
  std::optional<std::pair<core::PartId, std::size_t>> best;
  double most = 0;
  for (const auto& p : part_rooms(w, job.spec, now)) {
    double spare = p.free - p.backlog;
    // Within one zone a move changes nothing about `scatter`.
    if (job.spec.spread && w.parts.zone(p.part) != w.parts.zone(from))
      spare = std::min(spare, static_cast<double>(room_in_zone(w, job, p.part)));
    const auto waiting = static_cast<double>(d.tasks.size());
    if (p.part == from || !p.allowed || spare < (whole ? waiting : 1) || spare <= most) continue;
    most = spare;
    best.emplace(p.part, static_cast<std::size_t>(std::min(spare, waiting)));
  }
  return best;
}

}  // namespace

const Load& current_load(World& w, core::TimePoint now) {
  constexpr double kFresh = 0.5;  // every submission asks; nothing much changes in between
  auto& load = w.load;
  if (load.at != core::TimePoint{} && core::since(load.at, now) < kFresh) return load;
  load = {};
  load.at = now;
  load.waiting.resize(w.parts.size());
  load.images.resize(w.parts.size());
  for (const auto id : w.mirror.live()) {
    const WaitingTasks tasks(w.mirror, id);
    if (!tasks.any()) continue;
    const auto& job = *w.mirror.job(id);
    for (std::uint32_t p = 0; p < load.waiting.size(); ++p)
      load.waiting[p] += job.spec.need * static_cast<double>(tasks.count(core::PartId{p}));
  }
  for (const auto& [id, m] : w.fleet.all()) {
    if (!worth_counting(w, m, now)) continue;
    const auto* flavor = w.fleet.flavor(m.type);
    if (!flavor) continue;
    auto free = flavor->size;
    free -= w.used_on(id);
    load.machines.push_back({m.part, m.type, m.spot, flavor->size, free});
    for (const auto& [image, _] : m.images) load.images[m.part.v].insert(image);
  }
  return load;
}

std::vector<sched::PartRoom> part_rooms(World& w, const jobs::JobSpec& spec, core::TimePoint now) {
  const auto& load = current_load(w, now);
  std::vector<sched::PartRoom> rooms(w.parts.size());
  for (std::uint32_t p = 0; p < rooms.size(); ++p) {
    rooms[p].part = core::PartId{p};
    rooms[p].zone = w.parts.zone(core::PartId{p});
    rooms[p].allowed = !spec.zone || *spec.zone == rooms[p].zone;
    const auto& waiting = load.waiting[p];
    if (spec.need.gpus > 0) rooms[p].backlog = std::max(rooms[p].backlog, waiting.gpus / spec.need.gpus);
    if (spec.need.cpus > 0) rooms[p].backlog = std::max(rooms[p].backlog, waiting.cpus / spec.need.cpus);
    rooms[p].has_image = load.images[p].contains(spec.image);
  }
  for (const auto& m : load.machines) {
    if (!spec.allows_type(m.type) || (m.spot && !spec.spot)) continue;
    auto& room = rooms[m.part.v];
    room.free += spec.need.times_in(m.free);
    room.capacity += spec.need.times_in(m.size);
  }
  return rooms;
}

asio::awaitable<void> Controller::move_ranges() {
  // What can't be placed here goes where there is room for it: one job a round, so that views stay true.
  struct Move {
    state::Txn txn;
    std::string text;
  };
  std::optional<Move> move;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    constexpr int kMostTries = 8;  // jobs looked at in one round
    int tries = 0;
    const auto used = w.used_by_team();
    for (std::size_t i = 0; i < backlog_.size() && !move && tries < kMostTries; ++i) {
      const auto& d = backlog_[i];
      const auto part = backlog_part_[i];
      const auto* job = w.mirror.job(d.job);
      if (!w.acting(part) || !job || job->status != jobs::Status::live || job->ranges.size() > 48) continue;
      const sched::TeamRoom room{used[d.team.v], w.s.teams[d.team.v].cpus_max, w.s.teams[d.team.v].gpus_max};
      if (!room.allows(d.gang ? d.need * static_cast<double>(d.tasks.size()) : d.need)) continue;
      const bool whole = job->spec.gang() || job->spec.one_zone;
      if (whole && w.mirror.placed(d.job) > 0) continue;
      ++tries;
      const auto best = best_part(w, *job, d, part, whole, now);
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
            const bool goes = r.part == part && moved.contains(task);
            auto end = task + 1;
            while (end < r.to && (r.part == part && moved.contains(end)) == goes) ++end;
            next.ranges.push_back({task, end, goes ? best->first : r.part});
            task = end;
          }
        }
      }
      auto value = jobs::to_json(next, w.names);
      if (boost::json::serialize(value).size() > w.s.state_limits.value_bytes()) continue;
      const auto& job_name = w.names.jobs.name(d.job);
      const auto& part_name = w.names.parts.name(part);
      move.emplace();
      move->txn.when.push_back({state::keys::part(part_name), w.token(part)});
      move->txn.when.push_back({state::keys::job(job_name), job->stamp});
      // A placement of ours that is still under way requires the job's record as it was.
      move->txn.when.push_back({state::keys::fence(part_name), w.mirror.fence(part)});
      move->txn.then.push_back({state::keys::job(job_name), std::move(value)});
      move->text = fmt::format("moved job={} tasks={} from={} to={}", job_name, count, part_name,
                               w.names.parts.name(best->first));
    }
  });
  if (!move || !store_.spend(1, state::Store::For::records)) co_return;
  const auto result = co_await commit(std::move(move->txn));
  if (result.outcome == Outcome::done) spdlog::info("{}", move->text);
}

}  // namespace finchrun::app
