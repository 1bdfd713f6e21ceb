// A round: the waiting tasks of own parts are ranked, placed, and the placements recorded before any start
// order leaves.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "app/controller.hpp"
#include "app/waiting.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;
using state::Outcome;

// Another owner's usage is as last recorded, aged to now; own windows go on from there.
std::vector<double> decayed_usage(World& w, double wall, double seconds) {
  std::vector<double> usage(w.s.teams.size(), 0);
  for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
    const core::PartId part{p};
    const auto& record = w.mirror.usage(part);
    if (w.acting(part) && w.usage_from[p] != w.token(part)) {
      if (!record.windows.empty()) w.usage[p].restore(record.index, record.windows);
      w.usage_from[p] = w.token(part);
    }
    if (w.acting(part)) w.usage[p].roll(wall);
  }
  w.mirror.each_run([&](core::JobId id, core::PartId part, const jobs::RunRecord& run) {
    const auto* job = run.entries.empty() || !w.acting(part) ? nullptr : w.mirror.job(id);
    if (!job || job->spec.team.v >= usage.size()) return;
    const auto running = std::count_if(run.entries.begin(), run.entries.end(), [&](const jobs::Entry& e) {
      return w.fleet.seen.contains({id, e.task, e.attempt});
    });
    w.usage[part.v].add(job->spec.team, job->spec.need.cpus * seconds * static_cast<double>(running), wall);
  });
  for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
    const core::PartId part{p};
    std::vector<double> sum;
    if (w.acting(part)) {
      sum = w.usage[p].decayed();
    } else {
      ledger::UsageWindows theirs(usage.size(), w.t.window_s, w.t.windows, w.t.decay);
      theirs.restore(w.mirror.usage(part).index, w.mirror.usage(part).windows);
      theirs.roll(wall);
      sum = theirs.decayed();
    }
    for (std::size_t i = 0; i < usage.size(); ++i) usage[i] += sum[i];
  }
  return usage;
}

// A limited team with nothing allowed here: 0 would mean no limit.
double limit_here(double limit, double share) { return limit > 0 ? std::max(share, 1e-9) : 0; }

sched::Node node_of(const World& w, const worker::Machine& m, const cloud::Flavor& flavor,
                    core::TimePoint now) {
  sched::Node n;
  n.id = m.id;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  n.size = n.free = flavor.size;
  n.free -= w.used_on(m.id);
  n.fetch_gb_per_s = flavor.fetch_gb_per_s;
  for (const auto& [image, _] : m.images) n.images.push_back(image);
  std::set<core::ImageId> fetching;
  for (const auto& placed : w.mirror.on_machine(m.id)) {
    const auto* job = w.mirror.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!m.holds(job->spec.image)) fetching.insert(job->spec.image);
    if (job->spec.standing()) n.replicas.push_back(placed.job);
  }
  n.fetching = fetching.size();
  if (m.avoid_until > now) n.risk = 30;
  if (m.reserved_until > now) {
    n.reserved_for = m.reserved_for;
    n.reserved_in_s = std::max(0.0, core::since(now, m.reserved_ready));
  }
  return n;
}

// What a job waits for in a part; nothing if it has nothing to place there now.
std::optional<sched::Demand> demand_of(const World& w, core::JobId id, core::PartId part,
                                       const WaitingTasks& waiting) {
  constexpr std::size_t kMostTasks = 200;  // of one job in one round: bounds the work here
  const auto& job = *w.mirror.job(id);
  const auto& spec = job.spec;
  sched::Demand d;
  // Until every task of its earlier attempt is gone, in whatever part, a gang can't start again.
  if (spec.gang() && w.mirror.placed(id) > 0) return std::nullopt;
  d.tasks = waiting.first(part, spec.gang() ? spec.tasks : kMostTasks);
  if (d.tasks.empty() || (spec.gang() && d.tasks.size() != spec.tasks)) return std::nullopt;
  d.count = waiting.count(part);
  d.job = id;
  d.job_stamp = job.stamp;
  d.team = spec.team;
  d.lane = spec.lane;
  d.image = spec.image;
  d.image_gb = spec.image_gb;
  d.need = spec.need;
  d.expect_s = spec.expect_s;
  d.priority = static_cast<int>(spec.priority);
  d.gang = spec.gang();
  d.standing = spec.standing();
  d.spot = spec.spot;
  d.types = spec.types;
  d.zone = spec.zone;
  // `scatter`: what other parts of the zone may ever place counts too, so no two owners need to agree.
  std::uint32_t here = 0;
  for (const auto& r : job.ranges)
    if (r.part != part && w.parts.zone(r.part) == w.parts.zone(part)) here += r.to - r.from;
  bool elsewhere = false;
  w.mirror.each_run(id, [&](core::PartId q, const jobs::RunRecord& r) {
    if (q == part) here += static_cast<std::uint32_t>(r.entries.size());
    if (w.parts.zone(q) != w.parts.zone(part)) elsewhere = elsewhere || !r.entries.empty();
  });
  d.room_in_zone = spec.zone_cap() - std::min(spec.zone_cap(), here);
  // `together`: while any task, of an old attempt too, may be in another zone, none may start here.
  if (spec.one_zone && elsewhere) d.room_in_zone = 0;
  return d;
}

}  // namespace

