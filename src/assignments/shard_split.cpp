#include "assignments/shard_split.hpp"

namespace finchrun::assignments {
namespace {

/// Fills one shard after the other, starting with the shard that is split.
class ShardFiller {
 public:
  /// `first`: the initial contents of the shard that is split.
  ShardFiller(ShardContents first, std::size_t max_bytes, const jobs::Names& names)
      : names_(names), max_bytes_(max_bytes), bytes_(max_stored_bytes(first, names)) {
    shards_.push_back(std::move(first));
  }
  void put_done(core::JobId job, const jobs::Intervals& done) {
    for (const auto& span : done.spans())
      put(job, [&](jobs::JobAssignments& recorded) { recorded.done.add(span.first, span.second); });
  }
  void put_assignments(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments) {
    for (const auto& assignment : assignments)
      put(job, [&](jobs::JobAssignments& recorded) { recorded.assignments.push_back(assignment); });
  }
  void next_shard() {
    shards_.emplace_back();
    bytes_ = 0;
  }
  [[nodiscard]] std::vector<ShardContents> take() { return std::move(shards_); }

 private:
  // Adds one span or assignment of the job to the newest shard, or to a further one if that is full.
  template <class Add>
  void put(core::JobId job, Add&& add) {
    auto& newest = shards_.back();
    const auto found = newest.find(job);
    auto recorded = found == newest.end() ? jobs::JobAssignments{} : found->second;
    const auto before = found == newest.end() ? 0 : jobs::max_stored_bytes(recorded, names_);
    add(recorded);
    const auto bytes = bytes_ + jobs::max_stored_bytes(recorded, names_) - before;
    if (bytes <= max_bytes_) {
      bytes_ = bytes;
      newest[job] = std::move(recorded);
      return;
    }
    next_shard();
    add(shards_.back()[job]);
    bytes_ = max_stored_bytes(shards_.back(), names_);
  }

  const jobs::Names& names_;
  std::size_t max_bytes_, bytes_;  // bytes_: upper bound of the newest shard's size
  std::vector<ShardContents> shards_;
};

// Returns the done tasks that must not move to another shard.
ShardContents pinned_done_tasks(const ShardContents& contents, const SplitConstraints& constraints) {
  ShardContents first;
  for (const auto job : constraints.jobs_with_pinned_done)
    if (const auto recorded = contents.find(job);
        recorded != contents.end() && !recorded->second.done.spans().empty())
      first[job].done = recorded->second.done;
  return first;
}

}  // namespace

std::size_t max_stored_bytes(const ShardContents& contents, const jobs::Names& names) {
  std::size_t bytes = 0;
  for (const auto& [_, recorded] : contents) bytes += jobs::max_stored_bytes(recorded, names);
  return bytes;
}

std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents,
                                                      const SplitConstraints& constraints,
                                                      const jobs::Names& names) {
  auto first = pinned_done_tasks(contents, constraints);
  if (max_stored_bytes(first, names) > constraints.max_bytes) return std::nullopt;
  ShardFiller filler(std::move(first), constraints.max_bytes, names);
  bool has_jobs_to_move = false;
  for (const auto& [job, recorded] : contents) {
    if (constraints.jobs_to_move.contains(job)) {
      has_jobs_to_move = true;
      continue;
    }
    if (!constraints.jobs_with_pinned_done.contains(job)) filler.put_done(job, recorded.done);
    filler.put_assignments(job, recorded.assignments);
  }
  if (has_jobs_to_move) filler.next_shard();
  for (const auto& [job, recorded] : contents) {
    if (!constraints.jobs_to_move.contains(job)) continue;
    filler.put_done(job, recorded.done);
    filler.put_assignments(job, recorded.assignments);
  }
  auto shards = filler.take();
  if (shards.size() > constraints.max_shards) return std::nullopt;
  return shards;
}

}  // namespace finchrun::assignments
