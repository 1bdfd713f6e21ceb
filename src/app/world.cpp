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
      cancellations_heard_at(settings.members.size()),
      owner_missing_since(parts.size()),
      fence_due(parts.size(), 0),
      fenced_at(parts.size(), 0),
      acting_since(parts.size()) {
  for (const auto& team : s.teams)
    shares.push_back(team.gpus > 0 ? team.gpus : team.cpus > 0 ? team.cpus : 1.0);
}

core::Resources World::used_on(core::MachineId id) const {
  core::Resources used;
  for (const auto& p : mirror.on_machine(id))
    if (const auto* job = mirror.job(p.job); job && !fleet.ended(p.job, p.part, p.entry))
      used += job->spec.need;
  return used;
}

// Facts whose entry is recorded no more, or whose part is another owner's, are settled.
void World::drop_settled() {
  for (auto it = fleet.facts.begin(); it != fleet.facts.end();) {
    const auto& f = *it;
    if (owns(f.part) && mirror.has_entry(f.job, f.part, f.task, f.attempt)) {
      ++it;
      continue;
    }
    const worker::Start start{f.job, f.task, f.attempt};
    fleet.seen.erase(start);
    fleet.to_stop.erase(start);
    fleet.stopping.erase(start);
    if (auto s = fleet.sent.find(start); s != fleet.sent.end())
      if (s->second.answered_seq || s->second.token != token(f.part)) fleet.sent.erase(s);
    it = fleet.facts.erase(it);
  }
}

std::vector<std::vector<core::Resources>> World::used_by_part() const {
  std::vector<std::vector<core::Resources>> used(parts.size(), std::vector<core::Resources>(s.teams.size()));
  mirror.each_run([&](core::JobId id, core::PartId part, const jobs::RunRecord& run) {
    const auto* job = run.entries.empty() ? nullptr : mirror.job(id);
    if (!job || job->spec.team.v >= s.teams.size()) return;
    used[part.v][job->spec.team.v] += job->spec.need * static_cast<double>(run.entries.size());
  });
  for (const auto& f : fleet.facts) {
    // Reported as done and as gone: one entry all the same.
    if (f.done && fleet.facts.contains({f.job, f.part, f.task, f.attempt, false})) continue;
    const auto* job = mirror.job(f.job);
    if (job && job->spec.team.v < s.teams.size() && mirror.has_entry(f.job, f.part, f.task, f.attempt))
      used[f.part.v][job->spec.team.v] -= job->spec.need;
  }
  return used;
}

std::vector<core::Resources> World::used_by_team() const {
  std::vector<core::Resources> used(s.teams.size());
  for (const auto& part : used_by_part())
    for (std::size_t t = 0; t < used.size(); ++t) used[t] += part[t];
  return used;
}

ledger::Allowances World::allowances(core::TeamId team) const {
  const auto& t = s.teams.at(team.v);
  ledger::Allowances out({t.cpus_max, t.gpus_max, 0}, parts.size());
  const auto& record = mirror.team(team);
  for (std::size_t p = 0; p < record.parts.size(); ++p)
    out.set(core::PartId{static_cast<std::uint32_t>(p)}, record.parts[p].first, record.parts[p].second);
  return out;
}

std::set<core::JobId> World::within_guarantee() const {
  std::vector<std::pair<double, core::JobId>> by_age;
  for (const auto id : mirror.live()) by_age.emplace_back(mirror.job(id)->spec.submitted_s, id);
  std::sort(by_age.begin(), by_age.end());
  std::vector<core::Resources> asked(s.teams.size());
  std::set<core::JobId> out;
  for (const auto& [_, id] : by_age) {
    const auto& spec = mirror.job(id)->spec;
    if (spec.team.v >= s.teams.size()) continue;
    const auto& team = s.teams.at(spec.team.v);
    auto& sum = asked[spec.team.v];
    sum += spec.need * static_cast<double>(spec.tasks - std::min(spec.tasks, mirror.done(id)));
    const bool gpus = team.gpus <= 0 ? spec.need.gpus <= 0 : sum.gpus <= team.gpus + core::Resources::kSlack;
    const bool cpus = team.cpus <= 0 || sum.cpus <= team.cpus + core::Resources::kSlack;
    if ((team.gpus > 0 || team.cpus > 0) && gpus && cpus) out.insert(id);
  }
  return out;
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

worker::ReportResult World::take(worker::Machine& m, const wire::Report& r, core::TimePoint now,
                                 bool direct) {
  constexpr double kFresh = 2.0;
  const bool may_start = core::since(synced_at, now) < kFresh;
  return worker::take_report(
      {names, mirror, fleet, trouble, token(m.part), now, s.lease_s, may_start, direct}, m, r);
}

bool World::usable(const worker::Machine& m, core::TimePoint now) const {
  return m.reported && m.token == token(m.part) && !m.notice_s && !m.sick && !m.releasing && !m.gone &&
         !m.deaf() && m.unrecorded_tasks == 0 &&
         // A new owner has its answers to the new token before the worker comes by itself.
         core::since(std::max(m.last_report, acting_since.at(m.part.v)), now) < 2.5 * s.report_s + 1.0;
}

}  // namespace finchrun::app
