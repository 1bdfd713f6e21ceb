#include "autoscaling/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <cmath>

namespace finchrun::autoscaling {

namespace {

using controller::ControllerState;

// A machine that has been starting for much longer than its type usually takes is not waited for any more:
// the work is rented for elsewhere. If it comes up after all it is used, or given back when idle.
bool is_boot_overdue(const agent::Machine& m, const cloud::MachineType& machine_type, core::TimePoint now) {
  constexpr double kBootsWaitedFor = 2;  // usual boots take up to 1.5 times the type's boot time
  const auto since = m.status == "starting" ? m.starting_since : m.first_seen;
  return core::since(since, now) > kBootsWaitedFor * machine_type.boot_s;
}

}  // namespace

asio::awaitable<void> Autoscaler::run() {
  core::TimePoint next_list{}, next_machine_types{}, next_scale_out{};
  while (true) {
    const auto now = core::Steady::now();
    if (now >= next_machine_types) {
      co_await refresh_machine_types();
      const bool known = state_.with([](ControllerState& w) { return !w.fleet.machine_types.empty(); });
      next_machine_types = now + runtime_.jitter(known ? 120 : 0.5);
    }
    if (now >= next_list) {
      next_list = now + runtime_.jitter(std::max(2.0, cloud_.list_every_s()));
      co_await refresh_machines();
      co_await scale_in();
    }
    if (now >= next_scale_out) {
      next_scale_out = now + runtime_.jitter(1.0);
      co_await scale_out();
    }
    co_await runtime_.sleep(0.25);
  }
}

asio::awaitable<void> Autoscaler::refresh_machine_types() {
  auto machine_types = co_await cloud_.machine_types();
  if (!machine_types) co_return;
  state_.with([&](ControllerState& w) {
    w.fleet.machine_type_ids.clear();
    for (const auto& f : *machine_types) w.fleet.machine_type_ids.push_back(w.names.types.intern(f.name));
    w.fleet.machine_types = std::move(*machine_types);
  });
}

asio::awaitable<void> Autoscaler::refresh_machines() {
  auto list = co_await cloud_.machines();
  if (!list) co_return;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    for (auto& [_, m] : w.fleet.all()) m.listed = false;
    for (const auto& item : *list) {
      if (w.fleet.was_deleted(w.names, item.name)) continue;  // the list lags
      auto& m = w.fleet.intern(w.names, item.name);
      if (m.first_seen == core::TimePoint{}) m.first_seen = now;
      m.listed = m.ever_listed = true;
      m.type = w.names.types.intern(item.type);
      m.zone = w.names.zones.intern(item.zone);
      m.partition = w.partitions.partition_of(item.name, m.zone).value_or(core::PartitionId{});
      m.spot = item.spot;
      if (!item.endpoint.empty()) m.endpoint = item.endpoint;
      if (item.status == "starting" && m.status != "starting")
        m.starting_since = now - core::secs(item.held_s);
      m.status = item.status;
    }
    // Machines that are no longer listed and that no record names are of no interest any more.
    const double patience = 4 * w.settings.cloud_list_lag_s + 60;
    std::erase_if(w.fleet.all(), [&](const auto& item) {
      const auto& m = item.second;
      return !m.listed && w.cache.on_machine(item.first).empty() &&
             core::since(m.first_seen, now) > patience && core::since(m.last_heartbeat, now) > patience;
    });
  });
}

