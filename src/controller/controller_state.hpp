// The state that the components of a controller share, protected by one lock.
#pragma once

#include <algorithm>
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

/// Waiting demand and free capacity of each partition. Cached for a moment, because every submission needs
/// it.
struct ClusterLoad {
  struct MachineCapacity {
    core::PartitionId partition;
    core::MachineTypeId type;
    bool spot = false;
    core::Resources size, free;
  };
  core::TimePoint computed_at{};                       // time of the computation; zero: never computed
  std::vector<core::Resources> waiting_demand;         // by partition: the total need of its waiting tasks
  std::vector<std::set<core::ImageId>> cached_images;  // by partition: images cached on at least one machine
  std::vector<MachineCapacity> machines;
};

/// What this process knows of the fence of a partition that it leads.
struct Fence {
  /// Fencing token of the newest write that got no answer and may be applied at any later time; 0: none.
  std::uint64_t unanswered_write_token = 0;
  /// Revision of the last move of the fence. The cache must reach it before the next decision.
  std::uint64_t moved_at_revision = 0;
};

/// The state that all components of a controller share. The fields are public, so each comment names the
/// component that writes the field; all other components only read it. Only `cache` holds durable state, as
/// read from the key-value store; everything else is lost when the process ends.
///
/// "Rule" refers to docs/design.md, "Why the rules hold".
struct ControllerState {
  ControllerState(const config::Settings& deployment_settings, const config::Tuning& operator_tuning);

  // Configuration of the deployment, constant while the process runs.

  config::Settings settings;
  config::Tuning tuning;
  jobs::Names names;  // interned names; extended by every component that reads a name from outside
  membership::PartitionMap partitions;
  std::vector<double>
      fair_share_weights;  // by team: weight in fair share, from its guarantee; 1 without a guarantee

  // Durable state.

  /// Written by coordination::StateFollower, and by coordination::PeerService with the cancellations that
  /// other controllers report.
  state::StateCache cache;
  /// The cache is filled and has caught up with the changes since. Written by coordination::StateFollower.
  bool cache_loaded = false;
  /// Send time of the newest answered read of the store's changes. Written by coordination::StateFollower.
  core::TimePoint synchronized_at{};

  // Membership of this process. Written by coordination::Membership.

  std::uint64_t incarnation = 0;      // of this process; 0: not a member yet
  std::uint64_t store_lease = 0;      // the lease of the member key; 0: none, or expired
  std::uint64_t joined_revision = 0;  // revision at which this process wrote its member key

  // Other controllers.

  /// By member of the settings: send time of the last request that the member answered with all of its
  /// cancellations. Written by coordination::PeerService.
  std::vector<core::TimePoint> cancellations_confirmed_at;

  // Leadership of partitions, by partition. Written by coordination::Leadership.

  std::vector<core::TimePoint> leader_missing_since;  // zero: the partition has a live leader
  std::vector<core::TimePoint> leading_since;         // only meaningful while `leads` is true

  /// By partition. Written by assignments::WriteFences.
  std::vector<Fence> fences;

  // Machines and their tasks.

  /// Written by `apply_heartbeat` for heartbeats, by the autoscaler for machines and the cloud's list, by the
  /// commands to agents, and by the scheduling round for reservations and preemptions.
  agent::Fleet fleet;
  /// Written by `apply_heartbeat`.
  std::unordered_map<core::JobId, agent::JobFailures> job_failures;

  // Scheduling state kept between rounds.

  /// By partition; current only for the partitions that this controller leads. Written by
  /// scheduling::build_round_view; recorded by scheduling::UsageRecorder.
  std::vector<ledger::UsageWindows> usage;
  /// By partition: the fencing token under which `usage` was read from the record. `usage` may be recorded
  /// only under this token. Written by scheduling::build_round_view.
  std::vector<std::uint64_t> usage_fencing_tokens;
  /// By job class: typical need and recent number of tasks. Written by `update_job_class_profiles`.
  std::vector<sched::JobClassProfile> job_class_profiles;
  /// Written by scheduling::partition_capacities; gateway::JobApi adds the jobs accepted since.
  ClusterLoad cluster_load;

  // Leadership.

  /// Returns true if this process holds the newest leadership record in the cache.
  [[nodiscard]] bool holds_leadership(core::PartitionId partition) const;
  /// Returns true if this process holds the leadership and has read all records of earlier leaders, so that
  /// it may decide for the partition. Returns false while a record of the partition can't be read by this
  /// build, since such a record must not be treated as missing.
  [[nodiscard]] bool leads(core::PartitionId partition) const;
  /// Returns the revision of the partition's leadership record. Every write for the partition compares it, so
  /// that a write of an earlier leader fails ("Why the rules hold", 1).
  [[nodiscard]] std::uint64_t fencing_token(core::PartitionId partition) const {
    return cache.leadership(partition).revision;
  }

  /// Returns the fencing tokens for the partition's agents. The leader may use any token up to the revision
  /// at which it has seen its own leadership record unchanged: the next leadership record has a higher one.
  [[nodiscard]] agent::FencingTokens fencing_tokens(core::PartitionId partition) const {
    const auto token = fencing_token(partition);
    return {token, leads(partition) ? std::max(token, cache.revision()) : token};
  }
  /// Returns the fencing token of messages to the machine's agent.
  [[nodiscard]] std::uint64_t command_token(const agent::Machine& machine) const {
    return machine.command_token(fencing_tokens(machine.partition));
  }

