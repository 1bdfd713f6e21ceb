#include "state/mirror.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace finchrun::state {
namespace {

std::uint64_t whole(const json::value& v) { return v.to_number<std::uint64_t>(); }

// "runs/zone.0/3" -> "runs", "zone.0/3"
std::pair<std::string_view, std::string_view> split(std::string_view key) {
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) return {key, {}};
  return {key.substr(0, slash), key.substr(slash + 1)};
}

Ended ended_from_json(const json::value& v) {
  const auto& a = v.as_array();
  Ended out{static_cast<std::uint32_t>(whole(a.at(0))), whole(a.at(1)), {0, 0}};
  if (a.size() > 2)
    out.done = {static_cast<std::uint32_t>(whole(a.at(2))), static_cast<std::uint32_t>(whole(a.at(3)))};
  return out;
}

}  // namespace

const EndedOfJobs& Ends::of(const std::string& shard) const {
  static const EndedOfJobs nothing;
  const auto it = shards.find(shard);
  return it == shards.end() ? nothing : it->second;
}

bool settle(jobs::RunRecord& run, const std::vector<Ended>& items) {
  bool changed = false;
  for (const auto& item : items) {
    const auto gone = std::erase_if(
        run.entries, [&](const jobs::Entry& e) { return e.task == item.task && e.attempt == item.attempt; });
    // Reported first as gone and then as done: it is done all the same.
    const auto before = run.done.size();
    run.done.add(item.done.first, item.done.second);
    changed = changed || gone > 0 || run.done.size() != before;
  }
  return changed;
}

json::value to_json(const Ended& e) {
  json::array a{e.task, e.attempt};
  if (e.done.first < e.done.second) {
    a.push_back(e.done.first);
    a.push_back(e.done.second);
  }
  return a;
}

namespace keys {
std::string job(const std::string& id) { return "jobs/" + id; }
std::string shard(const std::string& part, const std::string& name) { return "runs/" + part + "/" + name; }
std::string part(const std::string& part) { return "parts/" + part; }
std::string member(const std::string& label) { return "members/" + label; }
std::string team(const std::string& team) { return "teams/" + team; }
std::string usage(const std::string& part) { return "usage/" + part; }
std::string fence(const std::string& part) { return "fence/" + part; }
std::string ends(const std::string& part) { return "ends/" + part; }
}  // namespace keys

