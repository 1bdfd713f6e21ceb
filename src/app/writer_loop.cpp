// Own parts: facts from reports become records, and every round the waiting tasks are ranked and placed.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;
using state::Outcome;

// Packs edits into transactions within the service's limits: `ops` changes, four times as many conditions.
// Conditions and changes that several edits share (the part's term, a team's counter) count once.
struct Batch {
  state::Txn txn;
  std::vector<const Edit*> edits;
  std::size_t bytes = 0;

  bool add(const Edit& e, std::size_t ops) {
    constexpr std::size_t kMostBytes = 40 * 1024;
    auto when = txn.when;
    for (const auto& c : e.when)
      if (std::none_of(when.begin(), when.end(), [&](const auto& o) { return o.key == c.key; }))
        when.push_back(c);
    auto then = txn.then;
    std::size_t more = 0;
    for (const auto& c : e.then) {
      if (std::any_of(then.begin(), then.end(), [&](const auto& o) { return o.key == c.key; })) continue;
      then.push_back(c);
      more += c.key.size() + 40 + (c.value ? json::serialize(*c.value).size() : 0);
    }
    if (!edits.empty() && (then.size() > ops || when.size() > 4 * ops || bytes + more > kMostBytes))
      return false;
    txn.when = std::move(when);
    txn.then = std::move(then);
    bytes += more;
    edits.push_back(&e);
    return true;
  }
};

std::vector<Batch> pack(const std::vector<Edit>& edits, std::size_t ops) {
  std::vector<Batch> out;
  for (const auto& e : edits) {
    if (out.empty() || !out.back().add(e, ops)) {
      out.emplace_back();
      out.back().add(e, ops);
    }
  }
  return out;
}

state::Change set_run(const World& w, state::RunKey key, const jobs::RunRecord& run) {
  return {state::keys::run(w.names.jobs.name(key.first), w.names.parts.name(key.second)),
          jobs::to_json(run, w.names)};
}

jobs::JobRecord finished(const jobs::JobRecord& job) {
  jobs::JobRecord out;
  out.status = jobs::Status::done;
  out.spec = job.spec;
  return out;
}

// Removes what the facts say is gone, marks what they say is done.
jobs::RunRecord settled(const World& w, state::RunKey key, const jobs::RunRecord& run,
                        const std::vector<worker::Fact>& facts) {
  jobs::RunRecord next = run;
  const auto* job = w.mirror.job(key.first);
  for (const auto& f : facts) {
    std::erase_if(next.entries,
                  [&](const jobs::Entry& e) { return e.task == f.task && e.attempt == f.attempt; });
    if (!f.done) continue;
    if (job && job->spec.gang) {
      next.done.add(0, job->spec.tasks);  // a gang completes together
    } else {
      next.done.add(f.task, f.task + 1);
    }
  }
  return next;
}

// Tasks of the part that could be stopped, and what that would cost.
std::vector<sched::Running> running_in(const World& w, core::PartId part, core::TimePoint now) {
  constexpr double kYoung = 30;  // a start that is stopped sooner than this was none, to its user
  std::vector<sched::Running> out;
  for (const auto& [key, run] : w.mirror.runs()) {
    if (key.second != part) continue;
    const auto* job = w.mirror.job(key.first);
    if (!job || job->status != jobs::Status::live) continue;
    for (const auto& e : run.entries) {
      const worker::Start start{key.first, e.task, e.attempt};
      if (w.fleet.to_stop.contains(start)) continue;
      if (w.fleet.facts.contains({key.first, part, e.task, e.attempt, true}) ||
          w.fleet.facts.contains({key.first, part, e.task, e.attempt, false}))
        continue;
      const auto seen = w.fleet.seen.find(start);
      const double ran = seen == w.fleet.seen.end() ? 0 : core::since(seen->second, now);
      sched::Running r;
      r.job = key.first;
      r.team = job->spec.team;
      r.task = e.task;
      r.attempt = e.attempt;
      r.machine = e.machine;
      r.need = job->spec.need;
      r.priority = static_cast<int>(job->spec.priority);
      r.gang = job->spec.gang;
      r.loss_s = job->spec.checkpoint_s > 0 ? job->spec.save_s + 5 : ran;
      if (ran < kYoung) r.loss_s += 20;
      out.push_back(r);
    }
  }
  return out;
}

