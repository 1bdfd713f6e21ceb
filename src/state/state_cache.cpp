#include "state/state_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace finchrun::state {
namespace {

std::uint64_t whole(const json::value& v) { return v.to_number<std::uint64_t>(); }

// "runs/zone.0/3" -> "runs", "zone.0/3"
std::pair<std::string_view, std::string_view> split(std::string_view key) {
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) return {key, {}};
  return {key.substr(0, slash), key.substr(slash + 1)};
}

Tombstone tombstone_from_json(const json::value& v) {
  const auto& a = v.as_array();
  Tombstone out{static_cast<std::uint32_t>(whole(a.at(0))), whole(a.at(1)), {0, 0}};
  if (a.size() > 2)
    out.done = {static_cast<std::uint32_t>(whole(a.at(2))), static_cast<std::uint32_t>(whole(a.at(3)))};
  return out;
}

}  // namespace

const JobTombstones& TombstoneList::of(const std::string& shard) const {
  static const JobTombstones nothing;
  const auto it = shards.find(shard);
  return it == shards.end() ? nothing : it->second;
}

bool apply_tombstones(jobs::JobAssignments& run, const std::vector<Tombstone>& items) {
  bool changed = false;
  for (const auto& item : items) {
    const auto gone = std::erase_if(run.assignments, [&](const jobs::TaskAssignment& e) {
      return e.task == item.task && e.attempt == item.attempt;
    });
    // Reported first as gone and then as done: it is done all the same.
    const auto before = run.done.size();
    run.done.add(item.done.first, item.done.second);
    changed = changed || gone > 0 || run.done.size() != before;
  }
  return changed;
}

json::value to_json(const Tombstone& e) {
  json::array a{e.task, e.attempt};
  if (e.done.first < e.done.second) {
    a.push_back(e.done.first);
    a.push_back(e.done.second);
  }
  return a;
}

namespace keys {
std::string job(const std::string& id) { return "jobs/" + id; }
std::string shard(const std::string& partition, const std::string& name) {
  return "runs/" + partition + "/" + name;
}
std::string partition(const std::string& partition) { return "parts/" + partition; }
std::string member(const std::string& label) { return "members/" + label; }
std::string team(const std::string& team) { return "teams/" + team; }
std::string usage(const std::string& partition) { return "usage/" + partition; }
std::string fence(const std::string& partition) { return "fence/" + partition; }
std::string tombstones(const std::string& partition) { return "ends/" + partition; }
}  // namespace keys

