// The cloud: machine types, the lagging list, machines that are gone, renting for the backlog, returning.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

// A machine of which nothing is certain yet, or that is certain to be useless.
bool worth_counting(const World& w, const worker::Machine& m, core::TimePoint now) {
  if (m.sick || m.gone || m.releasing || m.notice_s || !m.part.valid()) return false;
  if (w.acting(m.part)) return w.usable(m, now);
  return m.listed && m.status == "running";
}

}  // namespace

std::vector<sched::PartRoom> part_rooms(const World& w, const jobs::JobSpec& spec, core::TimePoint now) {
  std::vector<sched::PartRoom> rooms(w.parts.size());
  std::vector<core::Resources> waiting(w.parts.size());
  for (const auto id : w.mirror.live()) {
    const auto& job = *w.mirror.job(id);
    for (const auto& r : job.ranges) {
      std::uint32_t busy = 0;
      w.mirror.each_run(id, [&](core::PartId, const jobs::RunRecord& run) {
        busy += run.done.count(r.from, r.to);
        for (const auto& e : run.entries) busy += e.task >= r.from && e.task < r.to ? 1 : 0;
      });
      waiting[r.part.v] +=
          job.spec.need * static_cast<double>((r.to - r.from) - std::min(r.to - r.from, busy));
    }
  }
  for (std::uint32_t p = 0; p < rooms.size(); ++p) {
    rooms[p].part = core::PartId{p};
    rooms[p].zone = w.parts.zone(core::PartId{p});
    rooms[p].allowed = !spec.zone || *spec.zone == rooms[p].zone;
    double backlog = 0;
    if (spec.need.gpus > 0) backlog = std::max(backlog, waiting[p].gpus / spec.need.gpus);
    if (spec.need.cpus > 0) backlog = std::max(backlog, waiting[p].cpus / spec.need.cpus);
    rooms[p].backlog = backlog;
  }
  for (const auto& [id, m] : w.fleet.all()) {
    if (!worth_counting(w, m, now) || !spec.allows_type(m.type) || (m.spot && !spec.spot)) continue;
    const auto* flavor = w.fleet.flavor(m.type);
    if (!flavor) continue;
    auto& room = rooms[m.part.v];
    auto free = flavor->size;
    free -= w.used_on(id);
    room.free += spec.need.times_in(free);
    room.capacity += spec.need.times_in(flavor->size);
    for (const auto& [image, _] : m.images) room.has_image = room.has_image || image == spec.image;
  }
  return rooms;
}

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
      next_list = now + jitter(2.0);
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
    std::set<core::MachineId> named;
    for (const auto& [key, run] : w.mirror.runs())
      for (const auto& e : run.entries) named.insert(e.machine);
    const double patience = 4 * w.s.cloud_list_lag_s + 60;
    std::erase_if(w.fleet.all(), [&](const auto& item) {
      const auto& m = item.second;
      return !m.listed && !named.contains(item.first) && core::since(m.first_seen, now) > patience &&
             core::since(m.last_report, now) > patience;
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
    std::set<core::MachineId> named;
    for (const auto& [key, run] : w.mirror.runs()) {
      for (const auto& e : run.entries) {
        named.insert(e.machine);
        if (!w.acting(key.second) || w.fleet.find(e.machine)) continue;
        // Taken while no owner was there to see it: never listed, never reporting, yet recorded. Its deletion
        // has to be asked for too, or its tasks stay booked for good.
        auto& m = w.fleet.intern(w.names, w.names.machines.name(e.machine));
        m.part = key.second;
        m.zone = w.parts.zone(key.second);
        m.first_seen = now;
      }
    }
    for (auto& [id, m] : w.fleet.all()) {
      if (returns.size() >= 50) break;
      if (!m.part.valid() || !w.acting(m.part) || m.gone || m.releasing) continue;
      const auto* flavor = w.fleet.flavor(m.type);
      const double silent = w.silent_s(m, now);
      const bool in_use = named.contains(id);
      const char* why = nullptr;
      if (m.listed && m.status == "failed") why = "failed";
      // Silent and not listed: it is gone, and the answer to the deletion makes that certain.
      else if (in_use && !m.listed && silent > 3 * w.s.report_s + 2 &&
               (m.ever_listed || silent > 3 * w.s.cloud_list_lag_s + 5))
        why = "unlisted";
      else if (m.listed && m.status == "running" &&
               silent > w.s.lease_s + (unheard[m.part.v] > heard[m.part.v] ? 90 : 15))
        why = "silent";
      else if (m.listed && m.status == "starting" && flavor &&
               core::since(m.starting_since, now) > 5 * flavor->boot_s + 30)
        why = "never came up";
      else if (m.sick && !in_use)
        why = "sick";
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
      m->gone = true;
      m->reported = false;
    }
  });
}