// Tasks on machines that the cloud is about to take save what they have and start again elsewhere.
void drain(World& w, core::PartId part) {
  std::set<core::JobId> gangs;
  const auto stop = [&](core::JobId id, const jobs::JobSpec& spec, const jobs::Entry& e) {
    const double grace = spec.stop_grace_s();
    if (w.fleet.to_stop.try_emplace({id, e.task, e.attempt}, grace).second)
      spdlog::info("drain job={} task={} try={} machine={}", w.names.jobs.name(id), e.task, e.attempt,
                   w.names.machines.name(e.machine));
  };
  for (const bool gang_pass : {false, true}) {
    for (const auto& [key, run] : w.mirror.runs()) {
      const auto* job = w.mirror.job(key.first);
      if (key.second != part || !job || job->status != jobs::Status::live) continue;
      for (const auto& e : run.entries) {
        const auto* m = w.fleet.find(e.machine);
        if (gang_pass) {
          if (gangs.contains(key.first)) stop(key.first, job->spec, e);
          continue;
        }
        if (!m || !m->notice_s || *m->notice_s > job->spec.save_s + 2 * w.s.report_s + 4) continue;
        if (job->spec.gang) {
          gangs.insert(key.first);
        } else {
          stop(key.first, job->spec, e);
        }
      }
    }
  }
}

// Jobs that fit their team's guarantee together with the team's earlier unfinished jobs.
std::set<core::JobId> jobs_within_guarantee(const World& w) {
  std::vector<std::pair<double, core::JobId>> by_age;
  for (const auto id : w.mirror.live()) by_age.emplace_back(w.mirror.job(id)->spec.submitted_s, id);
  std::sort(by_age.begin(), by_age.end());
  std::vector<core::Resources> asked(w.s.teams.size());
  std::set<core::JobId> out;
  for (const auto& [_, id] : by_age) {
    const auto& spec = w.mirror.job(id)->spec;
    const auto& team = w.s.teams.at(spec.team.v);
    auto& sum = asked[spec.team.v];
    sum += spec.need * static_cast<double>(spec.tasks - std::min(spec.tasks, w.mirror.done(id)));
    const bool gpus = team.gpus <= 0 ? spec.need.gpus <= 0 : sum.gpus <= team.gpus + core::Resources::kSlack;
    const bool cpus = team.cpus <= 0 || sum.cpus <= team.cpus + core::Resources::kSlack;
    if ((team.gpus > 0 || team.cpus > 0) && gpus && cpus) out.insert(id);
  }
  return out;
}

}  // namespace

asio::awaitable<void> Controller::writer_loop() {
  boost::system::error_code ec;
  core::TimePoint next_usage{};
  constexpr double kLeastGap = 0.5;
  while (true) {
    writer_wake_.expires_after(core::secs(tuning_.flush_s));
    co_await writer_wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_await flush();
    const auto now = core::Steady::now();
    // A round comes early when a job has arrived or room has been freed; never more often than the least gap.
    const auto version = world_.with([](World& w) { return w.mirror.version(); });
    if (now >= next_round_ || (version != round_version_ && core::since(last_round_, now) >= kLeastGap)) {
      next_round_ = now + core::secs(tuning_.round_s);
      round_seconds_ = std::min(tuning_.round_s * 2, core::since(last_round_, now));
      last_round_ = now;
      round_version_ = version;
      co_await round();
      co_await move_ranges();
    }
    if (now >= next_usage) {
      next_usage = now + jitter(tuning_.window_s / 3);
      co_await save_usage();
    }
  }
}

