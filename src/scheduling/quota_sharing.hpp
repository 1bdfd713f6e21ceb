// Shares of a team's limit move between partitions, from where they are not used to where they are missing.
#pragma once

#include <vector>

#include "assignments/placement_recorder.hpp"
#include "controller/controller_state.hpp"
#include "coordination/state_follower.hpp"
#include "sched/place.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// Requests and gives shares of team limits, by compare-and-swap on the team's record.
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
  /// One change of a team's record at most: new requests of our partitions, and what they can give to others.
  asio::awaitable<void> share();

 private:
  // What a team uses of its share in one of our partitions, and what it lacks there.
  struct Shortage {
    core::PartitionId partition;
    core::TeamId team;
    core::Resources used, more, team_used;  // `team_used`: in all partitions
  };

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  assignments::PlacementRecorder& recorder_;
  std::vector<Shortage> shortages_;
  core::TimePoint last_request_withdrawn_{};
};

}  // namespace finchrun::scheduling
