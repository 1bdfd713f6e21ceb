#include "scheduling/cluster_load.hpp"

#include "scheduling/waiting_tasks.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ControllerState;

// A machine of which nothing is certain yet, or that is certain to be useless.
bool worth_counting(const ControllerState& w, const agent::Machine& m, core::TimePoint now) {
  if (m.quarantined || m.gone || m.terminating || m.termination_notice_s || !m.partition.valid())
    return false;
  if (w.leads(m.partition)) return w.usable(m, now);
  return m.listed && m.status == "running";
}

const controller::ClusterLoad& current_load(ControllerState& w, core::TimePoint now) {
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

}  // namespace

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

}  // namespace finchrun::scheduling
