// Leadership of partitions. It is acquired by compare-and-swap on the partition's record, whose revision is
// the fencing token.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/state_follower.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Who leads a partition according to its record and the member list, as this process sees them.
enum class LeaderStatus {
  this_process,
  earlier_process,  ///< an earlier process of this label, dead by now; its fencing token must not be reused
  alive,            ///< another controller that is listed as a member
  missing,          ///< no leader yet, or one that has lost its membership
};

/// The state of one partition that leadership decisions depend on.
struct PartitionSnapshot {
  core::PartitionId partition;
  std::string leader;  ///< label in the record; empty: the partition has never had a leader
  LeaderStatus status = LeaderStatus::missing;
  core::TimePoint leader_missing_since{};  ///< meaningful while the leader is missing
  std::vector<std::string> preference;     ///< labels in the order of preference as leaders
  /// When the oldest unanswered start command under the present fencing token was sent.
  std::optional<core::TimePoint> oldest_unanswered_start;
};

/// The input of leadership decisions, copied from the controller's state under its lock.
struct LeadershipSnapshot {
  std::string label;  ///< of this controller
  /// By label of another controller: since when it is listed as a member. Controllers that are not listed
  /// are left out.
  std::map<std::string, core::TimePoint> alive_since;
  std::vector<PartitionSnapshot> partitions;
};

/// Decision to record this process as the partition's leader, which gives the partition a new fencing token.
struct AcquireLeadership {
  core::PartitionId partition;
  std::string from;  ///< label of the leader in the record; empty: the partition has never had a leader
  bool operator==(const AcquireLeadership&) const = default;
};

/// Decision to record another controller as the leader of a partition that this process leads.
struct TransferLeadership {
  core::PartitionId partition;
  std::string to;  ///< label
  bool operator==(const TransferLeadership&) const = default;
};

/// Acquisitions are carried out first, so that a partition without a leader waits for nothing else.
struct LeadershipDecisions {
  std::vector<AcquireLeadership> acquisitions;
  std::vector<TransferLeadership> transfers;
};

/// Decides what this controller should do about each partition now, without side effects. Two controllers
/// may decide to acquire the same partition at once; the compare-and-swap lets only one succeed.
LeadershipDecisions decide_leadership(const LeadershipSnapshot& snapshot, core::TimePoint now);

/// Acquires partitions whose leader has lost its membership, and transfers leadership back to a partition's
/// preferred controller after that controller has been alive for a while.
class Leadership {
 public:
  Leadership(controller::Runtime& runtime, controller::SharedState& state, StateFollower& follower)
      : runtime_(runtime), state_(state), follower_(follower) {}

  /// Decides and acts about four times a second, until the process ends.
  asio::awaitable<void> run();

 private:
  /// Returns the input of `decide_leadership`; nullopt while the state cache is too old or this process is
  /// no member. Updates since when leaders are missing and other controllers are alive.
  std::optional<LeadershipSnapshot> take_snapshot(controller::ControllerState& state, core::TimePoint now);
  /// Logs each leadership record once, with the revision and the age of the view in which it was read.
  void log_new_leader(const controller::ControllerState& state, core::PartitionId partition,
                      core::TimePoint now);
  asio::awaitable<void> acquire(AcquireLeadership decision);
  asio::awaitable<void> transfer(TransferLeadership decision);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  StateFollower& follower_;
  std::map<std::string, core::TimePoint> alive_since_;  // by label of another controller
  std::vector<std::uint64_t> logged_tokens_;            // by partition: of the record that was logged last
};

}  // namespace finchrun::coordination
