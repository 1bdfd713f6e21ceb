// Moves unused shares of team quotas to partitions that lack them.
#pragma once

#include <vector>

#include "assignments/planned_transaction.hpp"
#include "assignments/write_fences.hpp"
#include "controller/controller_state.hpp"
#include "sched/place.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// A team's usage of its share in a partition led by this controller, and the shortfall of its waiting tasks.
struct QuotaShortage {
  core::PartitionId partition;
  core::TeamId team;
  core::Resources used, shortfall;
  core::Resources team_used;  // in all partitions
};

/// Returns the shortage of each team in one partition, from the plan of a scheduling round. `team_used` is
/// the usage by team in all partitions.
std::vector<QuotaShortage> quota_shortages(core::PartitionId partition, const sched::Plan& plan,
                                           const std::vector<sched::Demand>& demands,
                                           const std::vector<core::Resources>& team_used);

/// Planned changes of the teams' records.
struct QuotaSharingPlan {
  /// One transaction for each team whose record changes, with the lines to log after the commit.
  std::vector<assignments::PlannedTransaction> transactions;
  core::TimePoint request_withdrawn_at;  // `now` if a request is withdrawn, otherwise unchanged
};

/// Plans the changes of the teams' records for the partitions that this controller leads: requests, and
/// grants to other partitions.
///
/// Rule `quota`: a team's shares always add up to its limit, so a grant is a transfer. Only a partition's
/// leader may lower its share, and not below the usage there. Each transaction therefore compares the fencing
/// tokens and fences of all partitions for which it changes something, and a partition grants nothing while a
/// write with an unknown result may still be applied. Placements compare the team's record, so that they fail
/// after a concurrent grant.
///
/// `request_withdrawn_at` is the time of this controller's last withdrawal of a request.
QuotaSharingPlan plan_quota_sharing(const controller::ControllerState& state,
                                    const std::vector<QuotaShortage>& shortages,
                                    core::TimePoint request_withdrawn_at, core::TimePoint now);

/// Requests and grants shares of team quotas, by compare-and-swap on the team's record.
class QuotaSharing {
 public:
  QuotaSharing(controller::SharedState& state, state::KeyValueStore& store, assignments::WriteFences& fences)
      : state_(state), store_(store), fences_(fences) {}

  /// Discards the shortages of earlier rounds.
  void clear() { shortages_.clear(); }
  /// Adds the shortages of each team in the partition. `team_used` is the usage by team in all partitions.
  void collect(core::PartitionId partition, const sched::Plan& plan,
               const std::vector<sched::Demand>& demands, const std::vector<core::Resources>& team_used);
  /// Commits at most one change of each team's record, within the write budget of the key-value store.
  asio::awaitable<void> commit_changes();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  assignments::WriteFences& fences_;
  std::vector<QuotaShortage> shortages_;
  core::TimePoint request_withdrawn_at_{};
};

}  // namespace finchrun::scheduling
