// The cloud: machine types, the lagging list, machines that are gone, renting for the backlog, returning.
#include <spdlog/spdlog.h>

#include <cmath>

#include "app/controller.hpp"

namespace finchrun::app {

namespace {

// A machine that has been starting for much longer than its type usually takes is not waited for any more:
// the work is rented for elsewhere. If it comes up after all it is used, or given back when idle.
bool is_overdue(const worker::Machine& m, const cloud::Flavor& flavor, core::TimePoint now) {
  constexpr double kBootsWaitedFor = 2;  // usual boots take up to 1.5 times the type's boot time
  const auto since = m.status == "starting" ? m.starting_since : m.first_seen;
  return core::since(since, now) > kBootsWaitedFor * flavor.boot_s;
}

}  // namespace

asio::awaitable<void> Controller::cloud_loop() {
  core::TimePoint next_list{}, next_flavors{}, next_hire{};
  while (true) {
    const auto now = core::Steady::now();
    if (now >= next_flavors) {
      co_await refresh_flavors();
      const bool known = world_.with([](World& w) { return !w.fleet.flavors.empty(); });
      next_flavors = now + jitter(known ? 120 : 0.5);
    }
    if (now >= next_list) {
      next_list = now + jitter(std::max(2.0, cloud_.list_every_s()));
      co_await refresh_machines();
      co_await return_machines();
    }
    if (now >= next_hire) {
      next_hire = now + jitter(1.0);
      co_await hire();
    }
    co_await sleep(0.25);
  }
}

asio::awaitable<void> Controller::refresh_flavors() {
  auto flavors = co_await cloud_.flavors();
  if (!flavors) co_return;
  world_.with([&](World& w) {
    w.fleet.flavor_ids.clear();
    for (const auto& f : *flavors) w.fleet.flavor_ids.push_back(w.names.types.intern(f.name));
    w.fleet.flavors = std::move(*flavors);
  });
}

asio::awaitable<void> Controller::refresh_machines() {
  auto list = co_await cloud_.machines();
  if (!list) co_return;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    for (auto& [_, m] : w.fleet.all()) m.listed = false;
    for (const auto& item : *list) {
      if (w.fleet.was_deleted(w.names, item.name)) continue;  // the list lags
      auto& m = w.fleet.intern(w.names, item.name);
      if (m.first_seen == core::TimePoint{}) m.first_seen = now;
      m.listed = m.ever_listed = true;
      m.type = w.names.types.intern(item.type);
      m.zone = w.names.zones.intern(item.zone);
      m.part = w.parts.part_of(item.name, m.zone).value_or(core::PartId{});
      m.spot = item.spot;
      if (!item.endpoint.empty()) m.endpoint = item.endpoint;
      if (item.status == "starting" && m.status != "starting")
        m.starting_since = now - core::secs(item.held_s);
      m.status = item.status;
    }
    // Machines that are no longer listed and that no record names are of no interest any more.
    const double patience = 4 * w.s.cloud_list_lag_s + 60;
    std::erase_if(w.fleet.all(), [&](const auto& item) {
      const auto& m = item.second;
      return !m.listed && w.mirror.on_machine(item.first).empty() &&
             core::since(m.first_seen, now) > patience && core::since(m.last_report, now) > patience;
    });
  });
}

