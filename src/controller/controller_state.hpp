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

/// What waits and what is free, partition by partition: kept for a moment, since every submission asks.
struct ClusterLoad {
  struct Free {
    core::PartitionId partition;
    core::MachineTypeId type;
    bool spot = false;
    core::Resources size, free;
  };
  core::TimePoint at{};                         // when it was computed; zero: never
  std::vector<core::Resources> waiting;         // by partition: what its waiting tasks need
  std::vector<std::set<core::ImageId>> images;  // by partition: held by some machine
  std::vector<Free> machines;
};

/// The state that all components of a controller share. Its fields are open to them, so each names the one
/// component that writes it; all others only read. What is durable is in `cache` alone, as the key-value
/// store told it; the rest is this process's own and is gone with it.
///
/// "Rule" in what follows: docs/design.md, "Why the rules hold".
struct ControllerState {
  ControllerState(const config::Settings& deployment_settings, const config::Tuning& operator_tuning);

  // What the deployment is: fixed once the process runs.

  config::Settings settings;
  config::Tuning tuning;
  jobs::Names names;  // grows with what is read; written by whoever reads a name from outside
  membership::PartitionMap partitions;
  std::vector<double> shares;  // by team: weight in fair share, from its guarantee; 1 without one

  // What is durable.

  /// Written by coordination::StateFollower, and by coordination::PeerService with cancellations that other
  /// controllers tell.
  state::StateCache cache;
  /// The cache has been filled, and has caught up with the changes since. Written by
  /// coordination::StateFollower.
  bool loaded = false;
  /// When the newest answered read of the store's changes was sent. Written by coordination::StateFollower.
  core::TimePoint synchronized_at{};

  // This process among the controllers. Written by coordination::Membership.

  std::uint64_t incarnation = 0;      // of this process; 0: not a member yet
  std::uint64_t store_lease = 0;      // that the member key is attached to; 0: none, or it has expired
  std::uint64_t joined_revision = 0;  // of the write of our member key

  // Other controllers.

  /// By member of the settings: when it was last asked for its cancellations and answered with all of them.
  /// Written by coordination::PeerService.
  std::vector<core::TimePoint> cancellations_confirmed_at;

  // Leadership of partitions. All by partition; written by coordination::Leadership.

  std::vector<core::TimePoint> leader_missing_since;  // zero: it has a leader that is alive
  std::vector<core::TimePoint> leading_since;         // meaningful while `leads`

  // Writes without an answer. Both by partition; written by assignments::PlacementRecorder.

  /// A write got no answer and may be applied at any later time. Nothing more is placed, and no share of a
  /// quota granted, until the partition's fence has moved, which makes the late one fail (rule `quota`).
  std::vector<char> fence_due;
  /// Revision of the last move of the fence: everything until then must be known before the next placement.
  std::vector<std::uint64_t> fenced_at;

  // Machines and what runs on them.

  /// Written by whoever hears from machines or commands them: `take` for heartbeats, the cloud's list and the
  /// autoscaler for machines, the commands to agents, the scheduling round for reservations and preemptions.
  agent::Fleet fleet;
  /// Written by `take`.
  std::unordered_map<core::JobId, agent::JobFailures> job_failures;

  // What scheduling keeps from round to round.

  /// By partition; only those of the partitions that this controller leads are kept up to date here. Written
  /// by scheduling::build_round_view; recorded by scheduling::UsageRecorder.
  std::vector<ledger::UsageWindows> usage;
  /// By partition: the fencing token under which `usage` was taken over from the record; not to be recorded
  /// under any other. Written by scheduling::build_round_view.
  std::vector<std::uint64_t> usage_from;
  /// By job class: what its jobs look like, how many tasks it has lately. Written by `observe_job_classes`.
  std::vector<sched::JobClassProfile> job_classes;
  /// Written by scheduling::partition_capacities; gateway::JobApi adds what it has accepted since.
  ClusterLoad load;

  // Leadership.

  /// This process holds the newest leadership record that the cache knows.
  [[nodiscard]] bool holds_leadership(core::PartitionId partition) const;
  /// Holds it, and has read everything that earlier leaders recorded: it may decide for the partition. A
  /// record that this build can't read is never taken for absence.
  [[nodiscard]] bool leads(core::PartitionId partition) const;
  /// The revision of the partition's leadership record: every write for the partition compares it, so that
  /// one of an earlier leader fails ("Why the rules hold", 1).
  [[nodiscard]] std::uint64_t fencing_token(core::PartitionId partition) const {
    return cache.leadership(partition).revision;
  }