asio::awaitable<void> Controller::hire() {
  struct Wish {
    std::string type, zone;
    bool spot = false;
    int count = 0;
    std::string request, slot;
  };
  std::optional<Wish> wish;
  const auto now = core::Steady::now();
  world_.with([&](World& w) {
    if (w.fleet.flavors.empty()) return;
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
    for (const auto& [id, m] : w.fleet.all()) {
      if (!m.part.valid() || !w.acting(m.part) || m.releasing || m.sick || m.gone) continue;
      const auto* flavor = w.fleet.flavor(m.type);
      if (!flavor || m.reported) continue;
      if (core::since(m.first_seen, now) > 4 * flavor->boot_s) continue;
      coming.push_back({m.part, m.type, m.spot, flavor->size});
    }
    for (std::size_t i = 0; i < backlog_.size() && !wish; ++i) {
      const auto& d = backlog_[i];
      const auto part = backlog_part_[i];
      if (!w.acting(part)) continue;
      auto left = d.gang ? static_cast<std::uint32_t>(d.tasks.size()) : d.count;
      auto& team = teams[d.team.v];
      for (; left > 0 && team.allows(d.need); --left) {
        auto spot_fits = [&](const Coming& c) {
          return c.part == part && d.need.fits(c.free) && (!c.spot || d.spot) &&
                 (!d.types || std::find(d.types->begin(), d.types->end(), c.type) != d.types->end());
        };
        auto c = std::find_if(coming.begin(), coming.end(), spot_fits);
        if (c == coming.end()) break;
        c->free -= d.need;
        team.used += d.need;
      }
      if (left == 0 || !team.allows(d.need)) continue;
      // Which type, and spot or ordinary: the cheapest for what fits, among those not refused lately.
      const auto zone = w.parts.zone(part);
      const auto& zone_name = w.names.zones.name(zone);
      double best = 0;
      for (std::size_t f = 0; f < w.fleet.flavors.size(); ++f) {
        const auto& flavor = w.fleet.flavors[f];
        const auto type = w.fleet.flavor_ids[f];
        if (d.types && std::find(d.types->begin(), d.types->end(), type) == d.types->end()) continue;
        if (std::find(flavor.zones.begin(), flavor.zones.end(), zone_name) == flavor.zones.end()) continue;
        const int each = d.need.times_in(flavor.size);
        if (each < 1) continue;
        for (const bool spot : {false, true}) {
          if (spot && !d.spot) continue;
          const auto slot = flavor.name + "|" + zone_name + (spot ? "|spot" : "|own");
          if (auto it = no_capacity_until_.find(slot); it != no_capacity_until_.end() && it->second > now)
            continue;
          const double price = (spot ? flavor.spot_price : flavor.price) / std::min<double>(each, left);
          if (wish && price >= best) continue;
          best = price;
          wish = Wish{flavor.name,
                      zone_name,
                      spot,
                      std::min(w.t.hire_batch, static_cast<int>((left + static_cast<unsigned>(each) - 1) /
                                                                static_cast<unsigned>(each))),
                      "",
                      slot};
        }
      }
    }
    if (wish) wish->request = fmt::format("{}-{}-{}", w.s.label, w.incarnation, ++hire_count_);
  });
  if (!wish) co_return;
  const auto answer = co_await cloud_.hire(wish->request, wish->type, wish->zone, wish->spot, wish->count);
  spdlog::info("hire type={} zone={} spot={} wanted={} got={} request={}", wish->type, wish->zone, wish->spot,
               wish->count, answer.machines.size(), wish->request);
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
    if (answer.machines.size() < static_cast<std::size_t>(wish->count))
      no_capacity_until_[wish->slot] = now + jitter(15);
  }
}

}  // namespace finchrun::app