asio::awaitable<void> Controller::return_machines() {
  struct Return {
    core::MachineId id;
    std::string name;
    const char* why;
  };
  std::vector<Return> returns;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    // A controller that was cut off sees only silent machines, and may have another owner's part in its old
    // view.
    if (core::since(w.synced_at, now) > 1.5) return;
    std::vector<int> heard(w.parts.size()), unheard(w.parts.size());
    for (const auto& [id, m] : w.fleet.all()) {
      if (!m.part.valid() || m.gone || !m.listed || m.status != "running") continue;
      (w.silent_s(m, now) > 3 * w.s.report_s + 2 ? unheard : heard)[m.part.v]++;
    }
    w.mirror.each_named_machine([&](core::MachineId id, const std::vector<state::Placed>& list) {
      const auto part = list.front().part;
      if (!w.acting(part)) return;
      // A placement that was on its way when the machine was returned: what it booked is gone too.
      if (w.fleet.deleted.contains(id)) return worker::machine_gone(w.mirror, w.fleet, id);
      if (w.fleet.find(id)) return;
      // Taken while no owner was there to see it: never listed, never reporting, yet recorded. Its deletion
      // has to be asked for too, or its tasks stay booked for good.
      auto& m = w.fleet.intern(w.names, w.names.machines.name(id));
      m.part = part;
      m.zone = w.parts.zone(part);
      m.first_seen = now;
    });
    // Hung, it still holds the cancelled task, whose time is up soon after the lease. Nothing else on it is
    // worth the wait that a zone is given to come back.
    const auto cancelled = [&](const std::vector<state::Placed>& placed) {
      return std::any_of(placed.begin(), placed.end(), [&](const state::Placed& p) {
        return w.mirror.cancelled_with_tasks().contains(p.job);
      });
    };
    for (auto& [id, m] : w.fleet.all()) {
      if (returns.size() >= 50) break;
      if (!m.part.valid() || !w.acting(m.part) || m.gone || m.releasing) continue;
      const auto* flavor = w.fleet.flavor(m.type);
      const double silent = w.silent_s(m, now);
      const auto& placed = w.mirror.on_machine(id);
      const bool in_use = !placed.empty();
      const double patience = cancelled(placed) ? 3 : unheard[m.part.v] > heard[m.part.v] ? 90 : 15;
      const char* why = nullptr;
      if (m.listed && m.status == "failed") why = "failed";
      // Silent and not listed: it is gone, and the answer to the deletion makes that certain.
      else if (in_use && !m.listed && silent > 3 * w.s.report_s + 2 &&
               (m.ever_listed || silent > 3 * w.s.cloud_list_lag_s + 5))
        why = "unlisted";
      else if (m.listed && m.status == "running" && silent > w.s.lease_s + patience)
        why = "silent";
      else if (m.listed && m.status == "starting" && flavor &&
               core::since(m.starting_since, now) > 5 * flavor->boot_s + 30)
        why = "never came up";
      else if (m.sick && !in_use)
        why = "sick";
      // Its reports come and nothing of ours arrives: its lease has run out, and again, with us answering.
      // One whose reports don't come either may be cut off, and is waited for as such.
      else if (m.deaf() && silent < w.s.lease_s && core::since(*m.deaf_since, now) > 2 * w.s.lease_s + 15)
        why = "deaf";
      else if (m.reported && !in_use && core::since(m.idle_since, now) > w.t.idle_return_s)
        why = "idle";
      if (!why) continue;
      m.releasing = true;
      returns.push_back({id, m.name, why});
    }
  });
  if (returns.empty()) co_return;
  std::vector<std::string> names;
  for (const auto& r : returns) names.push_back(r.name);
  const bool gone = co_await cloud_.release(names);
  world_.with([&](World& w) {
    for (const auto& r : returns) {
      auto* m = w.fleet.find(r.id);
      if (!m) continue;
      if (!gone) {
        m->releasing = false;  // tried again with the next list
        continue;
      }
      spdlog::info("returned machine={} why={}", r.name, r.why);
      worker::machine_gone(w.mirror, w.fleet, r.id);
      w.fleet.deleted.insert(r.id);
      m->gone = true;
      m->reported = false;
    }
  });
}

// What one kind of machine is wanted for.
struct Controller::Wish {
  std::string type, zone;
  bool spot = false;
  double machines = 0;
  std::string slot;
};