bool Controller::build_view(World& w, RoundView& v, core::TimePoint now) {
  if (!w.loaded || w.fleet.flavors.empty() || core::since(w.synced_at, now) > 2.0) return false;
  const double wall = core::wall_s();
  w.drop_settled();
  v.shares = w.shares;
  v.attempt = w.mirror.newest() + 1;
  const auto used = w.used_by_part();
  v.used.resize(w.s.teams.size());
  for (const auto& part : used)
    for (std::size_t t = 0; t < v.used.size(); ++t) v.used[t] += part[t];
  for (std::size_t t = 0; t < v.used.size(); ++t)
    v.claims.push_back({v.used[t], w.s.teams[t].cpus, w.s.teams[t].gpus});
  v.usage = decayed_usage(w, wall, round_seconds_);
  w.observe_lanes();
  drain(w);

  for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
    const core::PartId part{p};
    if (!w.acting(part) || w.fence_due[p] || w.mirror.epoch() < w.fenced_at[p]) continue;
    v.parts[part].token = w.token(part);
    auto& rooms = v.parts[part].rooms;
    for (std::uint32_t t = 0; t < v.used.size(); ++t) {
      const auto allowance = w.allowances(core::TeamId{t});
      const auto& share = allowance.share(part);
      rooms.push_back({used[p][t], limit_here(allowance.limit().cpus, share.cpus),
                       limit_here(allowance.limit().gpus, share.gpus)});
    }
  }
  if (v.parts.empty()) return false;
  std::set<core::JobId> reserved;
  for (const auto& [id, m] : w.fleet.all()) {
    if (m.reserved_until > now) reserved.insert(m.reserved_for);
    const auto part = v.parts.find(m.part);
    if (part == v.parts.end() || !w.usable(m, now)) continue;
    if (const auto* flavor = w.fleet.flavor(m.type))
      part->second.nodes.push_back(node_of(w, m, *flavor, now));
  }
  auto lanes = w.lanes;
  for (auto& l : lanes) l.tasks /= static_cast<double>(w.parts.size());
  for (auto& [_, part] : v.parts) sched::mark_wanted(part.nodes, lanes);

  v.within = w.within_guarantee();
  for (const auto id : w.mirror.live()) {
    const auto& job = *w.mirror.job(id);
    if (job.spec.team.v >= v.used.size()) continue;  // its team is not of this deployment any more
    if (auto t = w.trouble.find(id); t != w.trouble.end() && t->second.retry_at > now) continue;
    const WaitingTasks waiting(w.mirror, id);
    if (!waiting.any()) continue;
    for (auto& [part, view] : v.parts) {
      auto d = demand_of(w, id, part, waiting);
      if (!d) continue;
      d->waited_s = wall - job.spec.submitted_s;
      d->within = v.within.contains(id);
      d->guaranteed = d->within && d->waited_s >= w.guarantee_patience_s();
      d->patient = w.patient(job.spec, wall);
      d->has_reservation = reserved.contains(id);
      v.queue.push_back({d->team, d->image, d->need.cpus, d->count});
      view.demands.push_back(v.demands.size());
      v.demands.push_back(std::move(*d));
    }
  }
  return true;
}

