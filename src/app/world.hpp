// Everything a controller decides from, behind one short lock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "ledger/allowance.hpp"
#include "ledger/usage.hpp"
#include "membership/parts.hpp"
#include "sched/place.hpp"
#include "state/mirror.hpp"
#include "worker/fleet.hpp"
#include "worker/reports.hpp"

namespace finchrun::app {

// What waits and what is free, part by part: kept for a moment, since every submission asks.
struct Load {
  struct Free {
    core::PartId part;
    core::TypeId type;
    bool spot = false;
    core::Resources size, free;
  };
  core::TimePoint at{};
  std::vector<core::Resources> waiting;         // by part
  std::vector<std::set<core::ImageId>> images;  // by part
  std::vector<Free> machines;
};

struct World {
  World(const config::Settings& settings, const config::Tuning& tuning);

  config::Settings s;
  config::Tuning t;
  jobs::Names names;
  membership::PartMap parts;
  state::Mirror mirror;
  worker::Fleet fleet;
  std::unordered_map<core::JobId, worker::JobTrouble> trouble;
  std::vector<ledger::UsageWindows> usage;  // by part; only those of own parts are kept up to date here
  std::vector<std::uint64_t> usage_from;    // term under which `usage` was taken over
  std::vector<sched::LaneProfile> lanes;    // by lane: what its jobs look like, how many tasks it has lately
  std::vector<double> shares;               // by team, from its guarantee

  Load load;

  std::uint64_t incarnation = 0;  // of this process; 0: not a member yet
  std::uint64_t hold = 0;
  std::uint64_t joined_epoch = 0;  // of the write of our member key
  bool loaded = false;             // the mirror has been filled once
  core::TimePoint synced_at{};     // when the newest answered read of the changes was sent
  // By member: when it was last asked for its cancellations and told us all of them.
  std::vector<core::TimePoint> cancellations_heard_at;
  std::vector<core::TimePoint> owner_missing_since;
  // By part: a placement got no answer and may be applied at any later time. Nothing more is placed, and no
  // allowance given away, until the part's fence has moved, which makes the late one fail.
  std::vector<char> fence_due;
  std::vector<std::uint64_t> fenced_at;  // epoch of the last move: everything until then must be known first
  std::vector<core::TimePoint> acting_since;  // by part; meaningful while acting for it

  // How long the worker has been silent towards this controller. What it told an earlier owner is not known,
  // so the time starts again with each term: a new owner once returned every machine of its part as silent.
  [[nodiscard]] double silent_s(const worker::Machine& m, core::TimePoint now) const {
    return core::since(std::max({m.last_report, m.first_seen, acting_since.at(m.part.v)}), now);
  }

  // This process holds the newest claim that the mirror knows.
  [[nodiscard]] bool owns(core::PartId p) const {
    const auto& c = mirror.claim(p);
    return loaded && incarnation != 0 && c.owner == s.label && c.incarnation == incarnation;
  }
  // Owns it, and has read everything that earlier owners recorded.
  [[nodiscard]] bool acting(core::PartId p) const {
    return owns(p) && mirror.epoch() >= mirror.claim(p).stamp && mirror.readable(p);
  }
  [[nodiscard]] std::uint64_t token(core::PartId p) const { return mirror.claim(p).stamp; }
  // Every cancellation that any controller has told its user before this moment is known here: those in the
  // store by our newest read of it, and, since each tells only what stands in its own copy, those that all
  // other controllers have told us.
  [[nodiscard]] core::TimePoint cancellations_known_at(core::TimePoint now) const {
    // One that the settings don't name might confirm some, and tells us nothing.
    if (static_cast<int>(cancellations_heard_at.size()) + 1 < s.nodes) return synced_at;
    core::TimePoint told = now;
    for (const auto at : cancellations_heard_at) told = std::min(told, at);
    return std::max(synced_at, told);
  }
  // An owner may be renewing tasks that were cancelled elsewhere.
  [[nodiscard]] bool may_renew_leases(core::TimePoint now) const {
    return core::since(cancellations_known_at(now), now) < s.renewal_window_s();
  }
  // The job of this name, if it was ever accepted.
  [[nodiscard]] const jobs::JobRecord* find_job(std::string_view name) const {
    const auto id = names.jobs.find(name);
    return id ? mirror.job(*id) : nullptr;
  }
  // Every controller that is listed can handle records of this level. An empty list proves nothing.
  [[nodiscard]] bool all_members_know(std::uint64_t level) const {
    const auto& members = mirror.members();
    return !members.empty() && std::all_of(members.begin(), members.end(),
                                           [&](const auto& m) { return m.second.level >= level; });
  }
  // Every controller of the deployment, running or not, was of this level when it was last a member.
  [[nodiscard]] bool all_controllers_know(std::uint64_t level) const {
    return std::all_of(s.members.begin(), s.members.end(), [&](const config::Member& m) {
      const auto known = mirror.last_level(m.label);
      return known && *known >= level;
    });
  }
  // A member whose process runs, as far as the state service knows.
  [[nodiscard]] bool alive(const std::string& label) const { return mirror.member(label) != nullptr; }

  // Renews the lanes' profiles from the jobs that live; what they asked for a while ago fades.
  void observe_lanes();
  // How long a job within its guarantee waits for room that comes free by itself, before others are stopped
  // for it.
  [[nodiscard]] double guarantee_patience_s() const {
    for (const auto& o : s.objectives)
      if (o.kind == "guarantee" && o.within_s > 0) return 0.3 * o.within_s;
    return 5;
  }
  // A job of a lane of which only deadlines are asked, with time left to start later and still make it.
  [[nodiscard]] bool patient(const jobs::JobSpec& spec, double now_s) const;
  [[nodiscard]] core::Resources used_on(core::MachineId id) const;
  // Facts whose entry is recorded no more, or whose part is another owner's, are settled.
  void drop_settled();
  // Booked by each team in each part: [part][team]. What is known to have ended is not counted: its end is
  // recorded no later than what takes its place.
  [[nodiscard]] std::vector<std::vector<core::Resources>> used_by_part() const;
  [[nodiscard]] std::vector<core::Resources> used_by_team() const;
  [[nodiscard]] ledger::Allowances allowances(core::TeamId team) const;
  // Jobs that fit their team's guarantee together with the team's earlier unfinished jobs.
  [[nodiscard]] std::set<core::JobId> within_guarantee() const;
  // What a report of the machine, or its answer to a direct order, tells; what it should be told.
  worker::ReportResult take(worker::Machine& m, const wire::Report& r, core::TimePoint now, bool direct);
  // Is the machine up and does its worker obey this controller?
  [[nodiscard]] bool usable(const worker::Machine& m, core::TimePoint now) const;
};

}  // namespace finchrun::app
