#include "assignments/shard_split.hpp"

namespace finchrun::assignments {
namespace {

// Fills one shard after the other.
class ShardFiller {
 public:
  ShardFiller(ShardContents first, std::size_t max_bytes, const jobs::Names& names)
      : names_(names), max_bytes_(max_bytes), bytes_(bytes_at_most(first, names)) {
    shards_.push_back(std::move(first));
  }
  // Puts one thing of the job into the newest shard, or into one more if that is full.
  template <class Add>
  void put(core::JobId id, Add&& add) {
    auto& newest = shards_.back();
    const auto known = newest.find(id);
    auto run = known == newest.end() ? jobs::JobAssignments{} : known->second;
    const auto before = known == newest.end() ? 0 : jobs::bytes_at_most(run, names_);
    add(run);
    const auto bytes = bytes_ + jobs::bytes_at_most(run, names_) - before;
    if (bytes <= max_bytes_) {
      bytes_ = bytes;
      newest[id] = std::move(run);
      return;
    }
    next_shard();
    add(shards_.back()[id]);
    bytes_ = bytes_at_most(shards_.back(), names_);
  }
  void put_done(core::JobId id, const jobs::Intervals& done) {
    for (const auto& span : done.spans())
      put(id, [&](jobs::JobAssignments& to) { to.done.add(span.first, span.second); });
  }
  void put_assignments(core::JobId id, const std::vector<jobs::TaskAssignment>& assignments) {
    for (const auto& assignment : assignments)
      put(id, [&](jobs::JobAssignments& to) { to.assignments.push_back(assignment); });
  }
  void next_shard() {
    shards_.emplace_back();
    bytes_ = 0;
  }
  [[nodiscard]] std::vector<ShardContents> take() { return std::move(shards_); }

 private:
  const jobs::Names& names_;
  std::size_t max_bytes_, bytes_;
  std::vector<ShardContents> shards_;
};

// What the shard that is split begins with.
ShardContents done_that_stays(const ShardContents& contents, const SplitRules& rules) {
  ShardContents first;
  for (const auto id : rules.done_stays)
    if (const auto job = contents.find(id); job != contents.end() && !job->second.done.spans().empty())
      first[id].done = job->second.done;
  return first;
}

}  // namespace

std::size_t bytes_at_most(const ShardContents& contents, const jobs::Names& names) {
  std::size_t bytes = 0;
  for (const auto& [_, run] : contents) bytes += jobs::bytes_at_most(run, names);
  return bytes;
}

std::optional<std::vector<ShardContents>> split_shard(const ShardContents& contents, const SplitRules& rules,
                                                      const jobs::Names& names) {
  auto first = done_that_stays(contents, rules);
  if (bytes_at_most(first, names) > rules.max_bytes) return std::nullopt;
  ShardFiller spreader(std::move(first), rules.max_bytes, names);
  bool some_leave = false;
  for (const auto& [id, run] : contents) {
    if (rules.must_leave.contains(id)) {
      some_leave = true;
      continue;
    }
    if (!rules.done_stays.contains(id)) spreader.put_done(id, run.done);
    spreader.put_assignments(id, run.assignments);
  }
  if (some_leave) spreader.next_shard();
  for (const auto& [id, run] : contents) {
    if (!rules.must_leave.contains(id)) continue;
    spreader.put_done(id, run.done);
    spreader.put_assignments(id, run.assignments);
  }
  auto shards = spreader.take();
  if (shards.size() > rules.max_shards) return std::nullopt;
  return shards;
}

}  // namespace finchrun::assignments