// As many of the placements as fit into one transaction; at least one unless the part is not ours any more.
Edit Controller::record(World& w, const std::vector<Placing>& all, std::size_t& at, std::uint64_t attempt) {
  Edit e;
  const auto part = all[at].part;
  // Under another term, though it be ours again, others may have written what this was decided from.
  if (!w.acting(part) || w.token(part) != all[at].token) {
    ++at;
    return e;
  }
  PartWriter writer(w, part);
  // The room that was counted on: its end must be recorded with what takes its place. What does not fit into
  // this transaction has ended all the same.
  for (const auto& f : w.fleet.facts)
    if (f.part == part) writer.settle(f);
  const auto most_conditions = w.s.state_limits.most_conditions();
  const auto& part_name = w.names.parts.name(part);
  for (; at < all.size() && all[at].part == part; ++at) {
    const auto& p = all[at];
    const auto* job = w.mirror.job(p.job);
    // Its range may have moved since.
    if (!job || job->stamp != p.job_stamp) continue;
    // The part's term and fence, each open shard, and this job and its team.
    if (e.when.size() + writer.touched() + 5 > most_conditions) break;
    std::vector<jobs::Entry> entries;
    for (const auto& [task, machine] : p.tasks) {
      const auto* m = w.fleet.find(machine);
      if (m && !m->gone && !m->releasing) entries.push_back({task, attempt, machine, m->session});
    }
    if (entries.size() != p.tasks.size()) continue;
    if (!writer.add(p.job, entries)) {
      if (!e.starts.empty()) break;  // in the next transaction
      continue;                      // in another round, when less has to be written with it
    }
    const auto& job_name = w.names.jobs.name(p.job);
    // Nothing starts of a job that is over, or whose range has moved.
    e.require(state::keys::job(job_name), job->stamp);
    // The part's allowance is what we think it is: it is lowered, by giving, only through this key.
    e.require(state::keys::team(w.names.teams.name(job->spec.team)), w.mirror.team(job->spec.team).stamp);
    for (const auto& entry : entries) {
      e.starts[entry.machine].push_back({p.job, entry.task, attempt});
      const auto* m = w.fleet.find(entry.machine);
      e.log.push_back(fmt::format(
          "place job={} task={} try={} machine={} part={} term={} weight={:.3f} image={} cached={}", job_name,
          entry.task, attempt, w.names.machines.name(entry.machine), part_name, w.token(part), p.weight,
          w.names.images.name(job->spec.image), m && m->holds(job->spec.image)));
    }
  }
  if (writer.touched() > 0) writer.finish(e);
  return e;
}

asio::awaitable<void> Controller::round() {
  co_await move_fences();
  RoundView v;
  const auto now = core::Steady::now();
  backlog_.clear();
  backlog_part_.clear();
  shortages_.clear();
  if (!world_.with([&](World& w) { return build_view(w, v, now); })) co_return;

  const auto costs = sched::rank(v.queue, v.shares, v.usage,
                                 {tuning_.image_factor, tuning_.size_factor, tuning_.usage_factor});
  std::vector<Placing> placings;
  const auto most_entries = PartWriter::most_entries(settings_.state_limits);
  for (auto& [part, view] : v.parts) {
    std::vector<sched::Demand> mine;
    std::vector<sched::Costs> mine_costs;
    for (const auto i : view.demands) {
      mine.push_back(std::move(v.demands[i]));
      mine_costs.push_back(costs[i]);
    }
    const auto machines = view.nodes.size();
    auto plan = sched::place(std::move(view.nodes), mine, mine_costs, view.rooms);
    // In the order of placing: what does not get into this round's transactions is what ranks lowest.
    std::map<std::size_t, std::size_t> placed_of;
    for (const auto& pl : plan.placements) {
      // A large array is recorded in pieces that fit into one transaction; a gang starts as a whole.
      const auto placed = placed_of[pl.demand]++;
      if (placed == 0 || (!mine[pl.demand].gang && placed % most_entries == 0))
        placings.push_back({part,
                            view.token,
                            mine[pl.demand].job,
                            mine[pl.demand].job_stamp,
                            mine_costs[pl.demand].weight,
                            {}});
      placings.back().tasks.emplace_back(pl.task, pl.machine);
    }
    for (const auto i : plan.unplaced) {
      auto& d = mine[i];
      const auto placed = placed_of.contains(i) ? placed_of[i] : 0;
      d.tasks.erase(d.tasks.begin(), d.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
      d.count -= static_cast<std::uint32_t>(placed);
    }
    make_room(part, plan, mine, v, machines, now);
    if (spdlog::should_log(spdlog::level::debug)) log_round(part, plan, mine);
    collect_shortages(part, plan, mine, v.used);
    for (const auto i : plan.unplaced) {
      backlog_.push_back(std::move(mine[i]));
      backlog_part_.push_back(part);
    }
  }
  co_await record_placements(placings, v.attempt);
  co_await share_allowances();
}

void Controller::log_round(core::PartId part, const sched::Plan& plan,
                           const std::vector<sched::Demand>& demands) {
  core::Resources free, kept;
  std::size_t reserved = 0, limited = 0, gathering = 0;
  for (const auto& n : plan.nodes) {
    (n.reserved_for.valid() ? kept : free) += n.free;
    reserved += n.reserved_for.valid() ? 1 : 0;
  }
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    limited += plan.teams.at(d.team.v).allows(d.need * n) ? 0 : 1;
    gathering += d.has_reservation ? 1 : 0;
  }
  world_.with([&](World& w) {
    spdlog::debug(
        "round part={} machines={} reserved={} free_gpus={} kept_gpus={} jobs={} placed={} unplaced={} "
        "limited={} gathering={}",
        w.names.parts.name(part), plan.nodes.size(), reserved, free.gpus, kept.gpus, demands.size(),
        plan.placements.size(), plan.unplaced.size(), limited, gathering);
  });
}

