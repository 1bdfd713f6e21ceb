#include "state/assignment_table.hpp"

#include <algorithm>

namespace finchrun::state {

std::vector<core::JobId> AssignmentTable::apply_shard(core::PartitionId partition, const std::string& name,
                                                      const KeyUpdate& update) {
  const auto id = find_or_create_shard(partition, name);
  auto& shard = shards_[id.index];
  if (update.revision <= shard.revision) return {};
  // The whole record is decoded before the old contents are removed: a malformed record must not be treated
  // as an empty shard.
  std::vector<std::pair<core::JobId, jobs::JobAssignments>> contents;
  if (update.value) contents = decode_shard(*update.value, names_);
  ++version_;
  auto changed = std::exchange(shard.jobs, {});
  shard.revision = update.value ? update.revision : 0;
  shard.bytes = 0;
  shard.unreconciled.clear();
  for (auto& [job, stored] : contents) {
    shard.jobs.push_back(job);
    store_entry(job, id, std::move(stored));
  }
  std::sort(shard.jobs.begin(), shard.jobs.end());
  for (const auto job : changed)
    if (!std::binary_search(shard.jobs.begin(), shard.jobs.end(), job)) replace_entry(job, id, {});
  changed.insert(changed.end(), shard.jobs.begin(), shard.jobs.end());
  return changed;
}

core::ShardId AssignmentTable::find_or_create_shard(core::PartitionId partition, const std::string& name) {
  const auto [it, added] = shard_ids_.try_emplace({partition, name});
  if (added) {
    it->second = core::ShardId{static_cast<std::uint32_t>(shards_.size())};
    shards_.push_back({partition, name, 0, {}, 0, {}});
  }
  return it->second;
}

std::vector<core::JobId> AssignmentTable::apply_tombstones(core::PartitionId partition,
                                                           const KeyUpdate& update) {
  auto& list = tombstones_[partition.index];
  if (update.revision <= list.revision) return {};
  TombstoneList next;
  next.revision = update.revision;
  if (update.value) next = decode_tombstones(*update.value, update.revision, names_);
  ++version_;
  const auto before = std::exchange(list, std::move(next));
  std::set<std::string> names;
  for (const auto& [name, _] : before.shards) names.insert(name);
  for (const auto& [name, _] : list.shards) names.insert(name);
  std::vector<core::JobId> changed;
  for (const auto& name : names) {
    const auto shard = find_shard(partition, name);
    if (!shard) continue;  // the shard's record follows in the same read
    const auto jobs = reapply_tombstones(*shard, before.of(name), list.of(name));
    changed.insert(changed.end(), jobs.begin(), jobs.end());
  }
  return changed;
}

std::vector<core::JobId> AssignmentTable::reapply_tombstones(core::ShardId id, const JobTombstones& before,
                                                             const JobTombstones& after) {
  const auto tombstones_in = [](const JobTombstones& list, core::JobId job) {
    const auto it = list.find(job);
    return it == list.end() ? nullptr : &it->second;
  };
  auto& shard = shards_[id.index];
  std::vector<core::JobId> changed;
  for (const auto job : shard.jobs) {
    const auto* old_items = tombstones_in(before, job);
    const auto* new_items = tombstones_in(after, job);
    if (!old_items && !new_items) continue;
    if (old_items && new_items && *old_items == *new_items) continue;
    const auto* effective = find(job, id);
    const auto current = effective ? *effective : jobs::JobAssignments{};
    const auto unreconciled = shard.unreconciled.find(job);
    shard.bytes -= jobs::max_stored_bytes(current, names_);
    store_entry(job, id, unreconciled != shard.unreconciled.end() ? unreconciled->second : current);
    changed.push_back(job);
  }
  return changed;
}

void AssignmentTable::store_entry(core::JobId id, core::ShardId shard_id, jobs::JobAssignments stored) {
  auto& shard = shards_[shard_id.index];
  const auto& tombstones = tombstones_[shard.partition.index].of(shard.name);
  const auto items = tombstones.find(id);
  auto effective = stored;
  const bool differs = items != tombstones.end() && state::apply_tombstones(effective, items->second);
  shard.bytes += jobs::max_stored_bytes(effective, names_);
  replace_entry(id, shard_id, std::move(effective));
  if (differs) {
    shard.unreconciled[id] = std::move(stored);
  } else {
    shard.unreconciled.erase(id);
  }
}

void AssignmentTable::replace_entry(core::JobId id, core::ShardId shard, jobs::JobAssignments next) {
  auto& job = job_entry(id);
  const auto partition = shards_[shard.index].partition;
  const auto it = std::find_if(job.shard_assignments.begin(), job.shard_assignments.end(),
                               [&](const ShardAssignments& entry) { return entry.shard == shard; });
  if (it != job.shard_assignments.end()) {
    if (it->job_assignments == next) return;
    job.done -= it->job_assignments.done.size();
    job.placed -= static_cast<std::uint32_t>(it->job_assignments.assignments.size());
    remove_from_machines(id, *it);
    job.shard_assignments.erase(it);
  }
  if (!next.empty()) {
    // Each done task and each assignment is recorded in only one shard of its job.
    job.done += next.done.size();
    job.placed += static_cast<std::uint32_t>(next.assignments.size());
    for (const auto& assignment : next.assignments)
      by_machine_[assignment.machine].push_back({id, partition, assignment});
    job.shard_assignments.push_back({partition, shard, std::move(next)});
  }
  if (job.shard_assignments.empty()) {
    assigned_jobs_.erase(id);
  } else {
    assigned_jobs_.insert(id);
  }
}

void AssignmentTable::remove_from_machines(core::JobId id, const ShardAssignments& removed) {
  for (const auto& assignment : removed.job_assignments.assignments) {
    const auto machine = by_machine_.find(assignment.machine);
    if (machine == by_machine_.end()) continue;
    auto& listed_here = machine->second;
    // One of two, while an assignment moves and its new shard is applied before its old one.
    const auto listed =
        std::find_if(listed_here.begin(), listed_here.end(), [&](const MachineAssignment& candidate) {
          return candidate.job == id && candidate.partition == removed.partition &&
                 candidate.assignment == assignment;
        });
    if (listed != listed_here.end()) listed_here.erase(listed);
    if (listed_here.empty()) by_machine_.erase(machine);
  }
}

void AssignmentTable::reset() {
  entries_.clear();
  assigned_jobs_.clear();
  shards_.clear();
  shard_ids_.clear();
  tombstones_.assign(tombstones_.size(), {});
  unreadable_partitions_.clear();
  by_machine_.clear();
}

AssignmentTable::JobEntry& AssignmentTable::job_entry(core::JobId id) {
  if (id.index >= entries_.size()) entries_.resize(id.index + 1);
  return entries_[id.index];
}

std::optional<core::ShardId> AssignmentTable::find_shard(core::PartitionId partition,
                                                         const std::string& name) const {
  const auto it = shard_ids_.find({partition, name});
  if (it == shard_ids_.end()) return std::nullopt;
  return it->second;
}

std::vector<core::ShardId> AssignmentTable::shards(core::PartitionId partition) const {
  std::vector<core::ShardId> present;
  for (auto it = shard_ids_.lower_bound({partition, {}});
       it != shard_ids_.end() && it->first.first == partition; ++it)
    if (shards_[it->second.index].revision > 0) present.push_back(it->second);
  return present;
}

const std::vector<ShardAssignments>& AssignmentTable::shard_assignments(core::JobId id) const {
  static const std::vector<ShardAssignments> nothing;
  return id.index < entries_.size() ? entries_[id.index].shard_assignments : nothing;
}

const jobs::JobAssignments* AssignmentTable::find(core::JobId id, core::ShardId shard) const {
  for (const auto& entry : shard_assignments(id))
    if (entry.shard == shard) return &entry.job_assignments;
  return nullptr;
}

bool AssignmentTable::has_assignment(core::JobId id, core::PartitionId partition, std::uint32_t task,
                                     std::uint64_t attempt) const {
  for (const auto& entry : shard_assignments(id)) {
    if (entry.partition != partition) continue;
    for (const auto& assignment : entry.job_assignments.assignments)
      if (assignment.task == task && assignment.attempt == attempt) return true;
  }
  return false;
}

std::uint32_t AssignmentTable::done_tasks(core::JobId id) const {
  return id.index < entries_.size() ? entries_[id.index].done : 0;
}

std::uint32_t AssignmentTable::placed_tasks(core::JobId id) const {
  return id.index < entries_.size() ? entries_[id.index].placed : 0;
}

const std::vector<MachineAssignment>& AssignmentTable::on_machine(core::MachineId id) const {
  static const std::vector<MachineAssignment> nothing;
  const auto it = by_machine_.find(id);
  return it == by_machine_.end() ? nothing : it->second;
}

}  // namespace finchrun::state