void Mirror::apply(const Event& e) {
  newest_ = std::max(newest_, e.stamp);
  if (auto it = deleted_.find(e.key); it != deleted_.end() && e.stamp <= it->second) return;
  const auto [table, rest] = split(e.key);
  const bool gone = !e.value;
  if (gone && e.stamp > epoch_) deleted_[e.key] = e.stamp;
  try {
    if (table == "jobs") {
      const auto id = names_.jobs.intern(rest);
      auto& at = slot(id);
      if (e.stamp <= at.job.stamp) return;
      ++version_;
      unreadable_.erase(id);
      if (gone) {
        at.job = {};
        at.known = false;
        live_.erase(id);
        update_cancelled_with_tasks(id);
        return;
      }
      at.job = jobs::job_from_json(*e.value, names_);
      at.job.stamp = e.stamp;
      at.known = true;
      if (at.job.status == jobs::Status::live) {
        live_.insert(id);
      } else {
        live_.erase(id);
      }
      update_cancelled_with_tasks(id);
      if (at.job.status == jobs::Status::cancelled) {
        constexpr std::size_t kMostKept = 4096;
        cancelled_.emplace(e.stamp, id);
        if (cancelled_.size() > kMostKept) {
          cancelled_from_ = cancelled_.begin()->first;
          cancelled_.erase(cancelled_.begin());
        }
      }
    } else if (table == "runs") {
      const auto [part_name, name] = split(rest);
      const auto part = names_.parts.find(part_name);
      if (!part) throw std::runtime_error("records of an unknown part");
      apply_shard(*part, std::string(name), e);
    } else if (table == "ends") {
      const auto part = names_.parts.find(rest);
      if (!part) throw std::runtime_error("ends of an unknown part");
      apply_ends(*part, e);
    } else if (table == "parts") {
      const auto part = names_.parts.find(rest);
      if (!part || gone) return;
      auto& slot = claims_.at(part->v);
      if (e.stamp <= slot.stamp) return;
      slot = {std::string(e.value->at("owner").as_string()), whole(e.value->at("inc")), e.stamp};
    } else if (table == "members") {
      auto& slot = members_[std::string(rest)];
      if (e.stamp <= slot.stamp) return;
      if (gone) {
        members_.erase(std::string(rest));
      } else {
        const auto* level = e.value->as_object().if_contains("level");
        slot = {whole(e.value->at("inc")), e.stamp, level ? whole(*level) : 0};
        last_levels_[std::string(rest)] = slot.level;
      }
    } else if (table == "teams") {
      const auto team = names_.teams.find(rest);
      if (!team || team->v >= teams_.size() || gone || e.stamp <= teams_[team->v].stamp) return;
      TeamRecord next;
      next.stamp = e.stamp;
      next.parts.resize(claims_.size());
      for (const auto& item : e.value->at("parts").as_object()) {
        const auto part = names_.parts.find(std::string_view(item.key()));
        if (!part) throw std::runtime_error("allowance of an unknown part");
        const auto& a = item.value().as_array();
        const auto real = [&](std::size_t i) { return a.at(i).to_number<double>(); };
        next.parts.at(part->v) = {{real(0), real(1), 0}, {real(2), real(3), 0}};
      }
      teams_[team->v] = std::move(next);
    } else if (table == "fence") {
      const auto part = names_.parts.find(rest);
      if (part) fences_.at(part->v) = std::max(fences_.at(part->v), e.stamp);
    } else if (table == "usage") {
      const auto part = names_.parts.find(rest);
      if (!part || gone) return;
      auto& slot = usage_.at(part->v);
      if (e.stamp <= slot.stamp) return;
      UsageRecord record;
      record.stamp = e.stamp;
      record.index = e.value->at("i").to_number<std::int64_t>();
      for (const auto& w : e.value->at("w").as_array()) {
        std::vector<double> window;
        for (const auto& v : w.as_array()) window.push_back(v.to_number<double>());
        record.windows.push_back(std::move(window));
      }
      slot = std::move(record);
    }
  } catch (const std::exception& x) {
    spdlog::error("state: record {} makes no sense: {}", e.key, x.what());
    if (table == "runs" || table == "ends") {
      if (const auto part = names_.parts.find(split(rest).first)) unreadable_parts_.insert(*part);
    }
    if (table != "jobs") return;
    // Never taken for absence: its user would be told that an accepted job is unknown.
    const auto id = names_.jobs.intern(rest);
    unreadable_.insert(id);
  }
}

void Mirror::synced(std::uint64_t epoch) {
  epoch_ = std::max(epoch_, epoch);
  newest_ = std::max(newest_, epoch_);
  std::erase_if(deleted_, [&](const auto& d) { return d.second <= epoch_; });
}

void Mirror::reset() {
  slots_.clear();
  with_runs_.clear();
  shards_.clear();
  shard_ids_.clear();
  unreadable_parts_.clear();
  live_.clear();
  unreadable_.clear();
  cancelled_with_tasks_.clear();
  cancelled_.clear();
  cancelled_from_ = 0;
  on_machine_.clear();
  members_.clear();
  deleted_.clear();
  claims_.assign(claims_.size(), {});
  teams_.assign(teams_.size(), {});
  fences_.assign(fences_.size(), 0);
  usage_.assign(usage_.size(), {});
  ends_.assign(ends_.size(), {});
  epoch_ = 0;
}

Mirror::Slot& Mirror::slot(core::JobId id) {
  if (id.v >= slots_.size()) slots_.resize(id.v + 1);
  return slots_[id.v];
}

