#include "agent/fleet.hpp"

namespace finchrun::agent {

Machine& Fleet::find_or_add(jobs::Names& names, const std::string& name, const MachineIdentity& identity) {
  const auto id = names.machines.intern(name);
  const auto [entry, is_new] = machines_.try_emplace(id);
  auto& machine = entry->second;
  if (is_new) {
    machine.id = id;
    machine.name = name;
  }
  machine.set_identity(identity);
  return machine;
}

Machine& Fleet::mark_seen(jobs::Names& names, const std::string& name, const MachineIdentity& identity,
                          core::TimePoint now) {
  auto& machine = find_or_add(names, name, identity);
  if (machine.first_seen == core::TimePoint{}) machine.first_seen = now;
  return machine;
}

Machine* Fleet::find(core::MachineId id) {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* Fleet::find(core::MachineId id) const {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const cloud::MachineType* Fleet::machine_type(core::MachineTypeId id) const {
  for (std::size_t i = 0; i < machine_type_ids.size(); ++i)
    if (machine_type_ids[i] == id) return &machine_types[i];
  return nullptr;
}

bool Fleet::has_ended(core::JobId job, core::PartitionId partition,
                      const jobs::TaskAssignment& assignment) const {
  ObservedExit observed_exit{job, partition, assignment.task, assignment.attempt, false};
  if (observed_exits.contains(observed_exit)) return true;
  observed_exit.done = true;
  return observed_exits.contains(observed_exit);
}

bool Fleet::was_deleted(const jobs::Names& names, const std::string& name) const {
  const auto id = names.machines.find(name);
  return id && deleted_machines.contains(*id);
}

}  // namespace finchrun::agent
