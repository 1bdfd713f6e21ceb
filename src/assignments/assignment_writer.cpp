#include "assignments/assignment_writer.hpp"

#include <algorithm>

namespace finchrun::assignments {

namespace json = boost::json;

void PlannedTransaction::require(const std::string& key, std::uint64_t revision) {
  if (std::none_of(compares.begin(), compares.end(), [&](const auto& c) { return c.key == key; }))
    compares.push_back({key, revision});
}

namespace {

std::size_t bytes_of(const state::Tombstone& e) { return json::serialize(state::to_json(e)).size() + 1; }
// What the name of a shard takes in the list of ends, with the signs around its jobs.
std::size_t frame_of(const std::string& shard) { return shard.size() + 6; }
// What the job's ends in one shard take, with the names around them.
std::size_t bytes_of(const ControllerState& w, core::JobId id, const std::vector<state::Tombstone>& items) {
  std::size_t bytes = w.names.jobs.name(id).size() + 8;
  for (const auto& item : items) bytes += bytes_of(item);
  return bytes;
}

// Of a shard's limit: a job of many assignments is given shards with so much room.
constexpr double kShareForLarge = 0.9;
// What a shard may be short of, in assignments, beside the room that it was chosen for.
constexpr std::size_t kSpareAssignments = 2;

// One change is left to the ends.
std::size_t shards_for(const config::StateLimits& limits, std::size_t max_writes) {
  return std::clamp<std::size_t>(max_writes - 1, 1, limits.max_full_values());
}

}  // namespace

AssignmentWriter::AssignmentWriter(const ControllerState& w, core::PartitionId partition,
                                   std::size_t max_writes)
    : w_(w),
      partition_(partition),
      max_writes_(max_writes),
      max_shards_(shards_for(w.settings.state_limits, max_writes)),
      max_bytes_(w.settings.state_limits.value_bytes()) {
  for (const auto& [name, jobs] : w.cache.tombstones(partition).shards) {
    // Its shard has been written without what has ended: nothing is lost with these.
    const auto shard = w.cache.find_shard(partition, name);
    if (shard && !w.cache.shard(*shard).needs_tombstones()) continue;
    tombstones_.emplace(name, jobs);
    tombstone_bytes_ += frame_of(name);
    for (const auto& [id, items] : jobs) tombstone_bytes_ += assignments::bytes_of(w, id, items);
  }
  tombstones_too_long_ = tombstone_bytes_ > max_bytes_;
  // While items that nobody needs stand in the store, nothing of their jobs may leave its shard unnoticed.
  tombstones_changed_ =
      !tombstones_too_long_ && tombstones_.size() != w.cache.tombstones(partition).shards.size();
}

std::size_t AssignmentWriter::most_assignments(const config::StateLimits& limits) {
  const auto for_each = static_cast<std::size_t>(kShareForLarge * static_cast<double>(limits.value_bytes()));
  return shards_for(limits, limits.max_writes()) * (for_each / jobs::kAssignmentBytes - kSpareAssignments);
}

ShardContents AssignmentWriter::contents(core::ShardId id) const {
  ShardContents out;
  const auto& shard = w_.cache.shard(id);
  const auto ended = tombstones_.find(shard.name);
  for (const auto job_id : shard.jobs) {
    const auto* run = w_.cache.run(job_id, id);
    const auto* job = w_.cache.job(job_id);
    if (!run || (job && job->status != jobs::Status::live && run->assignments.empty())) continue;
    auto& copy = out[job_id] = *run;
    if (ended == tombstones_.end()) continue;
    if (const auto items = ended->second.find(job_id); items != ended->second.end())
      state::apply_tombstones(copy, items->second);
  }
  return out;
}

bool AssignmentWriter::fits(core::ShardId shard) const {
  return w_.cache.shard(shard).bytes <= max_bytes_ || bytes_at_most(contents(shard), w_.names) <= max_bytes_;
}

void AssignmentWriter::drop_tombstones(const std::string& shard) {
  const auto noted = tombstones_.find(shard);
  if (noted == tombstones_.end()) return;
  tombstone_bytes_ -= frame_of(shard);
  for (const auto& [job, items] : noted->second) tombstone_bytes_ -= assignments::bytes_of(w_, job, items);
  tombstones_.erase(noted);
  tombstones_changed_ = true;
}

AssignmentWriter::Open* AssignmentWriter::open(const std::string& name) {
  if (const auto it = open_.find(name); it != open_.end()) return &it->second;
  if (open_.size() >= max_shards_) return nullptr;
  const auto id = w_.cache.find_shard(partition_, name);
  if (!id) return &open_[name];
  auto jobs = contents(*id);
  const auto bytes = bytes_at_most(jobs, w_.names);
  if (bytes > max_bytes_) return nullptr;
  if (!tombstones_too_long_) drop_tombstones(name);
  auto& shard = open_[name];
  shard = {w_.cache.shard(*id).revision, bytes, std::move(jobs)};
  return &shard;
}

std::string AssignmentWriter::unused_name() const {
  for (std::size_t number = 0;; ++number) {
    auto name = std::to_string(number);
    const auto known = w_.cache.find_shard(partition_, name);
    if (!open_.contains(name) && (!known || w_.cache.shard(*known).revision == 0)) return name;
  }
}

bool AssignmentWriter::split(const std::string& name) {
  const auto id = w_.cache.find_shard(partition_, name);
  const auto jobs = contents(*id);
  // A controller of an earlier version takes ends into a shard for good, whichever it reads first: what is
  // done would count twice for it if it had moved to another shard meanwhile.
  const bool done_may_move = w_.all_controllers_know(state::kTombstonesInAnyOrder);
  SplitRules rules{max_bytes_, max_writes_ - (tombstones_changed_ ? 1 : 0), {}, {}};
  if (!done_may_move)
    for (const auto& [job, _] : jobs) rules.done_stays.insert(job);
  std::optional<std::vector<ShardContents>> shards;
  if (!tombstones_too_long_) {
    auto without_tombstones = rules;
    without_tombstones.max_shards = max_writes_ - 1;
    shards = split_shard(jobs, without_tombstones, w_.names);
  }
  if (shards) {
    drop_tombstones(name);
  } else {
    // The stored ends stay as they are. They are harmless when read again if nothing that they name is left
    // in this shard, or all that they call done.
    if (done_may_move)
      for (const auto& [job, _] : w_.cache.tombstones(partition_).of(name)) rules.must_leave.insert(job);
    shards = split_shard(jobs, rules, w_.names);
  }
  if (!shards) return false;
  open_[name] = {w_.cache.shard(*id).revision, 0, std::move(shards->front())};
  for (std::size_t i = 1; i < shards->size(); ++i) open_[unused_name()].jobs = std::move((*shards)[i]);
  return true;
}

// A job that has left a shard may not come back while stored ends that can't be rewritten name it there:
// they would be taken for its own once more.
bool AssignmentWriter::may_hold(const std::string& name, core::JobId id) const {
  if (!tombstones_too_long_ || !w_.cache.tombstones(partition_).of(name).contains(id)) return true;
  const auto shard = w_.cache.find_shard(partition_, name);
  return shard && w_.cache.run(id, *shard);
}

bool AssignmentWriter::shrink() {
  for (const auto shard : w_.cache.shards(partition_))
    if (!fits(shard) && split(w_.cache.shard(shard).name)) return true;
  if (!tombstones_too_long_) return false;
  for (const auto& [name, _] : tombstones_) open(name);
  return !open_.empty();
}

AssignmentWriter::Open* AssignmentWriter::with_room(core::JobId id, std::size_t bytes) {
  // One that is written anyway, best the one that has the job already.
  Open* best = nullptr;
  for (auto& [name, o] : open_) {
    if (o.bytes + bytes > max_bytes_ || !may_hold(name, id)) continue;
    if (!best || o.jobs.contains(id)) best = &o;
  }
  if (best) return best;
  if (open_.size() >= max_shards_) return nullptr;
  // Else the one of which most has ended, since writing it shortens the ends; of those the fullest with room,
  // so that what is new stays together.
  std::string choice;
  std::pair<std::size_t, std::size_t> best_score{0, 0};  // ends, bytes
  for (const auto shard : w_.cache.shards(partition_)) {
    const auto& s = w_.cache.shard(shard);
    if (open_.contains(s.name) || !may_hold(s.name, id)) continue;
    const std::pair score{tombstones_of(s.name), s.bytes};
    if (s.bytes + bytes > max_bytes_ || score < best_score) continue;
    best_score = score;
    choice = s.name;
  }
  return open(choice.empty() ? unused_name() : choice);
}

std::size_t AssignmentWriter::tombstones_of(const std::string& shard) const {
  std::size_t n = 0;
  if (const auto noted = tombstones_.find(shard); noted != tombstones_.end())
    for (const auto& [_, items] : noted->second) n += items.size();
  return n;
}

bool AssignmentWriter::add(core::JobId id, const std::vector<jobs::TaskAssignment>& assignments) {
  std::vector<std::pair<Open*, std::size_t>> added;
  for (std::size_t at = 0; at < assignments.size();) {
    // As much of it together as there is room for; a large job may need several shards.
    const auto large = static_cast<std::size_t>(kShareForLarge * static_cast<double>(max_bytes_));
    Open* o = with_room(id, std::min((assignments.size() - at + 1) * jobs::kAssignmentBytes, large));
    if (!o) {
      for (const auto& [shard, n] : added) {
        auto& list = shard->jobs[id].assignments;
        list.resize(list.size() - n);
      }
      return false;
    }
    auto& run = o->jobs[id];
    const auto before = run.empty() ? 0 : jobs::bytes_at_most(run, w_.names);
    std::size_t n = 0;
    do {
      run.assignments.push_back(assignments[at++]);
      ++n;
    } while (at < assignments.size() && o->bytes + (n + 2) * jobs::kAssignmentBytes <= max_bytes_);
    o->bytes += jobs::bytes_at_most(run, w_.names) - before;
    added.emplace_back(o, n);
  }
  return true;
}

bool AssignmentWriter::apply_tombstones(const agent::ObservedExit& f) {
  const auto* job = w_.cache.job(f.job);
  for (const auto& p : w_.cache.shard_assignments(f.job)) {
    if (p.partition != partition_ ||
        std::none_of(p.run.assignments.begin(), p.run.assignments.end(),
                     [&](const auto& e) { return e.task == f.task && e.attempt == f.attempt; }))
      continue;
    state::Tombstone item{f.task, f.attempt, {0, 0}};
    if (f.done && job && job->spec.gang()) {
      item.done = {0, job->spec.tasks};  // a gang completes together
    } else if (f.done && !(job && job->spec.standing())) {
      item.done = {f.task, f.task + 1};
    }
    const auto& name = w_.cache.shard(p.shard).name;
    const auto o = open_.find(name);
    if (o == open_.end()) return add_tombstone(name, f.job, item);
    state::apply_tombstones(o->second.jobs[f.job], {item});
    return true;
  }
  return true;  // its assignment is gone already
}

bool AssignmentWriter::add_tombstone(const std::string& shard, core::JobId id, const state::Tombstone& item) {
  if (tombstones_too_long_) {
    if (!open(shard)) return false;
    state::apply_tombstones(open_.at(shard).jobs[id], {item});
    return true;
  }
  const auto more = assignments::bytes_of(w_, id, {item}) + frame_of(shard);
  if (tombstone_bytes_ + more > max_bytes_) {
    // As it is written, what stands here of it goes.
    std::string longest = shard;
    std::size_t most = 0;
    for (const auto& [name, _] : tombstones_)
      if (const auto n = tombstones_of(name); n > most) most = n, longest = name;
    if (!open(longest)) return false;
    if (const auto o = open_.find(shard); o != open_.end()) {
      state::apply_tombstones(o->second.jobs[id], {item});
      return true;
    }
    if (tombstone_bytes_ + more > max_bytes_) return false;
  }
  if (!tombstones_.contains(shard)) tombstone_bytes_ += frame_of(shard);
  auto& items = tombstones_[shard][id];
  tombstone_bytes_ += items.empty() ? assignments::bytes_of(w_, id, {item}) : assignments::bytes_of(item);
  items.push_back(item);
  tombstones_changed_ = true;
  return true;
}

std::uint32_t AssignmentWriter::done(core::JobId id) const {
  std::uint32_t done = 0;
  for (const auto& p : w_.cache.shard_assignments(id)) {
    const auto& name = w_.cache.shard(p.shard).name;
    if (p.partition == partition_ && open_.contains(name)) continue;
    auto run = p.run;
    if (const auto shard = tombstones_.find(name); p.partition == partition_ && shard != tombstones_.end())
      if (const auto items = shard->second.find(id); items != shard->second.end())
        state::apply_tombstones(run, items->second);
    done += run.done.size();
  }
  for (const auto& [_, o] : open_)
    if (const auto run = o.jobs.find(id); run != o.jobs.end()) done += run->second.done.size();
  return done;
}

void AssignmentWriter::finish(PlannedTransaction& e) const {
  const auto& partition = w_.names.partitions.name(partition_);
  e.require(state::keys::partition(partition), w_.fencing_token(partition_));
  e.require(state::keys::fence(partition), w_.cache.fence(partition_));
  for (const auto& [name, o] : open_) {
    const auto key = state::keys::shard(partition, name);
    e.require(key, o.revision);
    json::object jobs;
    for (const auto& [id, run] : o.jobs)
      if (!run.empty()) jobs[w_.names.jobs.name(id)] = jobs::to_json(run, w_.names);
    e.writes.push_back({key, json::object{{"jobs", std::move(jobs)}}});
  }
  if (!tombstones_changed_) return;
  const auto key = state::keys::tombstones(partition);
  e.require(key, w_.cache.tombstones(partition_).revision);
  json::object tombstones;
  for (const auto& [name, jobs] : tombstones_) {
    json::object of_shard;
    for (const auto& [id, items] : jobs) {
      json::array list;
      for (const auto& item : items) list.push_back(state::to_json(item));
      of_shard[w_.names.jobs.name(id)] = std::move(list);
    }
    tombstones[name] = std::move(of_shard);
  }
  e.writes.push_back({key, std::move(tombstones)});
}

jobs::JobRecord finished(const jobs::JobRecord& job) {
  jobs::JobRecord out;
  out.status = jobs::Status::done;
  out.spec = job.spec;
  return out;
}

}  // namespace finchrun::assignments
