#include "state/mirror.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

namespace finchrun::state {
namespace {

std::uint64_t whole(const json::value& v) { return v.to_number<std::uint64_t>(); }

// "run/req-1/zone.0" -> "run", "req-1/zone.0"
std::pair<std::string_view, std::string_view> split(std::string_view key) {
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) return {key, {}};
  return {key.substr(0, slash), key.substr(slash + 1)};
}

}  // namespace

namespace keys {
std::string job(const std::string& id) { return "jobs/" + id; }
std::string run(const std::string& id, const std::string& part) { return "run/" + id + "/" + part; }
std::string part(const std::string& part) { return "parts/" + part; }
std::string member(const std::string& label) { return "members/" + label; }
std::string team(const std::string& team) { return "teams/" + team; }
std::string usage(const std::string& part) { return "usage/" + part; }
std::string fence(const std::string& part) { return "fence/" + part; }
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
    } else if (table == "run") {
      const auto [job, part_name] = split(rest);
      const auto part = names_.parts.find(part_name);
      if (!part) return;
      apply_run({names_.jobs.intern(job), *part}, e);
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
        slot = {whole(e.value->at("inc")), e.stamp};
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
  live_.clear();
  unreadable_.clear();
  on_machine_.clear();
  members_.clear();
  deleted_.clear();
  claims_.assign(claims_.size(), {});
  teams_.assign(teams_.size(), {});
  fences_.assign(fences_.size(), 0);
  usage_.assign(usage_.size(), {});
  epoch_ = 0;
}

Mirror::Slot& Mirror::slot(core::JobId id) {
  if (id.v >= slots_.size()) slots_.resize(id.v + 1);
  return slots_[id.v];
}

void Mirror::apply_run(RunKey key, const Event& e) {
  auto& at = slot(key.first);
  auto it =
      std::find_if(at.runs.begin(), at.runs.end(), [&](const auto& r) { return r.first == key.second; });
  if (it != at.runs.end() && e.stamp <= it->second.stamp) return;
  // Read before the old record goes: one that makes no sense must not be taken for absence.
  std::optional<jobs::RunRecord> next;
  if (e.value) {
    next = jobs::run_from_json(*e.value, names_);
    next->stamp = e.stamp;
  }
  ++version_;
  if (it != at.runs.end()) {
    unindex(key, it->second);
    at.runs.erase(it);
  }
  if (next) {
    index(key, *next);
    const auto after =
        std::find_if(at.runs.begin(), at.runs.end(), [&](const auto& r) { return r.first > key.second; });
    at.runs.insert(after, {key.second, std::move(*next)});
  }
  if (at.runs.empty()) {
    with_runs_.erase(key.first);
  } else {
    with_runs_.insert(key.first);
  }
  at.done = at.placed = 0;
  for (const auto& [_, run] : at.runs) {
    at.done += run.done.size();
    at.placed += static_cast<std::uint32_t>(run.entries.size());
  }
}

void Mirror::index(RunKey key, const jobs::RunRecord& run) {
  for (const auto& e : run.entries) on_machine_[e.machine].push_back({key.first, key.second, e});
}

void Mirror::unindex(RunKey key, const jobs::RunRecord& run) {
  for (const auto& e : run.entries) {
    const auto it = on_machine_.find(e.machine);
    if (it == on_machine_.end()) continue;
    std::erase_if(it->second, [&](const Placed& p) {
      return p.job == key.first && p.part == key.second && p.entry.task == e.task &&
             p.entry.attempt == e.attempt;
    });
    if (it->second.empty()) on_machine_.erase(it);
  }
}

const std::vector<Placed>& Mirror::on_machine(core::MachineId id) const {
  static const std::vector<Placed> nothing;
  const auto it = on_machine_.find(id);
  return it == on_machine_.end() ? nothing : it->second;
}

const jobs::JobRecord* Mirror::job(core::JobId id) const {
  return id.v < slots_.size() && slots_[id.v].known ? &slots_[id.v].job : nullptr;
}

const jobs::RunRecord* Mirror::run(RunKey key) const {
  if (key.first.v >= slots_.size()) return nullptr;
  for (const auto& [part, run] : slots_[key.first.v].runs)
    if (part == key.second) return &run;
  return nullptr;
}

std::uint32_t Mirror::done(core::JobId id) const { return id.v < slots_.size() ? slots_[id.v].done : 0; }

std::uint32_t Mirror::placed(core::JobId id) const { return id.v < slots_.size() ? slots_[id.v].placed : 0; }

const Member* Mirror::member(const std::string& label) const {
  auto it = members_.find(label);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace finchrun::state