asio::awaitable<void> Autoscaler::scale_in() {
  struct Return {
    core::MachineId id;
    std::string name;
    const char* why;
  };
  std::vector<Return> returns;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    // A controller that was cut off sees only silent machines, and may have another leader's part in its old
    // view.
    if (core::since(w.synchronized_at, now) > 1.5) return;
    std::vector<int> heard(w.partitions.size()), unheard(w.partitions.size());
    for (const auto& [id, m] : w.fleet.all()) {
      if (!m.partition.valid() || m.gone || !m.listed || m.status != "running") continue;
      (w.silent_s(m, now) > 3 * w.settings.report_s + 2 ? unheard : heard)[m.partition.index]++;
    }
    w.cache.each_named_machine([&](core::MachineId id, const std::vector<state::MachineAssignment>& list) {
      const auto partition = list.front().partition;
      if (!w.leads(partition)) return;
      // A placement that was on its way when the machine was returned: what it booked is gone too.
      if (w.fleet.deleted.contains(id)) return agent::machine_gone(w.cache, w.fleet, id);
      if (w.fleet.find(id)) return;
      // Taken while no leader was there to see it: never listed, never reporting, yet recorded. Its deletion
      // has to be asked for too, or its tasks stay booked for good.
      auto& m = w.fleet.intern(w.names, w.names.machines.name(id));
      m.partition = partition;
      m.zone = w.partitions.zone(partition);
      m.first_seen = now;
    });
    // Hung, it still holds the cancelled task, whose time is up soon after the lease. Nothing else on it is
    // worth the wait that a zone is given to come back.
    const auto cancelled = [&](const std::vector<state::MachineAssignment>& placed) {
      return std::any_of(placed.begin(), placed.end(), [&](const state::MachineAssignment& p) {
        return w.cache.cancelled_with_tasks().contains(p.job);
      });
    };
    for (auto& [id, m] : w.fleet.all()) {
      if (returns.size() >= 50) break;
      if (!m.partition.valid() || !w.leads(m.partition) || m.gone || m.terminating) continue;
      const auto* machine_type = w.fleet.machine_type(m.type);
      const double silent = w.silent_s(m, now);
      const auto& placed = w.cache.on_machine(id);
      const bool in_use = !placed.empty();
      const double patience = cancelled(placed)                                       ? 3
                              : unheard[m.partition.index] > heard[m.partition.index] ? 90
                                                                                      : 15;
      const char* why = nullptr;
      if (m.listed && m.status == "failed") why = "failed";
      // Silent and not listed: it is gone, and the answer to the deletion makes that certain.
      else if (in_use && !m.listed && silent > 3 * w.settings.report_s + 2 &&
               (m.ever_listed || silent > 3 * w.settings.cloud_list_lag_s + 5))
        why = "unlisted";
      else if (m.listed && m.status == "running" && silent > w.settings.lease_s + patience)
        why = "silent";
      else if (m.listed && m.status == "starting" && machine_type &&
               core::since(m.starting_since, now) > 5 * machine_type->boot_s + 30)
        why = "never came up";
      else if (m.quarantined && !in_use)
        why = "sick";
      // Its heartbeats come and nothing of ours arrives: its lease has run out, and again, with us answering.
      // One whose heartbeats don't come either may be cut off, and is waited for as such.
      else if (m.unreachable() && silent < w.settings.lease_s &&
               core::since(*m.unreachable_since, now) > 2 * w.settings.lease_s + 15)
        why = "deaf";
      else if (m.has_heartbeat && !in_use && core::since(m.idle_since, now) > w.tuning.idle_return_s)
        why = "idle";
      if (!why) continue;
      m.terminating = true;
      returns.push_back({id, m.name, why});
    }
  });
  if (returns.empty()) co_return;
  std::vector<std::string> names;
  for (const auto& r : returns) names.push_back(r.name);
  const bool gone = co_await cloud_.release(names);
  state_.with([&](ControllerState& w) {
    for (const auto& r : returns) {
      auto* m = w.fleet.find(r.id);
      if (!m) continue;
      if (!gone) {
        m->terminating = false;  // tried again with the next list
        continue;
      }
      spdlog::info("returned machine={} why={}", r.name, r.why);
      agent::machine_gone(w.cache, w.fleet, r.id);
      w.fleet.deleted.insert(r.id);
      m->gone = true;
      m->has_heartbeat = false;
    }
  });
}

