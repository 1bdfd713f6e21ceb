// Reads assignment records as an earlier release does, to test that this release reads them correctly too.
#pragma once

#include "state/state_cache.hpp"

namespace finchrun::assignments {

/// Applies tombstones to a shard permanently, when it reads either of them. Its counts may therefore depend
/// on the order in which it reads the keys of a transaction.
class EarlierReleaseReader {
 public:
  explicit EarlierReleaseReader(jobs::Names& names) : names_(names) {}

  void read(const state::KeyUpdate& update) {
    if (update.key.starts_with("runs/"))
      read_shard(update.key.substr(update.key.rfind('/') + 1), *update.value);
    if (update.key.starts_with("ends/")) read_tombstones(*update.value);
  }
  [[nodiscard]] std::uint32_t done(const std::string& job) const {
    std::uint32_t sum = 0;
    for (const auto& [_, by_job] : shards_)
      if (const auto found = by_job.find(job); found != by_job.end()) sum += found->second.done.size();
    return sum;
  }

 private:
  using AssignmentsByJob = std::map<std::string, jobs::JobAssignments>;  // by job
  using TombstonesByJob = std::map<std::string, std::vector<state::Tombstone>>;

  void read_shard(const std::string& name, const boost::json::value& value) {
    AssignmentsByJob next;
    for (const auto& item : value.at("jobs").as_object())
      next[std::string(item.key())] = jobs::assignments_from_json(item.value(), names_);
    shards_[name] = std::move(next);
    apply_tombstones(name);
  }
  void read_tombstones(const boost::json::value& value) {
    tombstones_.clear();
    for (const auto& shard : value.as_object())
      for (const auto& job : shard.value().as_object())
        for (const auto& item : job.value().as_array()) {
          const auto& fields = item.as_array();
          const auto number = [&](std::size_t i) { return fields.at(i).to_number<std::uint32_t>(); };
          state::Tombstone tombstone{number(0), fields.at(1).to_number<std::uint64_t>(), {0, 0}};
          if (fields.size() > 2) tombstone.done = {number(2), number(3)};
          tombstones_[std::string(shard.key())][std::string(job.key())].push_back(tombstone);
        }
    for (const auto& [name, _] : tombstones_) apply_tombstones(name);
  }
  void apply_tombstones(const std::string& name) {
    const auto shard = shards_.find(name);
    if (shard == shards_.end()) return;
    for (const auto& [job, tombstones] : tombstones_[name])
      if (const auto found = shard->second.find(job); found != shard->second.end())
        state::apply_tombstones(found->second, tombstones);
  }

  jobs::Names& names_;
  std::map<std::string, AssignmentsByJob> shards_;
  std::map<std::string, TombstonesByJob> tombstones_;
};

}  // namespace finchrun::assignments
