// A round: the waiting tasks of own partitions are ranked, placed, and the placements recorded before any
// start order leaves.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "app/controller.hpp"
#include "app/waiting_tasks.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;
using state::CommitStatus;

// Another leader's usage is as last recorded, aged to now; own windows go on from there.
std::vector<double> decayed_usage(ControllerState& w, double wall, double seconds) {
  std::vector<double> usage(w.settings.teams.size(), 0);
  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    const auto& record = w.cache.usage(partition);
    if (w.leads(partition) && w.usage_from[p] != w.fencing_token(partition)) {
      if (!record.windows.empty()) w.usage[p].restore(record.index, record.windows);
      w.usage_from[p] = w.fencing_token(partition);
    }
    if (w.leads(partition)) w.usage[p].roll(wall);
  }
  w.cache.each_run([&](core::JobId id, core::PartitionId partition, const jobs::JobAssignments& run) {
    const auto* job = run.assignments.empty() || !w.leads(partition) ? nullptr : w.cache.job(id);
    if (!job || job->spec.team.index >= usage.size()) return;
    const auto running =
        std::count_if(run.assignments.begin(), run.assignments.end(), [&](const jobs::TaskAssignment& e) {
          return w.fleet.confirmed_starts.contains({id, e.task, e.attempt});
        });
    w.usage[partition.index].add(job->spec.team, job->spec.need.cpus * seconds * static_cast<double>(running),
                             wall);
  });
  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    std::vector<double> sum;
    if (w.leads(partition)) {
      sum = w.usage[p].decayed();
    } else {
      ledger::UsageWindows theirs(usage.size(), w.tuning.window_s, w.tuning.windows, w.tuning.decay);
      theirs.restore(w.cache.usage(partition).index, w.cache.usage(partition).windows);
      theirs.roll(wall);
      sum = theirs.decayed();
    }
    for (std::size_t i = 0; i < usage.size(); ++i) usage[i] += sum[i];
  }
  return usage;
}

// A limited team with nothing allowed here: 0 would mean no limit.
double limit_here(double limit, double share) { return limit > 0 ? std::max(share, 1e-9) : 0; }

sched::Node node_of(const ControllerState& w, const agent::Machine& m, const cloud::MachineType& machine_type,
                    core::TimePoint now) {
  sched::Node n;
  n.id = m.id;
  n.type = m.type;
  n.zone = m.zone;
  n.spot = m.spot;
  n.size = n.free = machine_type.size;
  n.free -= w.used_on(m.id);
  n.fetch_gb_per_s = machine_type.fetch_gb_per_s;
  for (const auto& [image, _] : m.images) n.images.push_back(image);
  std::set<core::ImageId> fetching;
  for (const auto& placed : w.cache.on_machine(m.id)) {
    const auto* job = w.cache.job(placed.job);
    if (!job || job->status != jobs::Status::live) continue;
    if (!m.holds(job->spec.image)) fetching.insert(job->spec.image);
    if (job->spec.standing()) n.replicas.push_back(placed.job);
  }
  n.fetching = fetching.size();
  if (m.cordoned_until > now) n.risk = 30;
  if (m.reserved_until > now) {
    n.reserved_for = m.reserved_for;
    n.reserved_in_s = std::max(0.0, core::since(now, m.reserved_ready));
  }
  return n;
}