  // Membership and record levels.

  /// A member whose process runs, as far as the key-value store knows.
  [[nodiscard]] bool alive(const std::string& label) const { return cache.member(label) != nullptr; }
  /// Every controller that is listed now can handle records of this level. An empty list proves nothing.
  ///
  /// Asked before a record of a new kind is accepted from a user. Differs from `all_controllers_know` on
  /// purpose: this one looks at those that run, our own label among them, whichever the settings name, and a
  /// controller that is down does not count.
  [[nodiscard]] bool all_members_know(std::uint64_t level) const;
  /// Every other controller of the settings, running or not, was of this level when it was last a member.
  ///
  /// Asked before records are changed in a way that a controller of an earlier build would misread for good,
  /// when it comes back too. One of which no member record was ever read proves nothing.
  [[nodiscard]] bool all_controllers_know(std::uint64_t level) const;

  // Cancellations: docs/design.md, "Cancellations, and how long a lease may be renewed".

  /// Every cancellation that any controller has told its user before this moment is known here (rule
  /// `ran_cancelled`): those in the store by our newest read of it, and, since each tells only what stands in
  /// its own copy, those that all other controllers have told us.
  [[nodiscard]] core::TimePoint cancellations_known_at(core::TimePoint now) const;
  /// May heartbeats still be answered, which renews the leases of tasks? Too long after the last moment when
  /// all cancellations were known, a task that is renewed might be one that was cancelled elsewhere, and
  /// outlive `cancel_s`.
  [[nodiscard]] bool may_renew_leases(core::TimePoint now) const;

  // Machines.

  /// How long the agent has been silent towards this controller. What it told an earlier leader is not known,
  /// so the time starts again with each term: a new leader once returned every machine of its partition as
  /// silent.
  [[nodiscard]] double silent_s(const agent::Machine& machine, core::TimePoint now) const;
  /// May tasks be placed on the machine? Only while it is up to stay, and its agent obeys this controller and
  /// is seen to. Of partitions that this controller leads.
  [[nodiscard]] bool usable(const agent::Machine& machine, core::TimePoint now) const;
  /// What the tasks that may be on the machine take of it. What is known to have ended takes nothing.
  [[nodiscard]] core::Resources used_on(core::MachineId id) const;
  /// Takes in a heartbeat of the machine, or its answer to a direct command (`direct`): what it shows, and
  /// what its agent is to be told. The answer starts nothing while the state cache is stale: the job may be
  /// cancelled by now (rule `ran_cancelled`).
  agent::HeartbeatResult take(agent::Machine& machine, const wire::Heartbeat& heartbeat, core::TimePoint now,
                              bool direct);
  /// Forgets observed exits that are recorded by now, or whose partition another controller leads, with all
  /// that was kept of these attempts. A direct start without an answer is kept: it may still be carried out
  /// under this fencing token.
  void drop_recorded_exits();

  // Jobs.

  /// The job of this name, if it was ever accepted.
  [[nodiscard]] const jobs::JobRecord* find_job(std::string_view name) const;
  /// Renews the job classes' profiles from the jobs that live; what they asked for a while ago fades. Once a
  /// round.
  void observe_job_classes();
  /// Of a job class of which only deadlines are asked, with time left to start later and still make it.
  /// `now_s`: time of day.
  [[nodiscard]] bool deferrable(const jobs::JobSpec& spec, double now_s) const;

  // Quotas and guarantees. See quota_usage.hpp for what each counts.

  [[nodiscard]] std::vector<std::vector<core::Resources>> used_by_partition() const;
  /// The same, over all partitions.
  [[nodiscard]] std::vector<core::Resources> used_by_team() const;
  [[nodiscard]] ledger::QuotaShares quota_shares(core::TeamId team) const;
  [[nodiscard]] std::set<core::JobId> within_guarantee() const;
  /// How long a job within its guarantee waits for room that comes free by itself, before others are
  /// preempted for it.
  [[nodiscard]] double guarantee_grace_s() const;
};

/// The state as the components share it: reached only under its lock, which no `co_await` can span.
using SharedState = core::Locked<ControllerState>;

}  // namespace finchrun::controller
