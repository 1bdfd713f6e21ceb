#include "assignments/shard_split.hpp"

namespace finchrun::assignments {
namespace {

/// Fills one shard after the other, the one that is split first.
class ShardFiller {
 public:
  /// `first`: what the shard that is split holds from the start.
  ShardFiller(ShardContents first, std::size_t max_bytes, const jobs::Names& names)
      : names_(names), max_bytes_(max_bytes), bytes_(bytes_at_most(first, names)) {
    shards_.push_back(std::move(first));
  }
  void put_done(core::JobId job, const jobs::Intervals& done) {
    for (const auto& span : done.spans())
      put(job, [&](jobs::JobAssignments& held) { held.done.add(span.first, span.second); });
  }
  void put_assignments(core::JobId job, const std::vector<jobs::TaskAssignment>& assignments) {
    for (const auto& assignment : assignments)
      put(job, [&](jobs::JobAssignments& held) { held.assignments.push_back(assignment); });
  }
  void next_shard() {
    shards_.emplace_back();
    bytes_ = 0;
  }
  [[nodiscard]] std::vector<ShardContents> take() { return std::move(shards_); }

 private:
  // Puts one span or assignment of the job into the newest shard, or into one more if that is full.
  template <class Add>
  void put(core::JobId job, Add&& add) {
    auto& newest = shards_.back();
    const auto known = newest.find(job);
    auto held = known == newest.end() ? jobs::JobAssignments{} : known->second;
    const auto before = known == newest.end() ? 0 : jobs::bytes_at_most(held, names_);
    add(held);
    const auto bytes = bytes_ + jobs::bytes_at_most(held, names_) - before;
    if (bytes <= max_bytes_) {
      bytes_ = bytes;
      newest[job] = std::move(held);
      return;
    }
    next_shard();
    add(shards_.back()[job]);
    bytes_ = bytes_at_most(shards_.back(), names_);
  }

  const jobs::Names& names_;
  std::size_t max_bytes_, bytes_;  // bytes_: of the newest shard
  std::vector<ShardContents> shards_;
};

// The done tasks that may not move to another shard.
ShardContents done_that_stays(const ShardContents& contents, const SplitRules& rules) {
  ShardContents first;
  for (const auto job : rules.done_stays)
    if (const auto held = contents.find(job); held != contents.end() && !held->second.done.spans().empty())
      first[job].done = held->second.done;
  return first;
}

}  // namespace

std::size_t bytes_at_most(const ShardContents& contents, const jobs::Names& names) {
  std::size_t bytes = 0;
  for (const auto& [_, held] : contents) bytes += jobs::bytes_at_most(held, names);
  return bytes;
}

std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents, const SplitRules& rules,
                                                      const jobs::Names& names) {
  auto first = done_that_stays(contents, rules);
  if (bytes_at_most(first, names) > rules.max_bytes) return std::nullopt;
  ShardFiller filler(std::move(first), rules.max_bytes, names);
  bool some_leave = false;
  for (const auto& [job, held] : contents) {
    if (rules.must_leave.contains(job)) {
      some_leave = true;
      continue;
    }
    if (!rules.done_stays.contains(job)) filler.put_done(job, held.done);
    filler.put_assignments(job, held.assignments);
  }
  if (some_leave) filler.next_shard();
  for (const auto& [job, held] : contents) {
    if (!rules.must_leave.contains(job)) continue;
    filler.put_done(job, held.done);
    filler.put_assignments(job, held.assignments);
  }
  auto shards = filler.take();
  if (shards.size() > rules.max_shards) return std::nullopt;
  return shards;
}

}  // namespace finchrun::assignments
