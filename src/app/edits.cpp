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
// What the job's ends in one shard take, with the names around them.
std::size_t bytes_of(const World& w, core::JobId id, const std::vector<state::Ended>& items) {
  std::size_t bytes = w.names.jobs.name(id).size() + 8;
  for (const auto& item : items) bytes += bytes_of(item);
  return bytes;
}

}  // namespace

PartWriter::PartWriter(const World& w, core::PartId part)
    : w_(w), part_(part), ends_(w.mirror.ends(part).shards) {
  for (const auto& [name, jobs] : ends_)
    for (const auto& [id, items] : jobs) ends_bytes_ += bytes_of(w, id, items);
  constexpr double kBodyKb = 40;  // of the 64 that a transaction may have, besides the ends
  most_bytes_ = static_cast<std::size_t>(w.s.state_value_kb * 1024 * 0.95);
  most_shards_ =
      std::max<std::size_t>(1, std::min(static_cast<std::size_t>(std::max(1, w.s.state_txn_ops - 5)),
                                        static_cast<std::size_t>(kBodyKb / w.s.state_value_kb)));
}

PartWriter::Open* PartWriter::open(const std::string& name) {
  if (const auto it = open_.find(name); it != open_.end()) return &it->second;
  if (open_.size() >= most_shards_) return nullptr;
  auto& o = open_[name];
  const auto id = w_.mirror.find_shard(part_, name);
  if (!id) return &o;
  decltype(ends_)::mapped_type ended;
  if (const auto noted = ends_.find(name); noted != ends_.end()) {
    for (const auto& [job, items] : noted->second) ends_bytes_ -= bytes_of(w_, job, items);
    ended = std::move(noted->second);
    ends_.erase(noted);
    ends_changed_ = true;
  }
  const auto& shard = w_.mirror.shard(*id);
  o.stamp = shard.stamp;
  for (const auto job_id : shard.jobs) {
    const auto* run = w_.mirror.run(job_id, *id);
    const auto* job = w_.mirror.job(job_id);
    if (!run || (job && job->status != jobs::Status::live && run->entries.empty())) continue;
    auto& copy = o.jobs[job_id] = *run;
    if (const auto items = ended.find(job_id); items != ended.end()) state::settle(copy, items->second);
    o.bytes += jobs::bytes_at_most(copy, w_.names);
  }
  return &o;
}

PartWriter::Open* PartWriter::with_room(core::JobId id, std::size_t bytes) {
  // One that is written anyway, best the one that has the job already.
  Open* best = nullptr;
  for (auto& [_, o] : open_) {
    if (o.bytes + bytes > most_bytes_) continue;
    if (!best || o.jobs.contains(id)) best = &o;
  }
  if (best) return best;
  if (open_.size() >= most_shards_) return nullptr;
  // Else the fullest with room, so that what is new stays together.
  std::string choice;
  std::size_t fullest = 0;
  std::size_t number = 0;
  for (const auto shard : w_.mirror.shards(part_)) {
    const auto& s = w_.mirror.shard(shard);
    if (open_.contains(s.name)) continue;
    auto& size = sizes_[s.name];
    if (size == 0) {
      size = 1;
      for (const auto job : s.jobs)
        if (const auto* run = w_.mirror.run(job, shard)) size += jobs::bytes_at_most(*run, w_.names);
    }
    if (size + bytes > most_bytes_ || size < fullest) continue;
    fullest = size;
    choice = s.name;
  }
  while (choice.empty()) {
    const auto name = std::to_string(number++);
    const auto known = w_.mirror.find_shard(part_, name);
    if (!open_.contains(name) && (!known || w_.mirror.shard(*known).stamp == 0)) choice = name;
  }
  return open(choice);
}

bool PartWriter::add(core::JobId id, const std::vector<jobs::Entry>& entries) {
  std::vector<std::pair<Open*, std::size_t>> added;
  for (std::size_t at = 0; at < entries.size();) {
    // As much of it together as there is room for; a large gang may need several shards.
    Open* o = with_room(id, std::min((entries.size() - at + 1) * jobs::kEntryBytes, most_bytes_ / 2));
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
    if (f.done && job && job->spec.gang) {
      item.done = {0, job->spec.tasks};  // a gang completes together
    } else if (f.done) {
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
  const auto more = bytes_of(w_, id, {item});
  if (ends_bytes_ + more > most_bytes_) {
    // As it is written, what stands here of it goes.
    std::string longest = shard;
    std::size_t most = 0;
    for (const auto& [name, jobs] : ends_) {
      std::size_t n = 0;
      for (const auto& [_, items] : jobs) n += items.size();
      if (n > most) most = n, longest = name;
    }
    if (!open(longest)) return false;
    if (const auto o = open_.find(shard); o != open_.end()) {
      state::settle(o->second.jobs[id], {item});
      return true;
    }
    if (ends_bytes_ + more > most_bytes_) return false;
  }
  auto& items = ends_[shard][id];
  ends_bytes_ += items.empty() ? more : bytes_of(item);
  items.push_back(item);
  ends_changed_ = true;
  return true;
}

std::uint32_t PartWriter::done(core::JobId id) const {
  std::uint32_t n = 0;
  for (const auto& p : w_.mirror.pieces(id)) {
    const auto& name = w_.mirror.shard(p.shard).name;
    if (p.part == part_ && open_.contains(name)) continue;
    auto run = p.run;
    if (const auto shard = ends_.find(name); p.part == part_ && shard != ends_.end())
      if (const auto items = shard->second.find(id); items != shard->second.end())
        state::settle(run, items->second);
    n += run.done.size();
  }
  for (const auto& [_, o] : open_)
    if (const auto run = o.jobs.find(id); run != o.jobs.end()) n += run->second.done.size();
  return n;
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
