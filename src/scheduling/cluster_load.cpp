#include "scheduling/cluster_load.hpp"

#include "scheduling/waiting_tasks.hpp"

namespace finchrun::scheduling {

namespace {

using controller::ClusterLoad;
using controller::ControllerState;

constexpr double kMaxLoadAgeS = 0.5;  // avoids a recomputation for each submission

// Returns false for machines that are known to be unusable and for machines in an unknown state.
bool counts_as_capacity(const ControllerState& state, const agent::Machine& machine, core::TimePoint now) {
  if (machine.quarantined || machine.deleted || machine.terminating || machine.termination_notice_s)
    return false;
  if (!machine.partition.valid()) return false;
  if (state.leads(machine.partition)) return state.is_schedulable(machine, now);
  // The machine's heartbeats go to another leader, so only the cloud provider's list shows its state.
  return machine.listed && machine.status == "running";
}

void add_waiting_tasks(ClusterLoad& load, const ControllerState& state) {
  for (const auto id : state.cache.live_jobs()) {
    const WaitingTasks tasks(state.cache, id);
    if (!tasks.has_waiting()) continue;
    const auto& need = state.cache.job(id)->spec.need;
    for (std::uint32_t p = 0; p < load.waiting_demand.size(); ++p)
      load.waiting_demand[p] += need * static_cast<double>(tasks.count(core::PartitionId{p}));
  }
}

void add_machines(ClusterLoad& load, const ControllerState& state, core::TimePoint now) {
  for (const auto& [id, machine] : state.fleet.machines()) {
    if (!counts_as_capacity(state, machine, now)) continue;
    const auto* machine_type = state.fleet.machine_type(machine.type);
    if (!machine_type) continue;
    auto free = machine_type->size;
    free -= state.allocated_on(id);
    load.machines.push_back({machine.partition, machine.type, machine.spot, machine_type->size, free});
    for (const auto& [image, _] : machine.cached_images)
      load.cached_images[machine.partition.index].insert(image);
  }
}

const ClusterLoad& current_load(ControllerState& state, core::TimePoint now) {
  auto& load = state.cluster_load;
  if (load.computed_at != core::TimePoint{} && core::seconds_between(load.computed_at, now) < kMaxLoadAgeS)
    return load;
  load = {};
  load.computed_at = now;
  load.waiting_demand.resize(state.partitions.size());
  load.cached_images.resize(state.partitions.size());
  add_waiting_tasks(load, state);
  add_machines(load, state, now);
  return load;
}

// Converts `waiting` to a number of tasks with `need`, by the resource that gives the highest number.
double equivalent_tasks(const core::Resources& waiting, const core::Resources& need) {
  double tasks = 0;
  if (need.gpus > 0) tasks = std::max(tasks, waiting.gpus / need.gpus);
  if (need.cpus > 0) tasks = std::max(tasks, waiting.cpus / need.cpus);
  return tasks;
}

}  // namespace

std::vector<sched::PartitionCapacity> partition_capacities(ControllerState& state, const jobs::JobSpec& spec,
                                                           core::TimePoint now) {
  const auto& load = current_load(state, now);
  std::vector<sched::PartitionCapacity> capacities(state.partitions.size());
  for (std::uint32_t p = 0; p < capacities.size(); ++p) {
    auto& capacity = capacities[p];
    capacity.partition = core::PartitionId{p};
    capacity.zone = state.partitions.zone(capacity.partition);
    capacity.allowed = !spec.zone || *spec.zone == capacity.zone;
    capacity.backlog = equivalent_tasks(load.waiting_demand[p], spec.need);
    capacity.has_image = load.cached_images[p].contains(spec.image);
  }
  for (const auto& machine : load.machines) {
    if (!spec.allows_type(machine.type) || (machine.spot && !spec.spot)) continue;
    auto& capacity = capacities[machine.partition.index];
    capacity.free += spec.need.max_copies_in(machine.free);
    capacity.capacity += spec.need.max_copies_in(machine.size);
  }
  return capacities;
}

}  // namespace finchrun::scheduling