// The cheapest kind for each job that can't be placed, among those not refused lately; added up by kind.
std::vector<ScaleOutRequest> Autoscaler::plan_scale_out(ControllerState& w, core::TimePoint now) {
  std::map<std::string, ScaleOutRequest> requests;
  const auto used = w.used_by_team();
  std::vector<sched::TeamQuota> teams;
  for (std::size_t i = 0; i < used.size(); ++i)
    teams.push_back({used[i], w.settings.teams[i].cpus_max, w.settings.teams[i].gpus_max});
  // Room that is on its way, by partition, eats up the backlog first.
  struct Coming {
    core::PartitionId partition;
    core::MachineTypeId type;
    bool spot;
    core::Resources free;
  };
  std::vector<Coming> coming;
  // Room on spot machines, coming or there already, by partition: see `relief` below.
  std::vector<Coming> spare_spot;
  for (const auto& [id, m] : w.fleet.all()) {
    if (!m.partition.valid() || !w.leads(m.partition) || m.terminating || m.quarantined || m.gone) continue;
    const auto* machine_type = w.fleet.machine_type(m.type);
    if (!machine_type) continue;
    if (m.has_heartbeat) {
      if (!m.spot) continue;
      auto free = machine_type->size;
      free -= w.used_on(id);
      spare_spot.push_back({m.partition, m.type, true, free});
      continue;
    }
    if (is_boot_overdue(m, *machine_type, now)) continue;
    coming.push_back({m.partition, m.type, m.spot, machine_type->size});
    if (m.spot) spare_spot.push_back(coming.back());
  }
  const bool others_use_spot =
      std::any_of(w.job_classes.begin(), w.job_classes.end(),
                  [](const sched::JobClassProfile& l) { return l.spot && l.tasks >= 1; });
  // Some kind of ordinary machine that the job may use was not refused lately.
  const auto ordinary_left = [&](const sched::Demand& d, const std::string& zone) {
    for (std::size_t f = 0; f < w.fleet.machine_types.size(); ++f) {
      const auto& machine_type = w.fleet.machine_types[f];
      if (d.types &&
          std::find(d.types->begin(), d.types->end(), w.fleet.machine_type_ids[f]) == d.types->end())
        continue;
      if (std::find(machine_type.zones.begin(), machine_type.zones.end(), zone) == machine_type.zones.end())
        continue;
      if (!d.need.fits(machine_type.size)) continue;
      const auto refused = no_capacity_until_.find(machine_type.name + "|" + zone + "|own");
      if (refused == no_capacity_until_.end() || refused->second <= now) return true;
    }
    return false;
  };
  for (std::size_t i = 0; i < backlog_.size(); ++i) {
    const auto& d = backlog_[i].demand;
    const auto partition = backlog_[i].partition;
    if (!w.leads(partition)) continue;
    auto left = d.gang ? static_cast<std::uint32_t>(d.tasks.size()) : d.count;
    auto& team = teams[d.team.index];
    auto c = coming.begin();
    const auto takes = [&](const Coming& m) {
      return m.partition == partition && d.need.fits(m.free) && (!m.spot || d.spot) &&
             (!d.types || std::find(d.types->begin(), d.types->end(), m.type) != d.types->end());
    };
    for (; left > 0 && team.allows(d.need); --left) {
      c = std::find_if(c, coming.end(), takes);
      if (c == coming.end()) break;
      c->free -= d.need;
      team.used += d.need;
    }
    const auto& zone_name = w.names.zones.name(w.partitions.zone(partition));
    const ScaleOutRequest* best = nullptr;
    double best_price = 0;
    int best_each = 1;
    // Where ordinary machines have run out, work that may use spot machines is given some, so that it leaves
    // the ordinary ones to this job; what is spare already is counted first.
    const bool relief = !d.spot && left > 0 && others_use_spot && !ordinary_left(d, zone_name);
    for (auto m = spare_spot.begin(); relief && left > 0 && m != spare_spot.end();) {
      if (m->partition == partition && d.need.fits(m->free)) {
        m->free -= d.need;
        --left;
      } else {
        ++m;
      }
    }
    for (std::size_t f = 0; left > 0 && team.allows(d.need) && f < w.fleet.machine_types.size(); ++f) {
      const auto& machine_type = w.fleet.machine_types[f];
      const auto type = w.fleet.machine_type_ids[f];
      if (d.types && std::find(d.types->begin(), d.types->end(), type) == d.types->end()) continue;
      if (std::find(machine_type.zones.begin(), machine_type.zones.end(), zone_name) ==
          machine_type.zones.end())
        continue;
      const int each = d.need.times_in(machine_type.size);
      if (each < 1) continue;
      for (const bool spot : {false, true}) {
        if (spot && !d.spot && !relief) continue;
        const auto slot = machine_type.name + "|" + zone_name + (spot ? "|spot" : "|own");
        if (auto it = no_capacity_until_.find(slot); it != no_capacity_until_.end() && it->second > now)
          continue;
        const double price =
            (spot ? machine_type.spot_price : machine_type.price) / std::min<double>(each, left);
        if (best && price >= best_price) continue;
        best_price = price;
        best_each = each;
        best = &requests.try_emplace(slot, ScaleOutRequest{machine_type.name, zone_name, spot, 0, slot})
                    .first->second;
      }
    }
    if (!best) continue;
    std::uint32_t asked = 0;
    for (; asked < left && team.allows(d.need); ++asked) team.used += d.need;
    requests.at(best->slot).machines += static_cast<double>(asked) / best_each;
  }
  std::vector<ScaleOutRequest> out;
  for (auto& [_, requested] : requests)
    if (requested.machines > 0) out.push_back(std::move(requested));
  std::sort(out.begin(), out.end(),
            [](const ScaleOutRequest& a, const ScaleOutRequest& b) { return a.machines > b.machines; });
  return out;
}