void StateCache::apply(const KeyUpdate& e) {
  newest_ = std::max(newest_, e.revision);
  if (auto it = deleted_.find(e.key); it != deleted_.end() && e.revision <= it->second) return;
  const auto [table, rest] = split(e.key);
  const bool gone = !e.value;
  if (gone && e.revision > epoch_) deleted_[e.key] = e.revision;
  try {
    if (table == "jobs") {
      const auto id = names_.jobs.intern(rest);
      auto& at = slot(id);
      if (e.revision <= at.job.revision) return;
      ++version_;
      unreadable_.erase(id);
      if (gone) {
        at.job = {};
        at.known = false;
        live_.erase(id);
        update_cancelled_with_tasks(id);
        return;
      }
      at.job = jobs::job_from_json(*e.value, names_);
      at.job.revision = e.revision;
      at.known = true;
      if (at.job.status == jobs::Status::live) {
        live_.insert(id);
      } else {
        live_.erase(id);
      }
      update_cancelled_with_tasks(id);
      if (at.job.status == jobs::Status::cancelled) {
        constexpr std::size_t kMostKept = 4096;
        cancelled_.emplace(e.revision, id);
        if (cancelled_.size() > kMostKept) {
          cancelled_from_ = cancelled_.begin()->first;
          cancelled_.erase(cancelled_.begin());
        }
      }
    } else if (table == "runs") {
      const auto [partition_name, name] = split(rest);
      const auto partition = names_.partitions.find(partition_name);
      if (!partition) throw std::runtime_error("records of an unknown part");
      apply_shard(*partition, std::string(name), e);
    } else if (table == "ends") {
      const auto partition = names_.partitions.find(rest);
      if (!partition) throw std::runtime_error("ends of an unknown part");
      apply_tombstone_list(*partition, e);
    } else if (table == "parts") {
      const auto partition = names_.partitions.find(rest);
      if (!partition || gone) return;
      auto& slot = leadership_.at(partition->index);
      if (e.revision <= slot.revision) return;
      slot = {std::string(e.value->at("owner").as_string()), whole(e.value->at("inc")), e.revision};
    } else if (table == "members") {
      auto& slot = members_[std::string(rest)];
      if (e.revision <= slot.revision) return;
      if (gone) {
        members_.erase(std::string(rest));
      } else {
        const auto* level = e.value->as_object().if_contains("level");
        slot = {whole(e.value->at("inc")), e.revision, level ? whole(*level) : 0};
        last_levels_[std::string(rest)] = slot.level;
      }
    } else if (table == "teams") {
      const auto team = names_.teams.find(rest);
      if (!team || team->index >= teams_.size() || gone || e.revision <= teams_[team->index].revision) return;
      QuotaRecord next;
      next.revision = e.revision;
      next.partitions.resize(leadership_.size());
      for (const auto& item : e.value->at("parts").as_object()) {
        const auto partition = names_.partitions.find(std::string_view(item.key()));
        if (!partition) throw std::runtime_error("allowance of an unknown part");
        const auto& a = item.value().as_array();
        const auto real = [&](std::size_t i) { return a.at(i).to_number<double>(); };
        next.partitions.at(partition->index) = {{real(0), real(1), 0}, {real(2), real(3), 0}};
      }
      teams_[team->index] = std::move(next);
    } else if (table == "fence") {
      const auto partition = names_.partitions.find(rest);
      if (partition) fences_.at(partition->index) = std::max(fences_.at(partition->index), e.revision);
    } else if (table == "usage") {
      const auto partition = names_.partitions.find(rest);
      if (!partition || gone) return;
      auto& slot = usage_.at(partition->index);
      if (e.revision <= slot.revision) return;
      UsageRecord record;
      record.revision = e.revision;
      record.index = e.value->at("i").to_number<std::int64_t>();
      for (const auto& w : e.value->at("w").as_array()) {
        std::vector<double> window;
        for (const auto& v : w.as_array()) window.push_back(v.to_number<double>());
        record.windows.push_back(std::move(window));
      }
      slot = std::move(record);
    }
  } catch (const std::exception& x) {
    spdlog::error("state: record {} makes no sense: {}", e.key, x.what());
    if (table == "runs" || table == "ends") {
      if (const auto partition = names_.partitions.find(split(rest).first))
        unreadable_partitions_.insert(*partition);
    }
    if (table != "jobs") return;
    // Never taken for absence: its user would be told that an accepted job is unknown.
    const auto id = names_.jobs.intern(rest);
    unreadable_.insert(id);
  }
}

void StateCache::synchronized(std::uint64_t revision) {
  epoch_ = std::max(epoch_, revision);
  newest_ = std::max(newest_, epoch_);
  std::erase_if(deleted_, [&](const auto& d) { return d.second <= epoch_; });
}

void StateCache::reset() {
  slots_.clear();
  with_runs_.clear();
  shards_.clear();
  shard_ids_.clear();
  unreadable_partitions_.clear();
  live_.clear();
  unreadable_.clear();
  cancelled_with_tasks_.clear();
  cancelled_.clear();
  cancelled_from_ = 0;
  on_machine_.clear();
  members_.clear();
  deleted_.clear();
  leadership_.assign(leadership_.size(), {});
  teams_.assign(teams_.size(), {});
  fences_.assign(fences_.size(), 0);
  usage_.assign(usage_.size(), {});
  tombstones_.assign(tombstones_.size(), {});
  epoch_ = 0;
}

StateCache::Slot& StateCache::slot(core::JobId id) {
  if (id.index >= slots_.size()) slots_.resize(id.index + 1);
  return slots_[id.index];
}