// What a job waits for in a partition; nothing if it has nothing to place there now.
std::optional<sched::Demand> demand_of(const ControllerState& w, core::JobId id, core::PartitionId partition,
                                       const WaitingTasks& waiting) {
  constexpr std::size_t kMostTasks = 200;  // of one job in one round: bounds the work here
  const auto& job = *w.cache.job(id);
  const auto& spec = job.spec;
  sched::Demand d;
  // Until every task of its earlier attempt is gone, in whatever partition, a gang can't start again.
  if (spec.gang() && w.cache.placed(id) > 0) return std::nullopt;
  d.tasks = waiting.first(partition, spec.gang() ? spec.tasks : kMostTasks);
  if (d.tasks.empty() || (spec.gang() && d.tasks.size() != spec.tasks)) return std::nullopt;
  d.count = waiting.count(partition);
  d.job = id;
  d.job_revision = job.revision;
  d.team = spec.team;
  d.job_class = spec.job_class;
  d.image = spec.image;
  d.image_gb = spec.image_gb;
  d.need = spec.need;
  d.expected_run_s = spec.expected_run_s;
  d.priority = static_cast<int>(spec.priority);
  d.gang = spec.gang();
  d.standing = spec.standing();
  d.spot = spec.spot;
  d.types = spec.types;
  d.zone = spec.zone;
  // `scatter`: what other partitions of the zone may ever place counts too, so no two leaders need to agree.
  std::uint32_t here = 0;
  for (const auto& r : job.ranges)
    if (r.partition != partition && w.partitions.zone(r.partition) == w.partitions.zone(partition))
      here += r.to - r.from;
  bool elsewhere = false;
  w.cache.each_run(id, [&](core::PartitionId q, const jobs::JobAssignments& r) {
    if (q == partition) here += static_cast<std::uint32_t>(r.assignments.size());
    if (w.partitions.zone(q) != w.partitions.zone(partition)) elsewhere = elsewhere || !r.assignments.empty();
  });
  d.room_in_zone = spec.zone_cap() - std::min(spec.zone_cap(), here);
  // `together`: while any task, of an old attempt too, may be in another zone, none may start here.
  if (spec.one_zone && elsewhere) d.room_in_zone = 0;
  return d;
}

}  // namespace

bool Controller::build_view(ControllerState& w, RoundView& v, core::TimePoint now) {
  if (!w.loaded || w.fleet.machine_types.empty() || core::since(w.synchronized_at, now) > 2.0) return false;
  const double wall = core::wall_s();
  w.drop_recorded_exits();
  v.shares = w.shares;
  v.attempt = w.cache.newest() + 1;
  const auto used = w.used_by_partition();
  v.used.resize(w.settings.teams.size());
  for (const auto& partition : used)
    for (std::size_t t = 0; t < v.used.size(); ++t) v.used[t] += partition[t];
  for (std::size_t t = 0; t < v.used.size(); ++t)
    v.guarantees.push_back({v.used[t], w.settings.teams[t].cpus, w.settings.teams[t].gpus});
  v.usage = decayed_usage(w, wall, round_seconds_);
  w.observe_job_classes();
  drain(w);

  for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    if (!w.leads(partition) || w.fence_due[p] || w.cache.revision() < w.fenced_at[p]) continue;
    v.partitions[partition].fencing_token = w.fencing_token(partition);
    auto& rooms = v.partitions[partition].rooms;
    for (std::uint32_t t = 0; t < v.used.size(); ++t) {
      const auto quota_share = w.quota_shares(core::TeamId{t});
      const auto& share = quota_share.share(partition);
      rooms.push_back({used[p][t], limit_here(quota_share.limit().cpus, share.cpus),
                       limit_here(quota_share.limit().gpus, share.gpus)});
    }
  }
  if (v.partitions.empty()) return false;
  std::set<core::JobId> reserved;
  for (const auto& [id, m] : w.fleet.all()) {
    if (m.reserved_until > now) reserved.insert(m.reserved_for);
    const auto partition = v.partitions.find(m.partition);
    if (partition == v.partitions.end() || !w.usable(m, now)) continue;
    if (const auto* machine_type = w.fleet.machine_type(m.type))
      partition->second.nodes.push_back(node_of(w, m, *machine_type, now));
  }
  auto job_classes = w.job_classes;
  for (auto& l : job_classes) l.tasks /= static_cast<double>(w.partitions.size());
  for (auto& [_, partition] : v.partitions) sched::mark_scarcity(partition.nodes, job_classes);

  v.within = w.within_guarantee();
  for (const auto id : w.cache.live()) {
    const auto& job = *w.cache.job(id);
    if (job.spec.team.index >= v.used.size()) continue;  // its team is not of this deployment any more
    if (auto t = w.job_failures.find(id); t != w.job_failures.end() && t->second.retry_at > now) continue;
    const WaitingTasks waiting(w.cache, id);
    if (!waiting.any()) continue;
    for (auto& [partition, view] : v.partitions) {
      auto d = demand_of(w, id, partition, waiting);
      if (!d) continue;
      d->waited_s = wall - job.spec.submitted_s;
      d->within = v.within.contains(id);
      d->guaranteed = d->within && d->waited_s >= w.guarantee_grace_s();
      d->deferrable = w.deferrable(job.spec, wall);
      d->has_reservation = reserved.contains(id);
      v.queue.push_back({d->team, d->image, d->need.cpus, d->count});
      view.demands.push_back(v.demands.size());
      v.demands.push_back(std::move(*d));
    }
  }
  return true;
}

