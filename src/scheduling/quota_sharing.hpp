// Shares of a team's quota move between partitions, from where they are not used to where they are missing.
#pragma once

#include <vector>

#include "assignments/placement_recorder.hpp"
#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "sched/place.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// What a team uses of its share in one of our partitions, and what its waiting tasks lack there.
struct QuotaShortage {
  core::PartitionId partition;
  core::TeamId team;
  core::Resources used, lacking;
  core::Resources team_used;  // in all partitions
};

/// What a scheduling round's plan for one partition says of each team, in order of team.
/// `team_used`: by team, in all partitions.
std::vector<QuotaShortage> quota_shortages(core::PartitionId partition, const sched::Plan& plan,
                                           const std::vector<sched::Demand>& demands,
                                           const std::vector<core::Resources>& team_used);

struct QuotaSharingPlan {
  /// One for each team whose record changes; with what to log once it is applied.
  std::vector<assignments::PlannedTransaction> transactions;
  core::TimePoint request_withdrawn_at;  // as given, or now if a request is withdrawn
};

/// What this controller changes in the teams' records for the partitions that it leads: their requests for
/// more, and what they grant to other partitions' requests.
///
/// Rule `quota`: a team's shares always add up to its limit, so a grant moves what it takes. Only a
/// partition's leader lowers the partition's share, to no less than it uses there; so each transaction
/// compares the fencing tokens and fences of the partitions that it spoke for, and nothing is granted from a
/// partition where a write without an answer may still be applied. Placements compare the team's record, so
/// that they fail after a grant that they did not know of.
///
/// `request_withdrawn_at`: when this controller last withdrew a request.
QuotaSharingPlan plan_quota_sharing(const controller::ControllerState& state,
                                    const std::vector<QuotaShortage>& shortages,
                                    core::TimePoint request_withdrawn_at, core::TimePoint now);

/// Requests and grants shares of team quotas, by compare-and-swap on the team's record.
class QuotaSharing {
 public:
  QuotaSharing(controller::SharedState& state, state::KeyValueStore& store,
               coordination::StateFollower& follower, assignments::PlacementRecorder& recorder)
      : state_(state), store_(store), follower_(follower), recorder_(recorder) {}

  /// Forgets what earlier rounds have found.
  void clear() { shortages_.clear(); }
  /// Notes what each team uses of its share in the partition, and what its unplaced tasks lack.
  /// `team_used`: by team, in all partitions.
  void collect(core::PartitionId partition, const sched::Plan& plan,
               const std::vector<sched::Demand>& demands, const std::vector<core::Resources>& team_used);
  /// Commits one change of each team's record at most, as far as the store's budget of writes goes.
  asio::awaitable<void> share();

 private:
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  assignments::PlacementRecorder& recorder_;
  std::vector<QuotaShortage> shortages_;
  core::TimePoint request_withdrawn_at_{};
};

}  // namespace finchrun::scheduling