void StateCache::apply_shard(core::PartitionId partition, const std::string& name, const KeyUpdate& e) {
  const auto [at, fresh] = shard_ids_.try_emplace({partition, name});
  if (fresh) {
    at->second = core::ShardId{static_cast<std::uint32_t>(shards_.size())};
    shards_.push_back({partition, name, 0, {}, 0, {}});
  }
  const auto id = at->second;
  if (e.revision <= shards_[id.index].revision) return;
  // All of it is read before any of the old goes: a record that makes no sense must not be taken for absence.
  std::vector<std::pair<core::JobId, jobs::JobAssignments>> next;
  if (e.value)
    for (const auto& item : e.value->at("jobs").as_object())
      next.emplace_back(names_.jobs.intern(std::string_view(item.key())),
                        jobs::assignments_from_json(item.value(), names_));
  ++version_;
  auto& shard = shards_[id.index];
  const auto before = std::move(shard.jobs);
  shard.jobs.clear();
  shard.revision = e.value ? e.revision : 0;
  shard.bytes = 0;
  shard.unreconciled.clear();
  for (auto& [job, run] : next) {
    shard.jobs.push_back(job);
    show_assignments(job, id, std::move(run));
  }
  std::sort(shard.jobs.begin(), shard.jobs.end());
  for (const auto job : before)
    if (!std::binary_search(shard.jobs.begin(), shard.jobs.end(), job)) replace_assignments(job, id, {});
}

// What is shown depends on the stored values alone, never on the order in which they were read. Ends that
// were taken into a shard for good once counted tasks as done twice: a transaction that moved what is done
// to another shard, and took the ends out of the list, was read shard first.
void StateCache::apply_tombstone_list(core::PartitionId partition, const KeyUpdate& e) {
  auto& at = tombstones_[partition.index];
  if (e.revision <= at.revision) return;
  TombstoneList next;
  next.revision = e.revision;
  if (e.value)
    for (const auto& shard : e.value->as_object())
      for (const auto& job : shard.value().as_object()) {
        auto& items = next.shards[std::string(shard.key())][names_.jobs.intern(std::string_view(job.key()))];
        for (const auto& item : job.value().as_array()) items.push_back(tombstone_from_json(item));
      }
  ++version_;
  const auto before = std::exchange(at, std::move(next));
  std::set<std::string> names;
  for (const auto& [name, _] : before.shards) names.insert(name);
  for (const auto& [name, _] : at.shards) names.insert(name);
  for (const auto& name : names)
    if (const auto shard = find_shard(partition, name))  // else its records follow in the same read
      show_tombstones(*shard, before.of(name), at.of(name));
}

void StateCache::show_tombstones(core::ShardId id, const JobTombstones& before, const JobTombstones& now) {
  auto& shard = shards_[id.index];
  for (const auto job : std::vector<core::JobId>(shard.jobs)) {
    const auto was = before.find(job), is = now.find(job);
    const bool listed = was != before.end() || is != now.end();
    if (!listed || (was != before.end() && is != now.end() && was->second == is->second)) continue;
    const auto* piece = run(job, id);
    const auto shown = piece ? *piece : jobs::JobAssignments{};
    const auto unreconciled = shard.unreconciled.find(job);
    shard.bytes -= jobs::bytes_at_most(shown, names_);
    show_assignments(job, id, unreconciled != shard.unreconciled.end() ? unreconciled->second : shown);
  }
}

void StateCache::show_assignments(core::JobId id, core::ShardId shard_id, jobs::JobAssignments stored) {
  auto& shard = shards_[shard_id.index];
  const auto& ended = tombstones_[shard.partition.index].of(shard.name);
  const auto items = ended.find(id);
  auto shown = stored;
  const bool differs = items != ended.end() && apply_tombstones(shown, items->second);
  shard.bytes += jobs::bytes_at_most(shown, names_);
  replace_assignments(id, shard_id, std::move(shown));
  if (differs) {
    shard.unreconciled[id] = std::move(stored);
  } else {
    shard.unreconciled.erase(id);
  }
}