// As many of the placements as fit into one transaction; at least one unless the partition is not ours any
// more.
PlannedTransaction Controller::record(ControllerState& w, const std::vector<PlannedPlacement>& all,
                                      std::size_t& at, std::uint64_t attempt) {
  PlannedTransaction e;
  const auto partition = all[at].partition;
  // Under another term, though it be ours again, others may have written what this was decided from.
  if (!w.leads(partition) || w.fencing_token(partition) != all[at].fencing_token) {
    ++at;
    return e;
  }
  AssignmentWriter writer(w, partition);
  // The room that was counted on: its end must be recorded with what takes its place. What does not fit into
  // this transaction has ended all the same.
  for (const auto& f : w.fleet.observed_exits)
    if (f.partition == partition) writer.apply_tombstones(f);
  const auto max_compares = w.settings.state_limits.max_compares();
  const auto& partition_name = w.names.partitions.name(partition);
  for (; at < all.size() && all[at].partition == partition; ++at) {
    const auto& p = all[at];
    const auto* job = w.cache.job(p.job);
    // Its range may have moved since.
    if (!job || job->revision != p.job_revision) continue;
    // The partition's term and fence, each open shard, and this job and its team.
    if (e.compares.size() + writer.touched() + 5 > max_compares) break;
    std::vector<jobs::TaskAssignment> assignments;
    for (const auto& [task, machine] : p.tasks) {
      const auto* m = w.fleet.find(machine);
      if (m && !m->gone && !m->terminating)
        assignments.push_back({task, attempt, machine, m->agent_incarnation});
    }
    if (assignments.size() != p.tasks.size()) continue;
    if (!writer.add(p.job, assignments)) {
      if (!e.starts.empty()) break;  // in the next transaction
      continue;                      // in another round, when less has to be written with it
    }
    const auto& job_name = w.names.jobs.name(p.job);
    // Nothing starts of a job that is over, or whose range has moved.
    e.require(state::keys::job(job_name), job->revision);
    // The partition's allowance is what we think it is: it is lowered, by giving, only through this key.
    e.require(state::keys::team(w.names.teams.name(job->spec.team)), w.cache.team(job->spec.team).revision);
    for (const auto& assignment : assignments) {
      e.starts[assignment.machine].push_back({p.job, assignment.task, attempt});
      const auto* m = w.fleet.find(assignment.machine);
      e.log.push_back(fmt::format(
          "place job={} task={} try={} machine={} part={} term={} weight={:.3f} image={} cached={}", job_name,
          assignment.task, attempt, w.names.machines.name(assignment.machine), partition_name,
          w.fencing_token(partition), p.weight, w.names.images.name(job->spec.image),
          m && m->holds(job->spec.image)));
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
  backlog_partition_.clear();
  shortages_.clear();
  if (!state_.with([&](ControllerState& w) { return build_view(w, v, now); })) co_return;

  const auto costs = sched::rank(v.queue, v.shares, v.usage,
                                 {tuning_.image_factor, tuning_.size_factor, tuning_.usage_factor});
  std::vector<PlannedPlacement> placings;
  const auto most_assignments = AssignmentWriter::most_assignments(settings_.state_limits);
  for (auto& [partition, view] : v.partitions) {
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
      if (placed == 0 || (!mine[pl.demand].gang && placed % most_assignments == 0))
        placings.push_back({partition,
                            view.fencing_token,
                            mine[pl.demand].job,
                            mine[pl.demand].job_revision,
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
    preempt_and_reserve(partition, plan, mine, v, machines, now);
    if (spdlog::should_log(spdlog::level::debug)) log_round(partition, plan, mine);
    collect_shortages(partition, plan, mine, v.used);
    for (const auto i : plan.unplaced) {
      backlog_.push_back(std::move(mine[i]));
      backlog_partition_.push_back(partition);
    }
  }
  co_await record_placements(placings, v.attempt);
  co_await share_quota();
}

void Controller::log_round(core::PartitionId partition, const sched::Plan& plan,
                           const std::vector<sched::Demand>& demands) {
  core::Resources free, kept;
  std::size_t reserved = 0, limited = 0, waiting_for_reservation = 0;
  for (const auto& n : plan.nodes) {
    (n.reserved_for.valid() ? kept : free) += n.free;
    reserved += n.reserved_for.valid() ? 1 : 0;
  }
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    limited += plan.teams.at(d.team.index).allows(d.need * n) ? 0 : 1;
    waiting_for_reservation += d.has_reservation ? 1 : 0;
  }
  state_.with([&](ControllerState& w) {
    spdlog::debug(
        "round part={} machines={} reserved={} free_gpus={} kept_gpus={} jobs={} placed={} unplaced={} "
        "limited={} gathering={}",
        w.names.partitions.name(partition), plan.nodes.size(), reserved, free.gpus, kept.gpus, demands.size(),
        plan.placements.size(), plan.unplaced.size(), limited, waiting_for_reservation);
  });
}

asio::awaitable<void> Controller::record_placements(const std::vector<PlannedPlacement>& placings,
                                                    std::uint64_t attempt) {
  for (std::size_t at = 0; at < placings.size();) {
    PlannedTransaction e = state_.with([&](ControllerState& w) { return record(w, placings, at, attempt); });
    if (e.writes.empty()) continue;
    if (!store_.spend(static_cast<int>(e.writes.size()), state::KeyValueStore::For::records)) {
      next_round_ = std::min(next_round_, core::Steady::now() + core::secs(0.4));
      co_return;
    }
    // Named: GCC 12 destroys aggregates twice that are temporaries of a co_await.
    state::Transaction txn{e.compares, std::move(e.writes)};
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == CommitStatus::done) {
      for (const auto& line : e.log) spdlog::info("{}", line);
      send_starts(e);
      continue;
    }
    spdlog::info("placing refused outcome={} failed={}", static_cast<int>(result.outcome),
                 result.failed.empty() ? "-" : result.failed.front());
    // Try again as soon as the next sync has shown what changed.
    next_round_ = std::min(next_round_, core::Steady::now() + core::secs(0.4));
    sync_wakeup_.cancel();
    if (result.outcome != CommitStatus::unknown) continue;
    require_new_fences(e.compares);
    co_return;
  }
}

void Controller::require_new_fences(const std::vector<state::Compare>& compares) {
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const auto key = state::keys::fence(w.names.partitions.name(core::PartitionId{p}));
      if (std::any_of(compares.begin(), compares.end(), [&](const auto& c) { return c.key == key; }))
        w.fence_due[p] = 1;
    }
  });
}

