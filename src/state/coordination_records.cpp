#include "state/coordination_records.hpp"

#include <algorithm>

namespace finchrun::state {

void CoordinationRecords::apply_leadership(std::string_view partition, const KeyUpdate& update) {
  const auto id = names_.partitions.find(partition);
  if (!id || !update.value) return;
  auto& leadership = leadership_.at(id->index);
  if (update.revision <= leadership.revision) return;
  leadership = decode_leadership(*update.value, update.revision);
}

void CoordinationRecords::apply_member(std::string_view label, const KeyUpdate& update) {
  const std::string name(label);
  // If the first record of a label is malformed, an empty member without an incarnation stays, which counts
  // as alive.
  auto& member = members_[name];
  if (update.revision <= member.revision) return;
  if (!update.value) {
    members_.erase(name);
    return;
  }
  member = decode_member(*update.value, update.revision);
  last_record_levels_[name] = member.record_level;
}

void CoordinationRecords::apply_quota(std::string_view team, const KeyUpdate& update) {
  const auto id = names_.teams.find(team);
  if (!id || id->index >= quotas_.size() || !update.value) return;
  auto& quota = quotas_[id->index];
  if (update.revision <= quota.revision) return;
  quota = decode_quota(*update.value, update.revision, partitions(), names_);
}

void CoordinationRecords::apply_fence(std::string_view partition, const KeyUpdate& update) {
  const auto id = names_.partitions.find(partition);
  if (!id) return;
  auto& fence = fences_.at(id->index);
  fence = std::max(fence, update.revision);
}

void CoordinationRecords::apply_usage(std::string_view partition, const KeyUpdate& update) {
  const auto id = names_.partitions.find(partition);
  if (!id || !update.value) return;
  auto& usage = usage_.at(id->index);
  if (update.revision <= usage.revision) return;
  usage = decode_usage(*update.value, update.revision);
}

void CoordinationRecords::reset() {
  leadership_.assign(leadership_.size(), {});
  members_.clear();
  quotas_.assign(quotas_.size(), {});
  fences_.assign(fences_.size(), 0);
  usage_.assign(usage_.size(), {});
}

const Member* CoordinationRecords::member(const std::string& label) const {
  const auto it = members_.find(label);
  return it == members_.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> CoordinationRecords::last_record_level(const std::string& label) const {
  const auto it = last_record_levels_.find(label);
  if (it == last_record_levels_.end()) return std::nullopt;
  return it->second;
}

}  // namespace finchrun::state