void Mirror::apply_shard(core::PartId part, const std::string& name, const Event& e) {
  const auto [at, fresh] = shard_ids_.try_emplace({part, name});
  if (fresh) {
    at->second = core::ShardId{static_cast<std::uint32_t>(shards_.size())};
    shards_.push_back({part, name, 0, {}, 0, {}});
  }
  const auto id = at->second;
  if (e.stamp <= shards_[id.v].stamp) return;
  // All of it is read before any of the old goes: a record that makes no sense must not be taken for absence.
  std::vector<std::pair<core::JobId, jobs::RunRecord>> next;
  if (e.value)
    for (const auto& item : e.value->at("jobs").as_object())
      next.emplace_back(names_.jobs.intern(std::string_view(item.key())),
                        jobs::run_from_json(item.value(), names_));
  ++version_;
  auto& shard = shards_[id.v];
  const auto before = std::move(shard.jobs);
  shard.jobs.clear();
  shard.stamp = e.value ? e.stamp : 0;
  shard.bytes = 0;
  shard.unsettled.clear();
  for (auto& [job, run] : next) {
    shard.jobs.push_back(job);
    show_piece(job, id, std::move(run));
  }
  std::sort(shard.jobs.begin(), shard.jobs.end());
  for (const auto job : before)
    if (!std::binary_search(shard.jobs.begin(), shard.jobs.end(), job)) put_piece(job, id, {});
}

// What is shown depends on the stored values alone, never on the order in which they were read. Ends that
// were taken into a shard for good once counted tasks as done twice: a transaction that moved what is done
// to another shard, and took the ends out of the list, was read shard first.
void Mirror::apply_ends(core::PartId part, const Event& e) {
  auto& at = ends_[part.v];
  if (e.stamp <= at.stamp) return;
  Ends next;
  next.stamp = e.stamp;
  if (e.value)
    for (const auto& shard : e.value->as_object())
      for (const auto& job : shard.value().as_object()) {
        auto& items = next.shards[std::string(shard.key())][names_.jobs.intern(std::string_view(job.key()))];
        for (const auto& item : job.value().as_array()) items.push_back(ended_from_json(item));
      }
  ++version_;
  const auto before = std::exchange(at, std::move(next));
  std::set<std::string> names;
  for (const auto& [name, _] : before.shards) names.insert(name);
  for (const auto& [name, _] : at.shards) names.insert(name);
  for (const auto& name : names)
    if (const auto shard = find_shard(part, name))  // else its records follow in the same read
      show_ends(*shard, before.of(name), at.of(name));
}

void Mirror::show_ends(core::ShardId id, const EndedOfJobs& before, const EndedOfJobs& now) {
  auto& shard = shards_[id.v];
  for (const auto job : std::vector<core::JobId>(shard.jobs)) {
    const auto was = before.find(job), is = now.find(job);
    const bool listed = was != before.end() || is != now.end();
    if (!listed || (was != before.end() && is != now.end() && was->second == is->second)) continue;
    const auto* piece = run(job, id);
    const auto shown = piece ? *piece : jobs::RunRecord{};
    const auto unsettled = shard.unsettled.find(job);
    shard.bytes -= jobs::bytes_at_most(shown, names_);
    show_piece(job, id, unsettled != shard.unsettled.end() ? unsettled->second : shown);
  }
}

void Mirror::show_piece(core::JobId id, core::ShardId shard_id, jobs::RunRecord stored) {
  auto& shard = shards_[shard_id.v];
  const auto& ended = ends_[shard.part.v].of(shard.name);
  const auto items = ended.find(id);
  auto shown = stored;
  const bool differs = items != ended.end() && settle(shown, items->second);
  shard.bytes += jobs::bytes_at_most(shown, names_);
  put_piece(id, shard_id, std::move(shown));
  if (differs) {
    shard.unsettled[id] = std::move(stored);
  } else {
    shard.unsettled.erase(id);
  }
}