asio::awaitable<void> Controller::move_fences() {
  struct Raise {
    std::uint32_t partition;
    state::Transaction txn;
  };
  std::vector<Raise> raises;
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const core::PartitionId partition{p};
      if (!w.fence_due[p]) continue;
      if (!w.leads(partition)) {
        w.fence_due[p] = 0;  // another term: what was written under this one fails by itself
        continue;
      }
      const auto& name = w.names.partitions.name(partition);
      Raise r{p, {}};
      r.txn.compares.push_back({state::keys::partition(name), w.fencing_token(partition)});
      r.txn.writes.push_back({state::keys::fence(name), json::value(w.cache.newest())});
      raises.push_back(std::move(r));
    }
  });
  for (auto& r : raises) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    const auto result = co_await commit(std::move(r.txn));
    if (result.outcome != CommitStatus::done) continue;
    state_.with([&](ControllerState& w) {
      w.fence_due[r.partition] = 0;
      w.fenced_at[r.partition] = result.revision;
    });
    sync_wakeup_.cancel();
  }
}

void Controller::collect_shortages(core::PartitionId partition, const sched::Plan& plan,
                                   const std::vector<sched::Demand>& demands,
                                   const std::vector<core::Resources>& used) {
  std::map<core::TeamId, core::Resources> more;
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const auto& room = plan.teams.at(d.team.index);
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    if (room.allows(d.need * n)) continue;
    // As many tasks of an array as could start at once, not all that wait.
    const double requested = d.gang ? n : static_cast<double>(std::min<std::size_t>(d.tasks.size(), 16));
    auto total = room.used;
    total += d.need * requested;
    auto& m = more[d.team];
    if (d.gang) {
      m.cpus = std::max(m.cpus, total.cpus - room.cpus_max);
      m.gpus = std::max(m.gpus, total.gpus - room.gpus_max);
    } else {
      m.cpus += d.need.cpus * requested;
      m.gpus += d.need.gpus * requested;
    }
  }
  for (std::uint32_t t = 0; t < plan.teams.size(); ++t) {
    const core::TeamId team{t};
    Shortage s{partition, team, plan.teams[t].used, {}, used[t]};
    if (const auto m = more.find(team); m != more.end()) s.more = m->second;
    shortages_.push_back(s);
  }
}