asio::awaitable<void> Controller::flush() {
  std::vector<Edit> edits;
  world_.with([&](World& w) {
    std::map<state::RunKey, std::vector<worker::Fact>> by_run;
    for (auto it = w.fleet.facts.begin(); it != w.fleet.facts.end();) {
      const auto* run = w.mirror.run({it->job, it->part});
      const bool current =
          run && std::any_of(run->entries.begin(), run->entries.end(), [&](const jobs::Entry& e) {
            return e.task == it->task && e.attempt == it->attempt;
          });
      if (!current || !w.owns(it->part)) {
        w.fleet.seen.erase({it->job, it->task, it->attempt});
        w.fleet.to_stop.erase({it->job, it->task, it->attempt});
        if (auto s = w.fleet.sent.find({it->job, it->task, it->attempt}); s != w.fleet.sent.end())
          if (s->second.answered_seq || s->second.token != w.token(it->part)) w.fleet.sent.erase(s);
        it = w.fleet.facts.erase(it);
        continue;
      }
      if (w.acting(it->part)) by_run[{it->job, it->part}].push_back(*it);
      ++it;
    }
    // Records without facts that still need an end: jobs over, or complete without anyone having said so.
    for (const auto& [key, run] : w.mirror.runs()) {
      if (!w.acting(key.second) || by_run.contains(key)) continue;
      const auto* job = w.mirror.job(key.first);
      const bool over = !job || job->status != jobs::Status::live;
      if (over && run.entries.empty()) by_run[key];
      if (!over && run.done.size() > 0 && w.mirror.done(key.first) >= job->spec.tasks) by_run[key];
    }
    for (const auto& [key, facts] : by_run) {
      const auto& run = *w.mirror.run(key);
      const auto* job = w.mirror.job(key.first);
      const auto next = settled(w, key, run, facts);
      const auto& job_name = w.names.jobs.name(key.first);
      const auto& part_name = w.names.parts.name(key.second);
      Edit e;
      e.when.push_back({state::keys::part(part_name), w.token(key.second)});
      e.when.push_back({state::keys::run(job_name, part_name), run.stamp});
      const bool live = job && job->status == jobs::Status::live;
      const bool complete =
          live && w.mirror.done(key.first) - run.done.size() + next.done.size() >= job->spec.tasks;
      if (complete) {
        e.when.push_back({state::keys::job(job_name), job->stamp});
        e.then.push_back({state::keys::job(job_name), jobs::to_json(finished(*job), w.names)});
      }
      if (next.entries.empty() && (complete || !live)) {
        e.then.push_back({state::keys::run(job_name, part_name), std::nullopt});
      } else {
        e.then.push_back(set_run(w, key, next));
      }
      edits.push_back(std::move(e));
    }
  });
  if (edits.empty()) co_return;
  for (auto& batch : pack(edits, store_.most_changes())) {
    if (!store_.spend(static_cast<int>(batch.txn.then.size()))) co_return;  // the rest in the next flush
    auto txn = batch.txn;
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == Outcome::done) {
      for (const auto& c : batch.txn.then)
        if (c.value && c.key.starts_with("jobs/")) spdlog::info("job done id={}", c.key.substr(5));
      continue;
    }
    // Facts stay, so the next flush tries again on what the next sync shows.
    sync_wake_.cancel();
    if (result.outcome != Outcome::conflict) co_return;
  }
}

