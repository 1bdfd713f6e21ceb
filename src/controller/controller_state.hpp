// Everything a controller decides from, behind one short lock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "agent/fleet.hpp"
#include "agent/heartbeat_handler.hpp"
#include "config/settings.hpp"
#include "core/locked.hpp"
#include "ledger/quota_shares.hpp"
#include "ledger/usage.hpp"
#include "membership/partition_map.hpp"
#include "sched/place.hpp"
#include "state/state_cache.hpp"

namespace finchrun::controller {

// What waits and what is free, part by partition: kept for a moment, since every submission asks.
struct ClusterLoad {
  struct Free {
    core::PartitionId partition;
    core::MachineTypeId type;
    bool spot = false;
    core::Resources size, free;
  };
  core::TimePoint at{};
  std::vector<core::Resources> waiting;         // by partition
  std::vector<std::set<core::ImageId>> images;  // by partition
  std::vector<Free> machines;
};

struct ControllerState {
  ControllerState(const config::Settings& deployment_settings, const config::Tuning& operator_tuning);

  config::Settings settings;
  config::Tuning tuning;
  jobs::Names names;
  membership::PartitionMap partitions;
  state::StateCache cache;
  agent::Fleet fleet;
  std::unordered_map<core::JobId, agent::JobFailures> job_failures;
  std::vector<ledger::UsageWindows>
      usage;  // by partition; only those of own partitions are kept up to date here
  std::vector<std::uint64_t> usage_from;  // term under which `usage` was taken over
  std::vector<sched::JobClassProfile>
      job_classes;             // by job class: what its jobs look like, how many tasks it has lately
  std::vector<double> shares;  // by team, from its guarantee

  ClusterLoad load;

  std::uint64_t incarnation = 0;  // of this process; 0: not a member yet
  std::uint64_t store_lease = 0;
  std::uint64_t joined_revision = 0;  // of the write of our member key
  bool loaded = false;                // the state cache has been filled once
  core::TimePoint synchronized_at{};  // when the newest answered read of the changes was sent
  // By member: when it was last asked for its cancellations and told us all of them.
  std::vector<core::TimePoint> cancellations_confirmed_at;
  std::vector<core::TimePoint> leader_missing_since;
  // By part: a placement got no answer and may be applied at any later time. Nothing more is placed, and no
  // allowance given away, until the partition's fence has moved, which makes the late one fail.
  std::vector<char> fence_due;
  std::vector<std::uint64_t>
      fenced_at;  // revision of the last move: everything until then must be known first
  std::vector<core::TimePoint> leading_since;  // by partition; meaningful while acting for it

  // How long the agent has been silent towards this controller. What it told an earlier leader is not known,
  // so the time starts again with each term: a new leader once returned every machine of its partition as
  // silent.
  [[nodiscard]] double silent_s(const agent::Machine& m, core::TimePoint now) const {
    return core::since(std::max({m.last_heartbeat, m.first_seen, leading_since.at(m.partition.index)}), now);
  }

  // This process holds the newest claim that the state cache knows.
  [[nodiscard]] bool holds_leadership(core::PartitionId p) const {
    const auto& c = cache.leadership(p);
    return loaded && incarnation != 0 && c.leader == settings.label && c.incarnation == incarnation;
  }
  // Owns it, and has read everything that earlier leaders recorded.
  [[nodiscard]] bool leads(core::PartitionId p) const {
    return holds_leadership(p) && cache.revision() >= cache.leadership(p).revision && cache.readable(p);
  }
  [[nodiscard]] std::uint64_t fencing_token(core::PartitionId p) const {
    return cache.leadership(p).revision;
  }
  // Every cancellation that any controller has told its user before this moment is known here: those in the
  // store by our newest read of it, and, since each tells only what stands in its own copy, those that all
  // other controllers have told us.
  [[nodiscard]] core::TimePoint cancellations_known_at(core::TimePoint now) const {
    // One that the settings don't name might confirm some, and tells us nothing.
    if (static_cast<int>(cancellations_confirmed_at.size()) + 1 < settings.nodes) return synchronized_at;
    core::TimePoint told = now;
    for (const auto at : cancellations_confirmed_at) told = std::min(told, at);
    return std::max(synchronized_at, told);
  }
  // An owner may be renewing tasks that were cancelled elsewhere.
  [[nodiscard]] bool may_renew_leases(core::TimePoint now) const {
    return core::since(cancellations_known_at(now), now) < settings.renewal_window_s();
  }
  // The job of this name, if it was ever accepted.
  [[nodiscard]] const jobs::JobRecord* find_job(std::string_view name) const {
    const auto id = names.jobs.find(name);
    return id ? cache.job(*id) : nullptr;
  }
  // Every controller that is listed can handle records of this level. An empty list proves nothing.
  [[nodiscard]] bool all_members_know(std::uint64_t level) const {
    const auto& members = cache.members();
    return !members.empty() && std::all_of(members.begin(), members.end(),
                                           [&](const auto& m) { return m.second.level >= level; });
  }
  // Every controller of the deployment, running or not, was of this level when it was last a member.
  [[nodiscard]] bool all_controllers_know(std::uint64_t level) const {
    return std::all_of(settings.members.begin(), settings.members.end(), [&](const config::Member& m) {
      const auto known = cache.last_level(m.label);
      return known && *known >= level;
    });
  }
  // A member whose process runs, as far as the key-value store knows.
  [[nodiscard]] bool alive(const std::string& label) const { return cache.member(label) != nullptr; }

  // Renews the job classes' profiles from the jobs that live; what they asked for a while ago fades.
  void observe_job_classes();
  // How long a job within its guarantee waits for room that comes free by itself, before others are stopped
  // for it.
  [[nodiscard]] double guarantee_grace_s() const {
    for (const auto& o : settings.objectives)
      if (o.kind == "guarantee" && o.within_s > 0) return 0.3 * o.within_s;
    return 5;
  }
  // A job of a job class of which only deadlines are asked, with time left to start later and still make it.
  [[nodiscard]] bool deferrable(const jobs::JobSpec& spec, double now_s) const;
  [[nodiscard]] core::Resources used_on(core::MachineId id) const;
  // Facts whose entry is recorded no more, or whose partition is another leader's, are settled.
  void drop_recorded_exits();
  // Booked by each team in each partition: [part][team]. What is known to have ended is not counted: its end
  // is recorded no later than what takes its place.
  [[nodiscard]] std::vector<std::vector<core::Resources>> used_by_partition() const;
  [[nodiscard]] std::vector<core::Resources> used_by_team() const;
  [[nodiscard]] ledger::QuotaShares quota_shares(core::TeamId team) const;
  // Jobs that fit their team's guarantee together with the team's earlier unfinished jobs.
  [[nodiscard]] std::set<core::JobId> within_guarantee() const;
  // What a heartbeat of the machine, or its answer to a direct command, tells; what it should be told.
  agent::HeartbeatResult take(agent::Machine& m, const wire::Heartbeat& r, core::TimePoint now, bool direct);
  // Is the machine up and does its agent obey this controller?
  [[nodiscard]] bool usable(const agent::Machine& m, core::TimePoint now) const;
};

/// The state as the components share it: reached only under its lock, which no `co_await` can span.
using SharedState = core::Locked<ControllerState>;

}  // namespace finchrun::controller