asio::awaitable<void> Controller::record_placements(const std::vector<Placing>& placings,
                                                    std::uint64_t attempt) {
  for (std::size_t at = 0; at < placings.size();) {
    Edit e = world_.with([&](World& w) { return record(w, placings, at, attempt); });
    if (e.then.empty()) continue;
    if (!store_.spend(static_cast<int>(e.then.size()), state::Store::For::records)) {
      next_round_ = std::min(next_round_, core::Steady::now() + core::secs(0.4));
      co_return;
    }
    // Named: GCC 12 destroys aggregates twice that are temporaries of a co_await.
    state::Txn txn{e.when, std::move(e.then)};
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == Outcome::done) {
      for (const auto& line : e.log) spdlog::info("{}", line);
      send_starts(e);
      continue;
    }
    spdlog::info("placing refused outcome={} failed={}", static_cast<int>(result.outcome),
                 result.failed.empty() ? "-" : result.failed.front());
    // Try again as soon as the next sync has shown what changed.
    next_round_ = std::min(next_round_, core::Steady::now() + core::secs(0.4));
    sync_wake_.cancel();
    if (result.outcome != Outcome::unknown) continue;
    require_new_fences(e.when);
    co_return;
  }
}

void Controller::require_new_fences(const std::vector<state::Condition>& when) {
  world_.with([&](World& w) {
    for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
      const auto key = state::keys::fence(w.names.parts.name(core::PartId{p}));
      if (std::any_of(when.begin(), when.end(), [&](const auto& c) { return c.key == key; }))
        w.fence_due[p] = 1;
    }
  });
}

asio::awaitable<void> Controller::move_fences() {
  struct Raise {
    std::uint32_t part;
    state::Txn txn;
  };
  std::vector<Raise> raises;
  world_.with([&](World& w) {
    for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
      const core::PartId part{p};
      if (!w.fence_due[p]) continue;
      if (!w.acting(part)) {
        w.fence_due[p] = 0;  // another term: what was written under this one fails by itself
        continue;
      }
      const auto& name = w.names.parts.name(part);
      Raise r{p, {}};
      r.txn.when.push_back({state::keys::part(name), w.token(part)});
      r.txn.then.push_back({state::keys::fence(name), json::value(w.mirror.newest())});
      raises.push_back(std::move(r));
    }
  });
  for (auto& r : raises) {
    if (!store_.spend(1, state::Store::For::records)) co_return;
    const auto result = co_await commit(std::move(r.txn));
    if (result.outcome != Outcome::done) continue;
    world_.with([&](World& w) {
      w.fence_due[r.part] = 0;
      w.fenced_at[r.part] = result.epoch;
    });
    sync_wake_.cancel();
  }
}