asio::awaitable<void> Controller::round() {
  struct Candidate {
    core::PartId part;
    state::RunKey key;
    jobs::RunRecord run;
    std::uint64_t job_stamp = 0;
  };
  std::vector<sched::Waiting> queue;
  std::vector<sched::Demand> demands;
  std::vector<Candidate> candidates;
  std::vector<double> usage(settings_.teams.size(), 0);
  std::vector<sched::TeamRoom> teams(settings_.teams.size());
  std::map<core::PartId, std::vector<sched::Node>> nodes;
  std::map<core::PartId, std::vector<sched::Running>> running;
  std::vector<sched::TeamClaim> claims;
  std::vector<double> shares;
  std::vector<std::uint64_t> team_stamps;
  std::uint64_t attempt = 0;
  const auto now = core::Steady::now();
  const double wall = core::wall_s();

  const bool ready = world_.with([&](World& w) {
    if (!w.loaded || w.fleet.flavors.empty() || core::since(w.synced_at, now) > 2.0) return false;
    shares = w.shares;
    attempt = w.mirror.newest() + 1;
    const auto used = w.used_by_team();
    for (std::size_t i = 0; i < teams.size(); ++i)
      teams[i] = {used[i], w.s.teams[i].cpus_max, w.s.teams[i].gpus_max};
    for (std::size_t i = 0; i < teams.size(); ++i)
      claims.push_back({used[i], w.s.teams[i].cpus, w.s.teams[i].gpus});
    for (std::uint32_t i = 0; i < teams.size(); ++i)
      team_stamps.push_back(w.mirror.team_stamp(core::TeamId{i}));

    w.observe_lanes();
    auto lanes = w.lanes;
    for (auto& l : lanes) l.tasks /= static_cast<double>(w.parts.size());
    for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
      const core::PartId part{p};
      if (!w.acting(part)) {
        // Another owner's usage, as last recorded, aged to now.
        const auto& record = w.mirror.usage(part);
        ledger::UsageWindows theirs(settings_.teams.size(), tuning_.window_s, tuning_.windows, tuning_.decay);
        theirs.restore(record.index, record.windows);
        theirs.roll(wall);
        const auto sum = theirs.decayed();
        for (std::size_t i = 0; i < usage.size(); ++i) usage[i] += sum[i];
        continue;
      }
      auto& windows = w.usage[p];
      if (w.usage_from[p] != w.token(part)) {
        if (!w.mirror.usage(part).windows.empty())
          windows.restore(w.mirror.usage(part).index, w.mirror.usage(part).windows);
        w.usage_from[p] = w.token(part);
      }
      windows.roll(wall);
      for (const auto& [key, run] : w.mirror.runs()) {
        if (key.second != part) continue;
        const auto* job = w.mirror.job(key.first);
        if (!job) continue;
        for (const auto& e : run.entries)
          if (w.fleet.seen.contains({key.first, e.task, e.attempt}))
            windows.add(job->spec.team, job->spec.need.cpus * round_seconds_, wall);
      }
      const auto sum = windows.decayed();
      for (std::size_t i = 0; i < usage.size(); ++i) usage[i] += sum[i];

      auto& list = nodes[part];
      for (const auto& [id, m] : w.fleet.all()) {
        if (m.part != part || !w.usable(m, now)) continue;
        const auto* flavor = w.fleet.flavor(m.type);
        if (!flavor) continue;
        sched::Node n;
        n.id = id;
        n.type = m.type;
        n.zone = m.zone;
        n.spot = m.spot;
        n.size = flavor->size;
        n.free = flavor->size;
        n.free -= w.used_on(id);
        n.fetch_gb_per_s = flavor->fetch_gb_per_s;
        for (const auto& [image, _] : m.images) n.images.push_back(image);
        if (m.avoid_until > now) n.risk = 30;
        if (m.reserved_until > now) n.reserved_for = m.reserved_for;
        list.push_back(std::move(n));
      }
      sched::mark_wanted(list, lanes);
      drain(w, part);
      running[part] = running_in(w, part, now);
    }

    const auto guaranteed = jobs_within_guarantee(w);
    std::set<core::JobId> reserved;
    for (const auto& [_, m] : w.fleet.all())
      if (m.reserved_until > now) reserved.insert(m.reserved_for);
    constexpr std::size_t kMostTasks =
        200;  // of one job in one round: bounds a record's size and the work here
    for (const auto id : w.mirror.live()) {
      const auto& job = *w.mirror.job(id);
      if (auto t = w.trouble.find(id); t != w.trouble.end() && t->second.retry_at > now) continue;
      for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
        const core::PartId part{p};
        if (!w.acting(part)) continue;
        const jobs::RunRecord* run = w.mirror.run({id, part});
        if (job.spec.gang && run && !run->entries.empty()) continue;
        sched::Demand d;
        std::size_t room = kMostTasks;
        if (run) room -= std::min(room, run->entries.size());
        for (const auto& range : job.ranges) {
          if (range.part != part) continue;
          for (auto task = range.from; task < range.to; ++task) {
            if (d.tasks.size() >= room && !job.spec.gang) break;
            bool taken = false;
            w.mirror.each_run(id, [&](core::PartId, const jobs::RunRecord& r) {
              taken = taken || r.done.contains(task) || r.find(task) != nullptr;
            });
            if (!taken) d.tasks.push_back(task);
          }
          std::uint32_t busy = 0;
          w.mirror.each_run(id, [&](core::PartId, const jobs::RunRecord& r) {
            busy += r.done.count(range.from, range.to);
            for (const auto& e : r.entries)
              busy += e.task >= range.from && e.task < range.to && !r.done.contains(e.task) ? 1 : 0;
          });
          d.count += (range.to - range.from) - std::min(range.to - range.from, busy);
        }
        if (d.tasks.empty()) continue;
        if (job.spec.gang && d.tasks.size() != job.spec.tasks) continue;
        d.job = id;
        d.team = job.spec.team;
        d.lane = job.spec.lane;
        d.waited_s = wall - job.spec.submitted_s;
        d.guaranteed = guaranteed.contains(id) && d.waited_s >= w.guarantee_patience_s();
        d.patient = w.patient(job.spec, wall);
        d.has_reservation = reserved.contains(id);
        d.image = job.spec.image;
        d.image_gb = job.spec.image_gb;
        d.need = job.spec.need;
        d.priority = static_cast<int>(job.spec.priority);
        d.gang = job.spec.gang;
        d.spot = job.spec.spot;
        d.types = job.spec.types;
        d.zone = job.spec.zone;
        std::uint32_t here = 0;
        bool elsewhere = false;
        w.mirror.each_run(id, [&](core::PartId q, const jobs::RunRecord& r) {
          if (w.parts.zone(q) == w.parts.zone(part)) {
            here += static_cast<std::uint32_t>(r.entries.size());
          } else {
            elsewhere = elsewhere || !r.entries.empty();
          }
        });
        d.room_in_zone = job.spec.zone_cap() - std::min(job.spec.zone_cap(), here);
        // `together`: while any task, of an old attempt too, may be in another zone, none may start here.
        if (job.spec.one_zone && elsewhere) d.room_in_zone = 0;
        queue.push_back({d.team, d.image, d.need.cpus, d.count});
        Candidate c;
        c.part = part;
        c.key = {id, part};
        if (run) c.run = *run;
        c.job_stamp = job.stamp;
        candidates.push_back(std::move(c));
        demands.push_back(std::move(d));
      }
    }
    return true;
  });
  if (!ready || demands.empty()) {
    backlog_.clear();
    backlog_part_.clear();
    co_return;
  }

  const auto costs =
      sched::rank(queue, shares, usage, {tuning_.image_factor, tuning_.size_factor, tuning_.usage_factor});
  std::vector<Edit> edits;
  std::vector<sched::Demand> left;
  std::vector<core::PartId> left_part;
  for (const auto& [part, list] : nodes) {
    std::vector<sched::Demand> mine;
    std::vector<sched::Costs> mine_costs;
    std::vector<std::size_t> index;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (candidates[i].part != part) continue;
      mine.push_back(demands[i]);
      mine_costs.push_back(costs[i]);
      index.push_back(i);
    }
    const auto plan = sched::place(list, mine, mine_costs, teams);
    std::map<std::size_t, std::vector<const sched::Placement*>> by_demand;
    for (const auto& pl : plan.placements) {
      by_demand[pl.demand].push_back(&pl);
      teams[mine[pl.demand].team.v].used += mine[pl.demand].need;
    }
    world_.with([&](World& w) {
      for (const auto& [local, placed] : by_demand) {
        const auto i = index[local];
        const auto& c = candidates[i];
        const auto& d = demands[i];
        jobs::RunRecord next = c.run;
        const auto& job_name = w.names.jobs.name(d.job);
        const auto& part_name = w.names.parts.name(part);
        Edit e;
        for (const auto* pl : placed) {
          const auto* m = w.fleet.find(pl->machine);
          next.entries.push_back({pl->task, attempt, pl->machine, m->session});
          e.log.push_back(fmt::format("place job={} task={} try={} machine={} part={} term={} weight={:.3f}",
                                      job_name, pl->task, attempt, m->name, part_name, w.token(part),
                                      costs[i].weight));
        }
        const auto& team = w.names.teams.name(d.team);
        for (const auto* pl : placed) e.starts[pl->machine].push_back({d.job, pl->task, attempt});
        e.when.push_back({state::keys::part(part_name), w.token(part)});
        e.when.push_back({state::keys::job(job_name), c.job_stamp});
        e.when.push_back({state::keys::run(job_name, part_name), c.run.stamp});
        // Every placement of a team moves its counter: a stale view of the team's use makes the commit fail.
        e.when.push_back({state::keys::team(team), team_stamps[d.team.v]});
        // `together` and `scatter` count the job's tasks elsewhere: those records must not have moved either.
        if (w.mirror.job(d.job) && (w.mirror.job(d.job)->spec.one_zone || w.mirror.job(d.job)->spec.spread)) {
          w.mirror.each_run(d.job, [&](core::PartId q, const jobs::RunRecord& r) {
            if (q != part) e.when.push_back({state::keys::run(job_name, w.names.parts.name(q)), r.stamp});
          });
        }
        e.then.push_back(set_run(w, c.key, next));
        e.then.push_back({state::keys::team(team), json::object{{"n", attempt}}});
        edits.push_back(std::move(e));
      }
    });
    for (const auto& e : sched::preempt(plan.nodes, mine, plan.unplaced, running[part], plan.teams, claims))
      start_eviction(e, mine[e.demand], running[part], now);
    for (const auto local : plan.unplaced) {
      auto d = mine[local];
      const auto placed = by_demand.contains(local) ? by_demand[local].size() : 0;
      d.tasks.erase(d.tasks.begin(), d.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
      d.count -= static_cast<std::uint32_t>(placed);
      left.push_back(std::move(d));
      left_part.push_back(part);
    }
  }
  backlog_ = std::move(left);
  backlog_part_ = std::move(left_part);

  for (auto& batch : pack(edits, store_.most_changes())) {
    if (!store_.spend(static_cast<int>(batch.txn.then.size()))) break;
    auto txn = batch.txn;
    // The team's counter moved with an earlier batch of this round: that one was ours, so its new stamp
    // holds.
    world_.with([&](World& w) {
      for (auto& c : txn.when)
        if (c.key.starts_with("teams/"))
          if (auto team = w.names.teams.find(std::string_view(c.key).substr(6)))
            if (own_team_stamps_.contains(w.mirror.team_stamp(*team))) c.stamp = w.mirror.team_stamp(*team);
    });
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == Outcome::done) {
      own_team_stamps_.insert(result.epoch);
      for (const auto* e : batch.edits)
        for (const auto& line : e->log) spdlog::info("{}", line);
      send_starts(batch.edits);
      continue;
    }
    spdlog::info("placing refused outcome={} failed={}", static_cast<int>(result.outcome),
                 result.failed.empty() ? "-" : result.failed.front());
    // Try again as soon as the next sync has shown what changed.
    next_round_ = std::min(next_round_, core::Steady::now() + core::secs(0.4));
    sync_wake_.cancel();
  }
  own_team_stamps_.clear();
}