void Mirror::put_piece(core::JobId id, core::ShardId shard, jobs::RunRecord next) {
  auto& at = slot(id);
  const auto part = shards_[shard.v].part;
  auto it =
      std::find_if(at.pieces.begin(), at.pieces.end(), [&](const Piece& p) { return p.shard == shard; });
  if (it != at.pieces.end()) {
    if (it->run == next) return;
    at.done -= it->run.done.size();
    at.placed -= static_cast<std::uint32_t>(it->run.entries.size());
    for (const auto& e : it->run.entries) {
      const auto machine = on_machine_.find(e.machine);
      if (machine == on_machine_.end()) continue;
      std::erase_if(machine->second,
                    [&](const Placed& p) { return p.job == id && p.part == part && p.entry == e; });
      if (machine->second.empty()) on_machine_.erase(machine);
    }
    at.pieces.erase(it);
  }
  if (!next.empty()) {
    // A task stands as done in one shard of its job only, and so does an entry.
    at.done += next.done.size();
    at.placed += static_cast<std::uint32_t>(next.entries.size());
    for (const auto& e : next.entries) on_machine_[e.machine].push_back({id, part, e});
    at.pieces.push_back({part, shard, std::move(next)});
  }
  if (at.pieces.empty()) {
    with_runs_.erase(id);
  } else {
    with_runs_.insert(id);
  }
  update_cancelled_with_tasks(id);
}

std::optional<std::vector<core::JobId>> Mirror::cancelled_after(std::uint64_t epoch) const {
  if (epoch < cancelled_from_) return std::nullopt;
  std::vector<core::JobId> out;
  for (auto it = cancelled_.lower_bound({epoch + 1, core::JobId{0}}); it != cancelled_.end(); ++it)
    out.push_back(it->second);
  return out;
}

void Mirror::update_cancelled_with_tasks(core::JobId id) {
  const auto& at = slots_[id.v];
  if (at.known && at.job.status == jobs::Status::cancelled && at.placed > 0) {
    cancelled_with_tasks_.insert(id);
  } else {
    cancelled_with_tasks_.erase(id);
  }
}

const std::vector<Piece>& Mirror::pieces(core::JobId id) const {
  static const std::vector<Piece> nothing;
  return id.v < slots_.size() ? slots_[id.v].pieces : nothing;
}

std::optional<core::ShardId> Mirror::find_shard(core::PartId part, const std::string& name) const {
  const auto it = shard_ids_.find({part, name});
  if (it == shard_ids_.end()) return std::nullopt;
  return it->second;
}

std::vector<core::ShardId> Mirror::shards(core::PartId part) const {
  std::vector<core::ShardId> out;
  for (auto it = shard_ids_.lower_bound({part, {}}); it != shard_ids_.end() && it->first.first == part; ++it)
    if (shards_[it->second.v].stamp > 0) out.push_back(it->second);
  return out;
}

const jobs::RunRecord* Mirror::run(core::JobId id, core::ShardId shard) const {
  for (const auto& p : pieces(id))
    if (p.shard == shard) return &p.run;
  return nullptr;
}

const std::vector<Placed>& Mirror::on_machine(core::MachineId id) const {
  static const std::vector<Placed> nothing;
  const auto it = on_machine_.find(id);
  return it == on_machine_.end() ? nothing : it->second;
}

bool Mirror::has_entry(core::JobId id, core::PartId part, std::uint32_t task, std::uint64_t attempt) const {
  for (const auto& p : pieces(id)) {
    if (p.part != part) continue;
    for (const auto& e : p.run.entries)
      if (e.task == task && e.attempt == attempt) return true;
  }
  return false;
}

const jobs::JobRecord* Mirror::job(core::JobId id) const {
  return id.v < slots_.size() && slots_[id.v].known ? &slots_[id.v].job : nullptr;
}

std::uint32_t Mirror::done(core::JobId id) const {
  return id.v < slots_.size() && !slots_[id.v].job.spec.standing() ? slots_[id.v].done : 0;
}

std::uint32_t Mirror::placed(core::JobId id) const { return id.v < slots_.size() ? slots_[id.v].placed : 0; }

std::optional<std::uint64_t> Mirror::last_level(const std::string& label) const {
  const auto it = last_levels_.find(label);
  if (it == last_levels_.end()) return std::nullopt;
  return it->second;
}

const Member* Mirror::member(const std::string& label) const {
  auto it = members_.find(label);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace finchrun::state
