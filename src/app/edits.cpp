#include "app/edits.hpp"

#include <algorithm>

namespace finchrun::app {

namespace json = boost::json;

void Edit::require(const std::string& key, std::uint64_t stamp) {
  if (std::none_of(when.begin(), when.end(), [&](const auto& c) { return c.key == key; }))
    when.push_back({key, stamp});
}

namespace {

std::size_t bytes_of(const state::Ended& e) { return json::serialize(state::to_json(e)).size() + 1; }
// What the name of a shard takes in the list of ends, with the signs around its jobs.
std::size_t frame_of(const std::string& shard) { return shard.size() + 6; }
// What the job's ends in one shard take, with the names around them.
std::size_t bytes_of(const World& w, core::JobId id, const std::vector<state::Ended>& items) {
  std::size_t bytes = w.names.jobs.name(id).size() + 8;
  for (const auto& item : items) bytes += bytes_of(item);
  return bytes;
}

// Of a shard's limit: a job of many entries is given shards with so much room.
constexpr double kShareForLarge = 0.9;
// What a shard may be short of, in entries, beside the room that it was chosen for.
constexpr std::size_t kSpareEntries = 2;

// One change is left to the ends.
std::size_t shards_for(const config::StateLimits& limits, std::size_t most_changes) {
  return std::clamp<std::size_t>(most_changes - 1, 1, limits.most_full_values());
}

}  // namespace

PartWriter::PartWriter(const World& w, core::PartId part, std::size_t most_changes)
    : w_(w),
      part_(part),
      most_changes_(most_changes),
      most_shards_(shards_for(w.s.state_limits, most_changes)),
      most_bytes_(w.s.state_limits.value_bytes()) {
  for (const auto& [name, jobs] : w.mirror.ends(part).shards) {
    // Its shard has been written without what has ended: nothing is lost with these.
    const auto shard = w.mirror.find_shard(part, name);
    if (shard && !w.mirror.shard(*shard).needs_ends()) continue;
    ends_.emplace(name, jobs);
    ends_bytes_ += frame_of(name);
    for (const auto& [id, items] : jobs) ends_bytes_ += app::bytes_of(w, id, items);
  }
  ends_too_long_ = ends_bytes_ > most_bytes_;
  // While items that nobody needs stand in the store, nothing of their jobs may leave its shard unnoticed.
  ends_changed_ = !ends_too_long_ && ends_.size() != w.mirror.ends(part).shards.size();
}

std::size_t PartWriter::most_entries(const config::StateLimits& limits) {
  const auto for_each = static_cast<std::size_t>(kShareForLarge * static_cast<double>(limits.value_bytes()));
  return shards_for(limits, limits.most_changes()) * (for_each / jobs::kEntryBytes - kSpareEntries);
}

ShardContents PartWriter::contents(core::ShardId id) const {
  ShardContents out;
  const auto& shard = w_.mirror.shard(id);
  const auto ended = ends_.find(shard.name);
  for (const auto job_id : shard.jobs) {
    const auto* run = w_.mirror.run(job_id, id);
    const auto* job = w_.mirror.job(job_id);
    if (!run || (job && job->status != jobs::Status::live && run->entries.empty())) continue;
    auto& copy = out[job_id] = *run;
    if (ended == ends_.end()) continue;
    if (const auto items = ended->second.find(job_id); items != ended->second.end())
      state::settle(copy, items->second);
  }
  return out;
}

bool PartWriter::fits(core::ShardId shard) const {
  return w_.mirror.shard(shard).bytes <= most_bytes_ ||
         bytes_at_most(contents(shard), w_.names) <= most_bytes_;
}

void PartWriter::drop_ends(const std::string& shard) {
  const auto noted = ends_.find(shard);
  if (noted == ends_.end()) return;
  ends_bytes_ -= frame_of(shard);
  for (const auto& [job, items] : noted->second) ends_bytes_ -= app::bytes_of(w_, job, items);
  ends_.erase(noted);
  ends_changed_ = true;
}

PartWriter::Open* PartWriter::open(const std::string& name) {
  if (const auto it = open_.find(name); it != open_.end()) return &it->second;
  if (open_.size() >= most_shards_) return nullptr;
  const auto id = w_.mirror.find_shard(part_, name);
  if (!id) return &open_[name];
  auto jobs = contents(*id);
  const auto bytes = bytes_at_most(jobs, w_.names);
  if (bytes > most_bytes_) return nullptr;
  if (!ends_too_long_) drop_ends(name);
  auto& shard = open_[name];
  shard = {w_.mirror.shard(*id).stamp, bytes, std::move(jobs)};
  return &shard;
}

std::string PartWriter::unused_name() const {
  for (std::size_t number = 0;; ++number) {
    auto name = std::to_string(number);
    const auto known = w_.mirror.find_shard(part_, name);
    if (!open_.contains(name) && (!known || w_.mirror.shard(*known).stamp == 0)) return name;
  }
}

bool PartWriter::split(const std::string& name) {
  const auto id = w_.mirror.find_shard(part_, name);
  const auto jobs = contents(*id);
  // A controller of an earlier version takes ends into a shard for good, whichever it reads first: what is
  // done would count twice for it if it had moved to another shard meanwhile.
  const bool done_may_move = w_.all_controllers_know(state::kEndsInAnyOrder);
  SplitRules rules{most_bytes_, most_changes_ - (ends_changed_ ? 1 : 0), {}, {}};
  if (!done_may_move)
    for (const auto& [job, _] : jobs) rules.done_stays.insert(job);
  std::optional<std::vector<ShardContents>> shards;
  if (!ends_too_long_) {
    auto without_ends = rules;
    without_ends.most_shards = most_changes_ - 1;
    shards = split_shard(jobs, without_ends, w_.names);
  }
  if (shards) {
    drop_ends(name);
  } else {
    // The stored ends stay as they are. They are harmless when read again if nothing that they name is left
    // in this shard, or all that they call done.
    if (done_may_move)
      for (const auto& [job, _] : w_.mirror.ends(part_).of(name)) rules.must_leave.insert(job);
    shards = split_shard(jobs, rules, w_.names);
  }
  if (!shards) return false;
  open_[name] = {w_.mirror.shard(*id).stamp, 0, std::move(shards->front())};
  for (std::size_t i = 1; i < shards->size(); ++i) open_[unused_name()].jobs = std::move((*shards)[i]);
  return true;
}

// A job that has left a shard may not come back while stored ends that can't be rewritten name it there:
// they would be taken for its own once more.
bool PartWriter::may_hold(const std::string& name, core::JobId id) const {
  if (!ends_too_long_ || !w_.mirror.ends(part_).of(name).contains(id)) return true;
  const auto shard = w_.mirror.find_shard(part_, name);
  return shard && w_.mirror.run(id, *shard);
}

bool PartWriter::shrink() {
  for (const auto shard : w_.mirror.shards(part_))
    if (!fits(shard) && split(w_.mirror.shard(shard).name)) return true;
  if (!ends_too_long_) return false;
  for (const auto& [name, _] : ends_) open(name);
  return !open_.empty();
}

PartWriter::Open* PartWriter::with_room(core::JobId id, std::size_t bytes) {
  // One that is written anyway, best the one that has the job already.
  Open* best = nullptr;
  for (auto& [name, o] : open_) {
    if (o.bytes + bytes > most_bytes_ || !may_hold(name, id)) continue;
    if (!best || o.jobs.contains(id)) best = &o;
  }
  if (best) return best;
  if (open_.size() >= most_shards_) return nullptr;
  // Else the one of which most has ended, since writing it shortens the ends; of those the fullest with room,
  // so that what is new stays together.
  std::string choice;
  std::pair<std::size_t, std::size_t> best_score{0, 0};  // ends, bytes
  for (const auto shard : w_.mirror.shards(part_)) {
    const auto& s = w_.mirror.shard(shard);
    if (open_.contains(s.name) || !may_hold(s.name, id)) continue;
    const std::pair score{ends_of(s.name), s.bytes};
    if (s.bytes + bytes > most_bytes_ || score < best_score) continue;
    best_score = score;
    choice = s.name;
  }
  return open(choice.empty() ? unused_name() : choice);
}

std::size_t PartWriter::ends_of(const std::string& shard) const {
  std::size_t n = 0;
  if (const auto noted = ends_.find(shard); noted != ends_.end())
    for (const auto& [_, items] : noted->second) n += items.size();
  return n;
}

bool PartWriter::add(core::JobId id, const std::vector<jobs::Entry>& entries) {
  std::vector<std::pair<Open*, std::size_t>> added;
  for (std::size_t at = 0; at < entries.size();) {
    // As much of it together as there is room for; a large job may need several shards.
    const auto large = static_cast<std::size_t>(kShareForLarge * static_cast<double>(most_bytes_));
    Open* o = with_room(id, std::min((entries.size() - at + 1) * jobs::kEntryBytes, large));
    if (!o) {
      for (const auto& [shard, n] : added) {
        auto& list = shard->jobs[id].entries;
        list.resize(list.size() - n);
      }
      return false;
    }
    auto& run = o->jobs[id];
    const auto before = run.empty() ? 0 : jobs::bytes_at_most(run, w_.names);
    std::size_t n = 0;
    do {
      run.entries.push_back(entries[at++]);
      ++n;
    } while (at < entries.size() && o->bytes + (n + 2) * jobs::kEntryBytes <= most_bytes_);
    o->bytes += jobs::bytes_at_most(run, w_.names) - before;
    added.emplace_back(o, n);
  }
  return true;
}

bool PartWriter::settle(const worker::Fact& f) {
  const auto* job = w_.mirror.job(f.job);
  for (const auto& p : w_.mirror.pieces(f.job)) {
    if (p.part != part_ || std::none_of(p.run.entries.begin(), p.run.entries.end(), [&](const auto& e) {
          return e.task == f.task && e.attempt == f.attempt;
        }))
      continue;
    state::Ended item{f.task, f.attempt, {0, 0}};
    if (f.done && job && job->spec.gang()) {
      item.done = {0, job->spec.tasks};  // a gang completes together
    } else if (f.done && !(job && job->spec.standing())) {
      item.done = {f.task, f.task + 1};
    }
    const auto& name = w_.mirror.shard(p.shard).name;
    const auto o = open_.find(name);
    if (o == open_.end()) return note_end(name, f.job, item);
    state::settle(o->second.jobs[f.job], {item});
    return true;
  }
  return true;  // its entry is gone already
}

bool PartWriter::note_end(const std::string& shard, core::JobId id, const state::Ended& item) {
  if (ends_too_long_) {
    if (!open(shard)) return false;
    state::settle(open_.at(shard).jobs[id], {item});
    return true;
  }
  const auto more = app::bytes_of(w_, id, {item}) + frame_of(shard);
  if (ends_bytes_ + more > most_bytes_) {
    // As it is written, what stands here of it goes.
    std::string longest = shard;
    std::size_t most = 0;
    for (const auto& [name, _] : ends_)
      if (const auto n = ends_of(name); n > most) most = n, longest = name;
    if (!open(longest)) return false;
    if (const auto o = open_.find(shard); o != open_.end()) {
      state::settle(o->second.jobs[id], {item});
      return true;
    }
    if (ends_bytes_ + more > most_bytes_) return false;
  }
  if (!ends_.contains(shard)) ends_bytes_ += frame_of(shard);
  auto& items = ends_[shard][id];
  ends_bytes_ += items.empty() ? app::bytes_of(w_, id, {item}) : app::bytes_of(item);
  items.push_back(item);
  ends_changed_ = true;
  return true;
}

std::uint32_t PartWriter::done(core::JobId id) const {
  std::uint32_t done = 0;
  for (const auto& p : w_.mirror.pieces(id)) {
    const auto& name = w_.mirror.shard(p.shard).name;
    if (p.part == part_ && open_.contains(name)) continue;
    auto run = p.run;
    if (const auto shard = ends_.find(name); p.part == part_ && shard != ends_.end())
      if (const auto items = shard->second.find(id); items != shard->second.end())
        state::settle(run, items->second);
    done += run.done.size();
  }
  for (const auto& [_, o] : open_)
    if (const auto run = o.jobs.find(id); run != o.jobs.end()) done += run->second.done.size();
  return done;
}

void PartWriter::finish(Edit& e) const {
  const auto& part = w_.names.parts.name(part_);
  e.require(state::keys::part(part), w_.token(part_));
  e.require(state::keys::fence(part), w_.mirror.fence(part_));
  for (const auto& [name, o] : open_) {
    const auto key = state::keys::shard(part, name);
    e.require(key, o.stamp);
    json::object jobs;
    for (const auto& [id, run] : o.jobs)
      if (!run.empty()) jobs[w_.names.jobs.name(id)] = jobs::to_json(run, w_.names);
    e.then.push_back({key, json::object{{"jobs", std::move(jobs)}}});
  }
  if (!ends_changed_) return;
  const auto key = state::keys::ends(part);
  e.require(key, w_.mirror.ends(part_).stamp);
  json::object ends;
  for (const auto& [name, jobs] : ends_) {
    json::object of_shard;
    for (const auto& [id, items] : jobs) {
      json::array list;
      for (const auto& item : items) list.push_back(state::to_json(item));
      of_shard[w_.names.jobs.name(id)] = std::move(list);
    }
    ends[name] = std::move(of_shard);
  }
  e.then.push_back({key, std::move(ends)});
}

jobs::JobRecord finished(const jobs::JobRecord& job) {
  jobs::JobRecord out;
  out.status = jobs::Status::done;
  out.spec = job.spec;
  return out;
}

}  // namespace finchrun::app