void Controller::start_eviction(const sched::Eviction& e, const sched::Demand& d,
                                const std::vector<sched::Running>& running, core::TimePoint now) {
  std::map<core::MachineId, std::vector<wire::Order>> stops;
  world_.with([&](World& w) {
    double longest = 0;
    for (const auto v : e.victims) {
      const auto& r = running[v];
      // All of a gang must hear it within gang_peer_s of each other, with time to save.
      const double grace = w.mirror.job(r.job)->spec.stop_grace_s();
      longest = std::max(longest, grace);
      w.fleet.to_stop[{r.job, r.task, r.attempt}] = grace;
      spdlog::info("preempt job={} task={} try={} machine={} for={}", w.names.jobs.name(r.job), r.task,
                   r.attempt, w.names.machines.name(r.machine), w.names.jobs.name(d.job));
      stops[r.machine].push_back(
          {wire::Order::Kind::stop, w.names.jobs.name(r.job), r.task, r.attempt, grace});
    }
    for (const auto id : e.machines) {
      auto* m = w.fleet.find(id);
      if (!m) continue;
      m->reserved_for = d.job;
      m->reserved_until = now + core::secs(longest + 2 * w.s.report_s + 4);
    }
  });
  for (auto& [machine, orders] : stops)
    asio::co_spawn(io_, send(machine, std::move(orders), {}), asio::detached);
}

