#include "agent/fleet.hpp"

#include "metrics/metrics.hpp"

namespace finchrun::agent {

const char* name_of(ExitProof proof) {
  switch (proof) {
    case ExitProof::shown_ended:
      return "shown_ended";
    case ExitProof::absent:
      return "absent";
    case ExitProof::later_incarnation:
      return "later_incarnation";
    case ExitProof::machine_deleted:
      return "machine_deleted";
    case ExitProof::machine_not_listed:
      return "machine_not_listed";
  }
  return "unknown";
}

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

bool Fleet::observe_exit(const ObservedExit& exit) {
  const auto [observed, is_new] = observed_exits.insert(exit);
  if (!is_new && observed->fencing_token >= exit.fencing_token) return false;
  if (!is_new) observed_exits.insert(observed_exits.erase(observed), exit);
  metrics::count_exit(name_of(exit.proof));
  return true;
}

void Fleet::withdraw_exit(core::JobId job, core::PartitionId partition,
                          const jobs::TaskAssignment& assignment) {
  for (const bool done : {false, true})
    observed_exits.erase({job, partition, assignment.task, assignment.attempt, done});
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
