#include "state/state_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

namespace finchrun::state {

void StateCache::apply(const KeyUpdate& update) {
  newest_revision_ = std::max(newest_revision_, update.revision);
  if (const auto it = deleted_.find(update.key); it != deleted_.end() && update.revision <= it->second)
    return;
  if (!update.value && update.revision > revision_) deleted_[update.key] = update.revision;
  const auto [table_name, name] = keys::split(update.key);
  const auto table = keys::table_from(table_name);
  try {
    apply_to_table(table, name, update);
  } catch (const std::exception& fault) {
    spdlog::error("record unreadable key={} reason={}", update.key, fault.what());
    mark_unreadable(table, name);
  }
}

void StateCache::apply_to_table(keys::Table table, std::string_view name, const KeyUpdate& update) {
  switch (table) {
    case keys::Table::jobs:
      return apply_job(name, update);
    case keys::Table::shards:
      return apply_shard(name, update);
    case keys::Table::tombstones:
      return apply_tombstones(name, update);
    case keys::Table::leadership:
      return records_.apply_leadership(name, update);
    case keys::Table::members:
      return records_.apply_member(name, update);
    case keys::Table::quotas:
      return records_.apply_quota(name, update);
    case keys::Table::fences:
      return records_.apply_fence(name, update);
    case keys::Table::usage:
      return records_.apply_usage(name, update);
    case keys::Table::unknown:
      return;
  }
}

void StateCache::apply_job(std::string_view name, const KeyUpdate& update) {
  const auto id = names_.jobs.intern(name);
  jobs_.apply(id, update);
  update_cancelled_with_tasks(id);
}

void StateCache::apply_shard(std::string_view name, const KeyUpdate& update) {
  const auto [partition_name, shard] = keys::split(name);
  const auto partition = names_.partitions.find(partition_name);
  if (!partition) throw std::runtime_error("assignments of an unknown partition");
  for (const auto job : assignments_.apply_shard(*partition, std::string(shard), update))
    update_cancelled_with_tasks(job);
}

void StateCache::apply_tombstones(std::string_view partition, const KeyUpdate& update) {
  const auto id = names_.partitions.find(partition);
  if (!id) throw std::runtime_error("tombstones of an unknown partition");
  for (const auto job : assignments_.apply_tombstones(*id, update)) update_cancelled_with_tasks(job);
}

void StateCache::mark_unreadable(keys::Table table, std::string_view name) {
  if (table == keys::Table::jobs) {
    jobs_.mark_unreadable(names_.jobs.intern(name));
  } else if (table == keys::Table::shards || table == keys::Table::tombstones) {
    if (const auto partition = names_.partitions.find(keys::split(name).first))
      assignments_.mark_unreadable(*partition);
  }
}

void StateCache::synchronized(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
  newest_revision_ = std::max(newest_revision_, revision_);
  std::erase_if(deleted_, [&](const auto& deleted) { return deleted.second <= revision_; });
}

void StateCache::reset() {
  jobs_.reset();
  assignments_.reset();
  records_.reset();
  cancelled_with_tasks_.clear();
  deleted_.clear();
  revision_ = 0;
}

void StateCache::update_cancelled_with_tasks(core::JobId id) {
  const auto* record = job(id);
  if (record && record->status == jobs::Status::cancelled && placed_tasks(id) > 0) {
    cancelled_with_tasks_.insert(id);
  } else {
    cancelled_with_tasks_.erase(id);
  }
}

std::uint32_t StateCache::done_tasks(core::JobId id) const {
  const auto* record = job(id);
  return record && record->spec.is_service() ? 0 : assignments_.done_tasks(id);
}

}  // namespace finchrun::state