void StateCache::replace_assignments(core::JobId id, core::ShardId shard, jobs::JobAssignments next) {
  auto& at = slot(id);
  const auto partition = shards_[shard.index].partition;
  auto it = std::find_if(at.shard_assignments.begin(), at.shard_assignments.end(),
                         [&](const ShardAssignments& p) { return p.shard == shard; });
  if (it != at.shard_assignments.end()) {
    if (it->run == next) return;
    at.done -= it->run.done.size();
    at.placed -= static_cast<std::uint32_t>(it->run.assignments.size());
    for (const auto& e : it->run.assignments) {
      const auto machine = on_machine_.find(e.machine);
      if (machine == on_machine_.end()) continue;
      std::erase_if(machine->second, [&](const MachineAssignment& p) {
        return p.job == id && p.partition == partition && p.assignment == e;
      });
      if (machine->second.empty()) on_machine_.erase(machine);
    }
    at.shard_assignments.erase(it);
  }
  if (!next.empty()) {
    // A task stands as done in one shard of its job only, and so does an assignment.
    at.done += next.done.size();
    at.placed += static_cast<std::uint32_t>(next.assignments.size());
    for (const auto& e : next.assignments) on_machine_[e.machine].push_back({id, partition, e});
    at.shard_assignments.push_back({partition, shard, std::move(next)});
  }
  if (at.shard_assignments.empty()) {
    with_runs_.erase(id);
  } else {
    with_runs_.insert(id);
  }
  update_cancelled_with_tasks(id);
}

std::optional<std::vector<core::JobId>> StateCache::cancelled_after(std::uint64_t revision) const {
  if (revision < cancelled_from_) return std::nullopt;
  std::vector<core::JobId> out;
  for (auto it = cancelled_.lower_bound({revision + 1, core::JobId{0}}); it != cancelled_.end(); ++it)
    out.push_back(it->second);
  return out;
}

void StateCache::update_cancelled_with_tasks(core::JobId id) {
  const auto& at = slots_[id.index];
  if (at.known && at.job.status == jobs::Status::cancelled && at.placed > 0) {
    cancelled_with_tasks_.insert(id);
  } else {
    cancelled_with_tasks_.erase(id);
  }
}

const std::vector<ShardAssignments>& StateCache::shard_assignments(core::JobId id) const {
  static const std::vector<ShardAssignments> nothing;
  return id.index < slots_.size() ? slots_[id.index].shard_assignments : nothing;
}

std::optional<core::ShardId> StateCache::find_shard(core::PartitionId partition,
                                                    const std::string& name) const {
  const auto it = shard_ids_.find({partition, name});
  if (it == shard_ids_.end()) return std::nullopt;
  return it->second;
}

std::vector<core::ShardId> StateCache::shards(core::PartitionId partition) const {
  std::vector<core::ShardId> out;
  for (auto it = shard_ids_.lower_bound({partition, {}});
       it != shard_ids_.end() && it->first.first == partition; ++it)
    if (shards_[it->second.index].revision > 0) out.push_back(it->second);
  return out;
}

const jobs::JobAssignments* StateCache::run(core::JobId id, core::ShardId shard) const {
  for (const auto& p : shard_assignments(id))
    if (p.shard == shard) return &p.run;
  return nullptr;
}

const std::vector<MachineAssignment>& StateCache::on_machine(core::MachineId id) const {
  static const std::vector<MachineAssignment> nothing;
  const auto it = on_machine_.find(id);
  return it == on_machine_.end() ? nothing : it->second;
}

bool StateCache::has_assignment(core::JobId id, core::PartitionId partition, std::uint32_t task,
                                std::uint64_t attempt) const {
  for (const auto& p : shard_assignments(id)) {
    if (p.partition != partition) continue;
    for (const auto& e : p.run.assignments)
      if (e.task == task && e.attempt == attempt) return true;
  }
  return false;
}

const jobs::JobRecord* StateCache::job(core::JobId id) const {
  return id.index < slots_.size() && slots_[id.index].known ? &slots_[id.index].job : nullptr;
}

std::uint32_t StateCache::done(core::JobId id) const {
  return id.index < slots_.size() && !slots_[id.index].job.spec.standing() ? slots_[id.index].done : 0;
}

std::uint32_t StateCache::placed(core::JobId id) const {
  return id.index < slots_.size() ? slots_[id.index].placed : 0;
}

std::optional<std::uint64_t> StateCache::last_level(const std::string& label) const {
  const auto it = last_levels_.find(label);
  if (it == last_levels_.end()) return std::nullopt;
  return it->second;
}

const Member* StateCache::member(const std::string& label) const {
  auto it = members_.find(label);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace finchrun::state
