#include "state/job_table.hpp"

#include <algorithm>

namespace finchrun::state {

void JobTable::apply(core::JobId id, const KeyUpdate& update) {
  auto& entry = this->entry(id);
  if (update.revision <= entry.record.revision) return;
  ++version_;
  unreadable_.erase(id);
  if (!update.value) {
    entry = {};
    live_.erase(id);
    return;
  }
  entry.record = jobs::job_from_json(*update.value, names_);
  entry.record.revision = update.revision;
  entry.exists = true;
  if (entry.record.status == jobs::Status::live) {
    live_.insert(id);
  } else {
    live_.erase(id);
  }
  if (entry.record.status == jobs::Status::cancelled) record_cancellation(id, update.revision);
}

void JobTable::record_cancellation(core::JobId id, std::uint64_t revision) {
  constexpr std::size_t kMaxCancellations = 4096;
  new_cancellations_.push_back(id);
  cancelled_.emplace(revision, id);
  if (cancelled_.size() <= kMaxCancellations) return;
  // After a reset the records are read in the order of their keys.
  cancellations_dropped_up_to_ = std::max(cancellations_dropped_up_to_, cancelled_.begin()->first);
  cancelled_.erase(cancelled_.begin());
}

void JobTable::reset() {
  entries_.clear();
  live_.clear();
  unreadable_.clear();
  cancelled_.clear();
  cancellations_dropped_up_to_ = 0;
}

JobTable::Entry& JobTable::entry(core::JobId id) {
  if (id.index >= entries_.size()) entries_.resize(id.index + 1);
  return entries_[id.index];
}

const jobs::JobRecord* JobTable::find(core::JobId id) const {
  return id.index < entries_.size() && entries_[id.index].exists ? &entries_[id.index].record : nullptr;
}

std::optional<std::vector<core::JobId>> JobTable::cancelled_after(std::uint64_t revision) const {
  if (revision < cancellations_dropped_up_to_) return std::nullopt;
  std::vector<core::JobId> ids;
  for (auto it = cancelled_.lower_bound({revision + 1, core::JobId{0}}); it != cancelled_.end(); ++it)
    ids.push_back(it->second);
  return ids;
}

}  // namespace finchrun::state