void Controller::send_starts(const std::vector<const Edit*>& edits) {
  std::map<core::MachineId, std::vector<worker::Start>> by_machine;
  for (const auto* e : edits)
    for (const auto& [machine, starts] : e->starts)
      by_machine[machine].insert(by_machine[machine].end(), starts.begin(), starts.end());
  for (auto& [machine, starts] : by_machine) {
    std::vector<wire::Order> orders;
    world_.with([&](World& w) {
      for (const auto& [job, task, attempt] : starts)
        orders.push_back({wire::Order::Kind::start, w.names.jobs.name(job), task, attempt, 0});
    });
    asio::co_spawn(io_, send(machine, std::move(orders), std::move(starts)), asio::detached);
  }
}

asio::awaitable<void> Controller::move_ranges() {
  // What can't be placed here goes where there is room for it: one job a round, so that views stay true.
  struct Move {
    state::Txn txn;
    std::string text;
  };
  std::optional<Move> move;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    const auto used = w.used_by_team();
    for (std::size_t i = 0; i < backlog_.size() && !move; ++i) {
      const auto& d = backlog_[i];
      const auto part = backlog_part_[i];
      const auto* job = w.mirror.job(d.job);
      if (!w.acting(part) || !job || job->status != jobs::Status::live || job->ranges.size() > 48) continue;
      const sched::TeamRoom room{used[d.team.v], w.s.teams[d.team.v].cpus_max, w.s.teams[d.team.v].gpus_max};
      if (!room.allows(d.gang ? d.need * static_cast<double>(d.tasks.size()) : d.need)) continue;
      const bool whole = job->spec.gang || job->spec.one_zone;
      if (whole && w.mirror.placed(d.job) > 0) continue;
      if (job->spec.spread && !job->spec.gang) continue;  // dealt across zones as it must be
      std::optional<sched::PartRoom> best;
      for (const auto& p : part_rooms(w, job->spec, now)) {
        const double spare = p.free - p.backlog;
        if (p.part == part || !p.allowed || spare < (whole ? static_cast<double>(d.tasks.size()) : 1))
          continue;
        if (!best || spare > best->free - best->backlog) best = p;
      }
      if (!best) continue;
      auto count =
          static_cast<std::size_t>(std::min(best->free - best->backlog, static_cast<double>(d.tasks.size())));
      jobs::JobRecord next = *job;
      if (whole) {
        next.ranges = {{0, job->spec.tasks, best->part}};
      } else {
        std::set<std::uint32_t> moved(d.tasks.end() - static_cast<std::ptrdiff_t>(count), d.tasks.end());
        next.ranges.clear();
        for (const auto& r : job->ranges) {
          for (auto task = r.from; task < r.to;) {
            const bool goes = r.part == part && moved.contains(task);
            auto end = task + 1;
            while (end < r.to && (r.part == part && moved.contains(end)) == goes) ++end;
            next.ranges.push_back({task, end, goes ? best->part : r.part});
            task = end;
          }
        }
      }
      const auto& job_name = w.names.jobs.name(d.job);
      const auto& part_name = w.names.parts.name(part);
      move.emplace();
      move->txn.when.push_back({state::keys::part(part_name), w.token(part)});
      move->txn.when.push_back({state::keys::job(job_name), job->stamp});
      const auto* run = w.mirror.run({d.job, part});
      move->txn.when.push_back({state::keys::run(job_name, part_name), run ? run->stamp : 0});
      move->txn.then.push_back({state::keys::job(job_name), jobs::to_json(next, w.names)});
      move->text = fmt::format("moved job={} tasks={} from={} to={}", job_name, count, part_name,
                               w.names.parts.name(best->part));
    }
  });
  if (!move || !store_.spend(1)) co_return;
  const auto result = co_await commit(std::move(move->txn));
  if (result.outcome == Outcome::done) spdlog::info("{}", move->text);
}

asio::awaitable<void> Controller::save_usage() {
  std::vector<state::Txn> txns;
  world_.with([&](World& w) {
    for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
      const core::PartId part{p};
      if (!w.acting(part) || w.usage_from[p] != w.token(part)) continue;
      json::array windows;
      for (const auto& window : w.usage[p].windows()) {
        json::array values;
        for (const double v : window) values.push_back(std::round(v));
        windows.push_back(std::move(values));
      }
      const auto& name = w.names.parts.name(part);
      state::Txn txn;
      txn.when.push_back({state::keys::part(name), w.token(part)});
      txn.then.push_back(
          {state::keys::usage(name), json::object{{"i", w.usage[p].index()}, {"w", std::move(windows)}}});
      txns.push_back(std::move(txn));
    }
  });
  for (auto& txn : txns) {
    if (!store_.spend(1)) co_return;
    co_await commit(std::move(txn));
  }
}

}  // namespace finchrun::app
