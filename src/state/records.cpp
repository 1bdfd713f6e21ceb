#include "state/records.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace finchrun::state {
namespace {

std::uint64_t to_uint64(const json::value& value) { return value.to_number<std::uint64_t>(); }
std::uint32_t task_number(const json::value& value) { return static_cast<std::uint32_t>(to_uint64(value)); }

Tombstone decode_tombstone(const json::value& stored) {
  const auto& fields = stored.as_array();
  Tombstone tombstone{task_number(fields.at(0)), to_uint64(fields.at(1)), {0, 0}};
  if (fields.size() > 2) tombstone.done = {task_number(fields.at(2)), task_number(fields.at(3))};
  return tombstone;
}

}  // namespace

json::value encode(const Member& member) {
  return json::object{{"inc", member.incarnation}, {"level", member.record_level}};
}

Member decode_member(const json::value& stored, std::uint64_t revision) {
  const auto* level = stored.as_object().if_contains("level");
  return {to_uint64(stored.at("inc")), revision, level ? to_uint64(*level) : 0};
}

json::value encode(const LeadershipRecord& leadership) {
  return json::object{{"owner", leadership.leader}, {"inc", leadership.incarnation}};
}

LeadershipRecord decode_leadership(const json::value& stored, std::uint64_t revision) {
  return {std::string(stored.at("owner").as_string()), to_uint64(stored.at("inc")), revision};
}

json::value encode(const QuotaRecord& quota, const jobs::Names& names) {
  json::object partitions;
  for (std::uint32_t i = 0; i < quota.partitions.size(); ++i) {
    const auto& [share, requested] = quota.partitions[i];
    partitions[names.partitions.name(core::PartitionId{i})] =
        json::array{share.cpus, share.gpus, requested.cpus, requested.gpus};
  }
  return json::object{{"parts", std::move(partitions)}};
}

QuotaRecord decode_quota(const json::value& stored, std::uint64_t revision, std::size_t partitions,
                         const jobs::Names& names) {
  QuotaRecord quota;
  quota.revision = revision;
  quota.partitions.resize(partitions);
  for (const auto& item : stored.at("parts").as_object()) {
    const auto partition = names.partitions.find(std::string_view(item.key()));
    if (!partition) throw std::runtime_error("quota of an unknown partition");
    const auto& amounts = item.value().as_array();
    const auto amount = [&](std::size_t i) { return amounts.at(i).to_number<double>(); };
    quota.partitions.at(partition->index) = {{amount(0), amount(1), 0}, {amount(2), amount(3), 0}};
  }
  return quota;
}

json::value encode(const UsageRecord& usage, std::size_t max_bytes) {
  constexpr std::size_t kEmptyRecordBytes = 48;
  std::size_t bytes = kEmptyRecordBytes;
  json::array windows;
  for (const auto& window : usage.windows) {
    json::array values;
    for (const double core_seconds : window)
      values.push_back(static_cast<std::int64_t>(std::llround(core_seconds)));
    bytes += json::serialize(values).size() + 1;
    if (bytes > max_bytes) break;
    windows.push_back(std::move(values));
  }
  return json::object{{"i", usage.index}, {"w", std::move(windows)}};
}

UsageRecord decode_usage(const json::value& stored, std::uint64_t revision) {
  UsageRecord usage;
  usage.revision = revision;
  usage.index = stored.at("i").to_number<std::int64_t>();
  for (const auto& values : stored.at("w").as_array()) {
    std::vector<double> window;
    for (const auto& value : values.as_array()) window.push_back(value.to_number<double>());
    usage.windows.push_back(std::move(window));
  }
  return usage;
}

json::value encode_fence(std::uint64_t newest_revision) { return newest_revision; }

json::value to_json(const Tombstone& tombstone) {
  json::array fields{tombstone.task, tombstone.attempt};
  if (tombstone.done.first < tombstone.done.second) {
    fields.push_back(tombstone.done.first);
    fields.push_back(tombstone.done.second);
  }
  return fields;
}

const JobTombstones& TombstoneList::of(const std::string& shard) const {
  static const JobTombstones nothing;
  const auto it = shards.find(shard);
  return it == shards.end() ? nothing : it->second;
}

json::value encode(const ShardTombstones& tombstones, const jobs::Names& names) {
  json::object by_shard;
  for (const auto& [shard, jobs] : tombstones) {
    json::object by_job;
    for (const auto& [job, items] : jobs) {
      json::array list;
      for (const auto& item : items) list.push_back(to_json(item));
      by_job[names.jobs.name(job)] = std::move(list);
    }
    by_shard[shard] = std::move(by_job);
  }
  return by_shard;
}

TombstoneList decode_tombstones(const json::value& stored, std::uint64_t revision, jobs::Names& names) {
  TombstoneList list;
  list.revision = revision;
  for (const auto& shard : stored.as_object())
    for (const auto& job : shard.value().as_object()) {
      auto& items = list.shards[std::string(shard.key())][names.jobs.intern(std::string_view(job.key()))];
      for (const auto& item : job.value().as_array()) items.push_back(decode_tombstone(item));
    }
  return list;
}

bool apply_tombstones(jobs::JobAssignments& job_assignments, const std::vector<Tombstone>& items) {
  bool changed = false;
  for (const auto& item : items) {
    const auto erased =
        std::erase_if(job_assignments.assignments, [&](const jobs::TaskAssignment& assignment) {
          return assignment.task == item.task && assignment.attempt == item.attempt;
        });
    // An exit may be reported first without and then with a result; the task is done either way.
    const auto done_before = job_assignments.done.size();
    job_assignments.done.add(item.done.first, item.done.second);
    changed = changed || erased > 0 || job_assignments.done.size() != done_before;
  }
  return changed;
}

json::value encode_shard(const std::map<core::JobId, jobs::JobAssignments>& contents,
                         const jobs::Names& names) {
  json::object jobs;
  for (const auto& [job, assignments] : contents)
    if (!assignments.empty()) jobs[names.jobs.name(job)] = jobs::to_json(assignments, names);
  return json::object{{"jobs", std::move(jobs)}};
}

std::vector<std::pair<core::JobId, jobs::JobAssignments>> decode_shard(const json::value& stored,
                                                                       jobs::Names& names) {
  std::vector<std::pair<core::JobId, jobs::JobAssignments>> contents;
  for (const auto& item : stored.at("jobs").as_object()) {
    const auto job = names.jobs.intern(std::string_view(item.key()));
    contents.emplace_back(job, jobs::assignments_from_json(item.value(), names));
  }
  return contents;
}

}  // namespace finchrun::state