void Controller::collect_shortages(core::PartId part, const sched::Plan& plan,
                                   const std::vector<sched::Demand>& demands,
                                   const std::vector<core::Resources>& used) {
  std::map<core::TeamId, core::Resources> more;
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const auto& room = plan.teams.at(d.team.v);
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    if (room.allows(d.need * n)) continue;
    // As many tasks of an array as could start at once, not all that wait.
    const double wish = d.gang ? n : static_cast<double>(std::min<std::size_t>(d.tasks.size(), 16));
    auto total = room.used;
    total += d.need * wish;
    auto& m = more[d.team];
    if (d.gang) {
      m.cpus = std::max(m.cpus, total.cpus - room.cpus_max);
      m.gpus = std::max(m.gpus, total.gpus - room.gpus_max);
    } else {
      m.cpus += d.need.cpus * wish;
      m.gpus += d.need.gpus * wish;
    }
  }
  for (std::uint32_t t = 0; t < plan.teams.size(); ++t) {
    const core::TeamId team{t};
    Shortage s{part, team, plan.teams[t].used, {}, used[t]};
    if (const auto m = more.find(team); m != more.end()) s.more = m->second;
    shortages_.push_back(s);
  }
}

// One change of a team's record a round at most: our parts' new wishes, and what we can give to others.
asio::awaitable<void> Controller::share_allowances() {
  std::vector<Edit> edits;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    for (std::uint32_t t = 0; t < w.s.teams.size(); ++t) {
      const core::TeamId team{t};
      if (w.s.teams[t].cpus_max <= 0 && w.s.teams[t].gpus_max <= 0) continue;
      auto allowances = w.allowances(team);
      bool changed = false;
      Edit e;
      for (const auto& s : shortages_) {
        if (s.team != team || !w.acting(s.part) || w.fence_due[s.part.v]) continue;
        const auto before = allowances.wish(s.part);
        // What the team uses in all parts together is near its limit: nobody has anything to give.
        auto more = s.more;
        const auto& limit = allowances.limit();
        more.cpus = std::min(more.cpus, limit.cpus - s.team_used.cpus);
        more.gpus = std::min(more.gpus, limit.gpus - s.team_used.gpus);
        const bool wants = more.cpus > 1e-3 || more.gpus > 1e-3;
        const bool wished = before.cpus > 1e-3 || before.gpus > 1e-3;
        if (wants && (more.cpus > before.cpus * 1.25 + 1e-3 || more.gpus > before.gpus * 1.25 + 1e-3)) {
          allowances.ask(s.part, more);
          changed |= allowances.wish(s.part).cpus > before.cpus + 1e-3 ||
                     allowances.wish(s.part).gpus > before.gpus + 1e-3;
        } else if (!wants && wished && core::since(last_unwish_, now) > 2) {
          allowances.ask(s.part, {});
          last_unwish_ = now;
          changed = true;
        }
        if (allowances.give(s.part, s.used)) {
          changed = true;
          spdlog::info("allowance given team={} part={}", w.names.teams.name(team),
                       w.names.parts.name(s.part));
        }
        const auto& name = w.names.parts.name(s.part);
        e.when.push_back({state::keys::part(name), w.token(s.part)});
        e.when.push_back({state::keys::fence(name), w.mirror.fence(s.part)});
      }
      if (!changed) continue;
      const auto key = state::keys::team(w.names.teams.name(team));
      e.when.push_back({key, w.mirror.team(team).stamp});
      json::object parts;
      for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
        const auto& share = allowances.share(core::PartId{p});
        const auto& wish = allowances.wish(core::PartId{p});
        parts[w.names.parts.name(core::PartId{p})] =
            json::array{share.cpus, share.gpus, wish.cpus, wish.gpus};
      }
      e.then.push_back({key, json::object{{"parts", std::move(parts)}}});
      edits.push_back(std::move(e));
    }
  });
  // One transaction each: a conflict over one team must not hold up the others.
  for (auto& e : edits) {
    if (!store_.spend(1, state::Store::For::records)) co_return;
    state::Txn txn{e.when, std::move(e.then)};
    const auto result = co_await commit(std::move(txn));
    // Applied late, it would take away an allowance that is in use by then.
    if (result.outcome == Outcome::unknown) require_new_fences(e.when);
  }
}

void Controller::send_starts(const Edit& e) {
  for (const auto& [machine, starts] : e.starts) {
    std::vector<wire::Order> orders;
    world_.with([&](World& w) {
      for (const auto& [job, task, attempt] : starts)
        orders.push_back({wire::Order::Kind::start, w.names.jobs.name(job), task, attempt, 0});
    });
    asio::co_spawn(io_, send(machine, std::move(orders), starts), asio::detached);
  }
}

}  // namespace finchrun::app
