#include "app/world.hpp"

namespace finchrun::app {
namespace {

jobs::Names names_for(const config::Settings& s) {
  jobs::Names names;
  for (const auto& t : s.teams) names.teams.intern(t.name);
  return names;
}

}  // namespace

World::World(const config::Settings& settings, const config::Tuning& tuning)
    : s(settings),
      t(tuning),
      names(names_for(settings)),
      parts(settings, tuning, names),
      mirror(names, parts.size(), settings.teams.size()),
      usage(parts.size(),
            ledger::UsageWindows(settings.teams.size(), tuning.window_s, tuning.windows, tuning.decay)),
      usage_from(parts.size(), 0),
      owner_missing_since(parts.size()),
      acting_since(parts.size()) {
  for (const auto& team : s.teams)
    shares.push_back(team.gpus > 0 ? team.gpus : team.cpus > 0 ? team.cpus : 1.0);
}

core::Resources World::used_on(core::MachineId id) const {
  core::Resources used;
  for (const auto& [key, run] : mirror.runs()) {
    const auto* job = mirror.job(key.first);
    for (const auto& e : run.entries)
      if (e.machine == id && job) used += job->spec.need;
  }
  return used;
}

std::vector<core::Resources> World::used_by_team() const {
  std::vector<core::Resources> used(s.teams.size());
  for (const auto& [key, run] : mirror.runs()) {
    const auto* job = mirror.job(key.first);
    if (!job || !job->spec.team.valid() || job->spec.team.v >= used.size()) continue;
    used[job->spec.team.v] += job->spec.need * static_cast<double>(run.entries.size());
  }
  return used;
}

bool World::patient(const jobs::JobSpec& spec, double now_s) const {
  if (!spec.due_s) return false;
  bool deadline = false;
  for (const auto& o : s.objectives) {
    if (o.lane != names.lanes.name(spec.lane)) continue;
    if (o.kind != "deadline") return false;
    deadline = true;
  }
  // Estimates are often wrong by half; the fetch and the rounds on the way take their time too.
  const double needs = spec.expect_s * 1.5 + spec.image_gb * 2 + 4 * s.report_s;
  return deadline && spec.submitted_s + *spec.due_s - now_s > needs;
}

void World::observe_lanes() {
  constexpr double kFade = 0.98;  // a round
  lanes.resize(names.lanes.size());
  std::vector<double> now(lanes.size(), 0.0);
  for (const auto id : mirror.live()) {
    const auto& spec = mirror.job(id)->spec;
    auto& lane = lanes[spec.lane.v];
    lane.need = spec.need;
    lane.spot = spec.spot;
    lane.types = spec.types;
    now[spec.lane.v] += spec.tasks - std::min(spec.tasks, mirror.done(id));
  }
  for (std::size_t l = 0; l < lanes.size(); ++l) lanes[l].tasks = std::max(now[l], lanes[l].tasks * kFade);
}

bool World::usable(const worker::Machine& m, core::TimePoint now) const {
  return m.reported && m.token == token(m.part) && !m.notice_s && !m.sick && !m.releasing &&
         m.strangers == 0 && core::since(m.last_report, now) < 2.5 * s.report_s + 1.0;
}

}  // namespace finchrun::app