asio::awaitable<void> Autoscaler::scale_out() {
  constexpr int kMostAtOnce = 50;  // the cloud's limit
  std::optional<ScaleOutRequest> requested;
  int count = 0;
  std::string request;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    if (w.fleet.machine_types.empty()) return;
    auto requests = plan_scale_out(w, now);
    if (requests.empty()) return;
    requested = std::move(requests.front());
    // Work that ends in the meantime frees room too: a large need is met by halves.
    const int need = static_cast<int>(std::ceil(requested->machines));
    count = std::min(kMostAtOnce, std::max(std::min(w.tuning.scale_out_batch, need), need / 2));
    request = fmt::format("{}-{}-{}", w.settings.label, w.incarnation, ++scale_out_count_);
  });
  if (!requested) co_return;
  const auto answer =
      co_await cloud_.scale_out(request, requested->type, requested->zone, requested->spot, count);
  spdlog::info("hire type={} zone={} spot={} wanted={} got={} request={}", requested->type, requested->zone,
               requested->spot, count, answer.machines.size(), request);
  if (answer.kind == cloud::ScaleOutResult::Kind::no_capacity) {
    no_capacity_until_[requested->slot] = now + runtime_.jitter(15);
  } else if (answer.kind == cloud::ScaleOutResult::Kind::failed) {
    // Rented perhaps: such machines show up in the list and are used. Not asked again at once.
    no_capacity_until_[requested->slot] = now + runtime_.jitter(4);
  } else {
    state_.with([&](ControllerState& w) {
      for (const auto& name : answer.machines) {
        auto& m = w.fleet.intern(w.names, name);
        m.type = w.names.types.intern(requested->type);
        m.zone = w.names.zones.intern(requested->zone);
        m.partition = w.partitions.partition_of(name, m.zone).value_or(core::PartitionId{});
        m.spot = requested->spot;
        m.status = "starting";
        m.first_seen = m.starting_since = core::Steady::now();
      }
    });
    if (answer.machines.size() < static_cast<std::size_t>(count))
      no_capacity_until_[requested->slot] = now + runtime_.jitter(15);
  }
}

}  // namespace finchrun::autoscaling