// One change of a team's record a round at most: our partitions' new wishes, and what we can give to others.
asio::awaitable<void> Controller::share_quota() {
  std::vector<PlannedTransaction> edits;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    for (std::uint32_t t = 0; t < w.settings.teams.size(); ++t) {
      const core::TeamId team{t};
      if (w.settings.teams[t].cpus_max <= 0 && w.settings.teams[t].gpus_max <= 0) continue;
      auto quota_shares = w.quota_shares(team);
      bool changed = false;
      PlannedTransaction e;
      for (const auto& s : shortages_) {
        if (s.team != team || !w.leads(s.partition) || w.fence_due[s.partition.index]) continue;
        const auto before = quota_shares.requested(s.partition);
        // What the team uses in all partitions together is near its limit: nobody has anything to give.
        auto more = s.more;
        const auto& limit = quota_shares.limit();
        more.cpus = std::min(more.cpus, limit.cpus - s.team_used.cpus);
        more.gpus = std::min(more.gpus, limit.gpus - s.team_used.gpus);
        const bool wants = more.cpus > 1e-3 || more.gpus > 1e-3;
        const bool wished = before.cpus > 1e-3 || before.gpus > 1e-3;
        if (wants && (more.cpus > before.cpus * 1.25 + 1e-3 || more.gpus > before.gpus * 1.25 + 1e-3)) {
          quota_shares.ask(s.partition, more);
          changed |= quota_shares.requested(s.partition).cpus > before.cpus + 1e-3 ||
                     quota_shares.requested(s.partition).gpus > before.gpus + 1e-3;
        } else if (!wants && wished && core::since(last_request_withdrawn_, now) > 2) {
          quota_shares.ask(s.partition, {});
          last_request_withdrawn_ = now;
          changed = true;
        }
        if (quota_shares.give(s.partition, s.used)) {
          changed = true;
          spdlog::info("allowance given team={} part={}", w.names.teams.name(team),
                       w.names.partitions.name(s.partition));
        }
        const auto& name = w.names.partitions.name(s.partition);
        e.compares.push_back({state::keys::partition(name), w.fencing_token(s.partition)});
        e.compares.push_back({state::keys::fence(name), w.cache.fence(s.partition)});
      }
      if (!changed) continue;
      const auto key = state::keys::team(w.names.teams.name(team));
      e.compares.push_back({key, w.cache.team(team).revision});
      json::object partitions;
      for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
        const auto& share = quota_shares.share(core::PartitionId{p});
        const auto& requested = quota_shares.requested(core::PartitionId{p});
        partitions[w.names.partitions.name(core::PartitionId{p})] =
            json::array{share.cpus, share.gpus, requested.cpus, requested.gpus};
      }
      e.writes.push_back({key, json::object{{"parts", std::move(partitions)}}});
      edits.push_back(std::move(e));
    }
  });
  // One transaction each: a conflict over one team must not hold up the others.
  for (auto& e : edits) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    state::Transaction txn{e.compares, std::move(e.writes)};
    const auto result = co_await commit(std::move(txn));
    // Applied late, it would take away an allowance that is in use by then.
    if (result.outcome == CommitStatus::unknown) require_new_fences(e.compares);
  }
}

void Controller::send_starts(const PlannedTransaction& e) {
  for (const auto& [machine, starts] : e.starts) {
    std::vector<wire::Command> commands;
    state_.with([&](ControllerState& w) {
      for (const auto& [job, task, attempt] : starts)
        commands.push_back({wire::Command::Kind::start, w.names.jobs.name(job), task, attempt, 0});
    });
    asio::co_spawn(io_, send(machine, std::move(commands), starts), asio::detached);
  }
}

}  // namespace finchrun::app
