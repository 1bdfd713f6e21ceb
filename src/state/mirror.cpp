#include "state/mirror.hpp"

#include <spdlog/spdlog.h>

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
      auto& slot = jobs_[id];
      if (e.stamp <= slot.stamp) return;
      ++version_;
      if (gone) {
        jobs_.erase(id);
        live_.erase(id);
        return;
      }
      slot = jobs::job_from_json(*e.value, names_);
      slot.stamp = e.stamp;
      if (slot.status == jobs::Status::live) {
        live_.insert(id);
      } else {
        live_.erase(id);
      }
    } else if (table == "run") {
      const auto [job, part_name] = split(rest);
      const auto part = names_.parts.find(part_name);
      if (!part) return;
      const RunKey key{names_.jobs.intern(job), *part};
      auto& slot = runs_[key];
      if (e.stamp <= slot.stamp) return;
      ++version_;
      if (gone) {
        runs_.erase(key);
        return;
      }
      slot = jobs::run_from_json(*e.value, names_);
      slot.stamp = e.stamp;
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
      if (!team || team->v >= team_stamps_.size()) return;
      team_stamps_[team->v] = std::max(team_stamps_[team->v], e.stamp);
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
  }
}

void Mirror::synced(std::uint64_t epoch) {
  epoch_ = std::max(epoch_, epoch);
  newest_ = std::max(newest_, epoch_);
  std::erase_if(deleted_, [&](const auto& d) { return d.second <= epoch_; });
}

void Mirror::reset() {
  jobs_.clear();
  live_.clear();
  runs_.clear();
  members_.clear();
  deleted_.clear();
  claims_.assign(claims_.size(), {});
  team_stamps_.assign(team_stamps_.size(), 0);
  usage_.assign(usage_.size(), {});
  epoch_ = 0;
}

const jobs::JobRecord* Mirror::job(core::JobId id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const jobs::RunRecord* Mirror::run(RunKey key) const {
  auto it = runs_.find(key);
  return it == runs_.end() ? nullptr : &it->second;
}

std::uint32_t Mirror::done(core::JobId id) const {
  std::uint32_t n = 0;
  each_run(id, [&](core::PartId, const jobs::RunRecord& r) { n += r.done.size(); });
  return n;
}

std::uint32_t Mirror::placed(core::JobId id) const {
  std::uint32_t n = 0;
  each_run(
      id, [&](core::PartId, const jobs::RunRecord& r) { n += static_cast<std::uint32_t>(r.entries.size()); });
  return n;
}

const Member* Mirror::member(const std::string& label) const {
  auto it = members_.find(label);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace finchrun::state