  /// Returns true while a write of this process got no answer and may still be applied: the partition's fence
  /// has not moved since, and no newer leadership record is known. Does not depend on `leads`, which is also
  /// false for a moment under the same fencing token, while the cache is reloaded.
  [[nodiscard]] bool is_fence_due(core::PartitionId partition) const {
    const auto token = fences.at(partition.index).unanswered_write_token;
    return token != 0 && token >= fencing_token(partition);
  }
  /// Returns true if this controller leads the partition, and no write of its own can change the records
  /// behind the cache any more. Only then may it place tasks, record exits, move ranges and grant shares of a
  /// quota (rules `quota`, `ran_twice`, `wrong_place`, `not_done`).
  [[nodiscard]] bool may_decide_for(core::PartitionId partition) const {
    return leads(partition) && !is_fence_due(partition) &&
           cache.revision() >= fences[partition.index].moved_at_revision;
  }

  // Membership and record levels.

  /// Returns true if the member's process runs, as far as the key-value store knows.
  [[nodiscard]] bool is_member_alive(const std::string& label) const {
    return cache.member(label) != nullptr;
  }
  /// Returns true if every listed member supports records of this level; false for an empty list.
  ///
  /// Checked before a record of a new kind is accepted from a user. Unlike `all_controllers_support`, this
  /// covers the running members, this process included, whether or not the settings name them; a controller
  /// that is down does not count.
  [[nodiscard]] bool all_members_support(std::uint64_t level) const;
  /// Returns true if every other controller of the settings, running or not, supported this level when it was
  /// last a member; false if no member record of one of them was ever read.
  ///
  /// Checked before a record is changed in a way that a controller of an earlier build would permanently
  /// misread, even if it starts again only later.
  [[nodiscard]] bool all_controllers_support(std::uint64_t level) const;

  // Cancellations: docs/design.md, "Cancellations, and how long a lease may be renewed".

  /// Returns the time before which every cancellation that any controller has confirmed to its user is known
  /// here (rule `ran_cancelled`). It rests on the newest read of the store, or on the answers of all other
  /// controllers, since each of them reports only the cancellations in its own copy.
  [[nodiscard]] core::TimePoint cancellations_known_at(core::TimePoint now) const;
  /// Returns true while heartbeats may be answered, which renews the leases of tasks. Returns false too long
  /// after `cancellations_known_at`, when a renewed task might have been cancelled through another controller
  /// and would run longer than `cancel_s` after that.
  [[nodiscard]] bool can_renew_leases(core::TimePoint now) const;

  /// Notes the cancellations that were applied to the cache since the last call. Called after changes are
  /// applied, and before a newer `cancellations_known_at` counts: whatever is new was confirmed after it.
  void learn_cancellations(agent::CancellationSource source, core::TimePoint now);

  // Machines.

  /// Returns the seconds since the agent's last heartbeat to this controller. The time starts again with each
  /// term of leadership, since heartbeats to an earlier leader are unknown here: otherwise a new leader would
  /// delete every machine of its partition as silent.
  [[nodiscard]] double seconds_since_heartbeat(const agent::Machine& machine, core::TimePoint now) const;
  /// Returns true if tasks may be placed on the machine: it is not being removed, its agent obeys this
  /// controller, and its heartbeats are recent. Only for machines of partitions that this controller leads.
  [[nodiscard]] bool is_schedulable(const agent::Machine& machine, core::TimePoint now) const;
  /// Returns the resources of the tasks that may be on the machine. Tasks known to have ended are not
  /// counted.
  [[nodiscard]] core::Resources allocated_on(core::MachineId id) const;
  /// Applies a heartbeat of the machine, or its answer to a direct command (`is_direct_answer`), and returns
  /// the commands for its agent. They start nothing while the state cache is stale, since the job may have
  /// been cancelled (rule `ran_cancelled`).
  agent::HeartbeatResult apply_heartbeat(agent::Machine& machine, const wire::Heartbeat& heartbeat,
                                         core::TimePoint now, bool is_direct_answer);
  /// Drops observed exits that have been recorded or belong to an earlier term of leadership, with the other
  /// state of these attempts. Their direct starts are kept while the agent may still execute them.
  void drop_recorded_exits();

  // Jobs.

  /// Returns the job of this name; null if it was never accepted.
  [[nodiscard]] const jobs::JobRecord* find_job(std::string_view name) const;
  /// Updates the job classes' profiles from the live jobs, and decays their earlier demand. Called once a
  /// round.
  void update_job_class_profiles();
  /// Returns true if the objectives of the job's class are all deadlines, and the job can meet its deadline
  /// even if it starts later. `now_s`: seconds since 1970.
  [[nodiscard]] bool is_deferrable(const jobs::JobSpec& spec, double now_s) const;

  // Quotas and guarantees, as documented in quota_usage.hpp.

  [[nodiscard]] std::vector<std::vector<core::Resources>> used_by_partition() const;
  /// Returns `used_by_partition`, summed over the partitions.
  [[nodiscard]] std::vector<core::Resources> used_by_team() const;
  [[nodiscard]] ledger::QuotaShares quota_shares(core::TeamId team) const;
  [[nodiscard]] std::set<core::JobId> jobs_within_guarantee() const;
  /// Returns the time that a job within its guarantee waits for capacity to become free before other tasks
  /// are preempted for it.
  [[nodiscard]] double guarantee_grace_s() const;
};

/// The shared state, accessible only under its lock, which can't be held across a `co_await`.
using SharedState = core::Locked<ControllerState>;

}  // namespace finchrun::controller