// The cheapest kind for each job that can't be placed, among those not refused lately; added up by kind.
std::vector<Controller::Wish> Controller::wanted_machines(World& w, core::TimePoint now) {
  std::map<std::string, Wish> wishes;
  const auto used = w.used_by_team();
  std::vector<sched::TeamRoom> teams;
  for (std::size_t i = 0; i < used.size(); ++i)
    teams.push_back({used[i], w.s.teams[i].cpus_max, w.s.teams[i].gpus_max});
  // Room that is on its way, by part, eats up the backlog first.
  struct Coming {
    core::PartId part;
    core::TypeId type;
    bool spot;
    core::Resources free;
  };
  std::vector<Coming> coming;
  // Room on spot machines, coming or there already, by part: see `relief` below.
  std::vector<Coming> spare_spot;
  for (const auto& [id, m] : w.fleet.all()) {
    if (!m.part.valid() || !w.acting(m.part) || m.releasing || m.sick || m.gone) continue;
    const auto* flavor = w.fleet.flavor(m.type);
    if (!flavor) continue;
    if (m.reported) {
      if (!m.spot) continue;
      auto free = flavor->size;
      free -= w.used_on(id);
      spare_spot.push_back({m.part, m.type, true, free});
      continue;
    }
    if (is_overdue(m, *flavor, now)) continue;
    coming.push_back({m.part, m.type, m.spot, flavor->size});
    if (m.spot) spare_spot.push_back(coming.back());
  }
  const bool others_use_spot = std::any_of(
      w.lanes.begin(), w.lanes.end(), [](const sched::LaneProfile& l) { return l.spot && l.tasks >= 1; });
  // Some kind of ordinary machine that the job may use was not refused lately.
  const auto ordinary_left = [&](const sched::Demand& d, const std::string& zone) {
    for (std::size_t f = 0; f < w.fleet.flavors.size(); ++f) {
      const auto& flavor = w.fleet.flavors[f];
      if (d.types && std::find(d.types->begin(), d.types->end(), w.fleet.flavor_ids[f]) == d.types->end())
        continue;
      if (std::find(flavor.zones.begin(), flavor.zones.end(), zone) == flavor.zones.end()) continue;
      if (!d.need.fits(flavor.size)) continue;
      const auto refused = no_capacity_until_.find(flavor.name + "|" + zone + "|own");
      if (refused == no_capacity_until_.end() || refused->second <= now) return true;
    }
    return false;
  };
  for (std::size_t i = 0; i < backlog_.size(); ++i) {
    const auto& d = backlog_[i];
    const auto part = backlog_part_[i];
    if (!w.acting(part)) continue;
    auto left = d.gang ? static_cast<std::uint32_t>(d.tasks.size()) : d.count;
    auto& team = teams[d.team.v];
    auto c = coming.begin();
    const auto takes = [&](const Coming& m) {
      return m.part == part && d.need.fits(m.free) && (!m.spot || d.spot) &&
             (!d.types || std::find(d.types->begin(), d.types->end(), m.type) != d.types->end());
    };
    for (; left > 0 && team.allows(d.need); --left) {
      c = std::find_if(c, coming.end(), takes);
      if (c == coming.end()) break;
      c->free -= d.need;
      team.used += d.need;
    }
    const auto& zone_name = w.names.zones.name(w.parts.zone(part));
    const Wish* best = nullptr;
    double best_price = 0;
    int best_each = 1;
    // Where ordinary machines have run out, work that may use spot machines is given some, so that it leaves
    // the ordinary ones to this job; what is spare already is counted first.
    const bool relief = !d.spot && left > 0 && others_use_spot && !ordinary_left(d, zone_name);
    for (auto m = spare_spot.begin(); relief && left > 0 && m != spare_spot.end();) {
      if (m->part == part && d.need.fits(m->free)) {
        m->free -= d.need;
        --left;
      } else {
        ++m;
      }
    }
    for (std::size_t f = 0; left > 0 && team.allows(d.need) && f < w.fleet.flavors.size(); ++f) {
      const auto& flavor = w.fleet.flavors[f];
      const auto type = w.fleet.flavor_ids[f];
      if (d.types && std::find(d.types->begin(), d.types->end(), type) == d.types->end()) continue;
      if (std::find(flavor.zones.begin(), flavor.zones.end(), zone_name) == flavor.zones.end()) continue;
      const int each = d.need.times_in(flavor.size);
      if (each < 1) continue;
      for (const bool spot : {false, true}) {
        if (spot && !d.spot && !relief) continue;
        const auto slot = flavor.name + "|" + zone_name + (spot ? "|spot" : "|own");
        if (auto it = no_capacity_until_.find(slot); it != no_capacity_until_.end() && it->second > now)
          continue;
        const double price = (spot ? flavor.spot_price : flavor.price) / std::min<double>(each, left);
        if (best && price >= best_price) continue;
        best_price = price;
        best_each = each;
        best = &wishes.try_emplace(slot, Wish{flavor.name, zone_name, spot, 0, slot}).first->second;
      }
    }
    if (!best) continue;
    std::uint32_t asked = 0;
    for (; asked < left && team.allows(d.need); ++asked) team.used += d.need;
    wishes.at(best->slot).machines += static_cast<double>(asked) / best_each;
  }
  std::vector<Wish> out;
  for (auto& [_, wish] : wishes)
    if (wish.machines > 0) out.push_back(std::move(wish));
  std::sort(out.begin(), out.end(), [](const Wish& a, const Wish& b) { return a.machines > b.machines; });
  return out;
}

asio::awaitable<void> Controller::hire() {
  constexpr int kMostAtOnce = 50;  // the cloud's limit
  std::optional<Wish> wish;
  int count = 0;
  std::string request;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    if (w.fleet.flavors.empty()) return;
    auto wishes = wanted_machines(w, now);
    if (wishes.empty()) return;
    wish = std::move(wishes.front());
    // Work that ends in the meantime frees room too: a large need is met by halves.
    const int need = static_cast<int>(std::ceil(wish->machines));
    count = std::min(kMostAtOnce, std::max(std::min(w.t.hire_batch, need), need / 2));
    request = fmt::format("{}-{}-{}", w.s.label, w.incarnation, ++hire_count_);
  });
  if (!wish) co_return;
  const auto answer = co_await cloud_.hire(request, wish->type, wish->zone, wish->spot, count);
  spdlog::info("hire type={} zone={} spot={} wanted={} got={} request={}", wish->type, wish->zone, wish->spot,
               count, answer.machines.size(), request);
  if (answer.kind == cloud::Hired::Kind::no_capacity) {
    no_capacity_until_[wish->slot] = now + jitter(15);
  } else if (answer.kind == cloud::Hired::Kind::failed) {
    // Rented perhaps: such machines show up in the list and are used. Not asked again at once.
    no_capacity_until_[wish->slot] = now + jitter(4);
  } else {
    world_.with([&](World& w) {
      for (const auto& name : answer.machines) {
        auto& m = w.fleet.intern(w.names, name);
        m.type = w.names.types.intern(wish->type);
        m.zone = w.names.zones.intern(wish->zone);
        m.part = w.parts.part_of(name, m.zone).value_or(core::PartId{});
        m.spot = wish->spot;
        m.status = "starting";
        m.first_seen = m.starting_since = core::Steady::now();
      }
    });
    if (answer.machines.size() < static_cast<std::size_t>(count))
      no_capacity_until_[wish->slot] = now + jitter(15);
  }
}

}  // namespace finchrun::app
