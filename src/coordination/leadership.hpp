// Leadership of partitions: acquired by compare-and-swap on the partition's record, whose revision is the
// fencing token.
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
  earlier_process,  ///< of our label: dead, since this process runs; its fencing token must not be reused
  alive,            ///< another controller that is listed as a member
  missing,          ///< nobody yet, or a controller that has lost its membership
};

/// One partition, as far as leadership is decided from it.
struct PartitionSnapshot {
  core::PartitionId partition;
  std::string leader;  ///< label in the record; empty: nobody has ever led the partition
  LeaderStatus status = LeaderStatus::missing;
  core::TimePoint leader_missing_since{};  ///< meaningful while the leader is missing
  std::vector<std::string> preference;     ///< labels in the order in which they should lead it
  /// Of the start commands sent under our present fencing token: when the oldest without an answer was sent.
  std::optional<core::TimePoint> oldest_unanswered_start;
};

/// What leadership is decided from: one short look at the controller's state.
struct LeadershipSnapshot {
  std::string label;  ///< of this controller
  /// By label of another controller: since when we have seen it listed. Those that aren't listed are left
  /// out.
  std::map<std::string, core::TimePoint> alive_since;
  std::vector<PartitionSnapshot> partitions;
};

/// Record this process as the partition's leader, which gives the partition a new fencing token.
struct AcquireLeadership {
  core::PartitionId partition;
  std::string from;  ///< label of the leader in the record; empty: nobody has ever led the partition
  bool operator==(const AcquireLeadership&) const = default;
};

/// Record another controller as the leader of a partition that we lead.
struct TransferLeadership {
  core::PartitionId partition;
  std::string to;  ///< label
  bool operator==(const TransferLeadership&) const = default;
};

/// Carried out in this order: a partition without a leader waits for nothing else.
struct LeadershipDecisions {
  std::vector<AcquireLeadership> acquisitions;
  std::vector<TransferLeadership> transfers;
};

/// What this controller should do about each partition now. Pure: two controllers may well decide to acquire
/// the same partition at once, and the compare-and-swap lets one of them succeed.
LeadershipDecisions decide_leadership(const LeadershipSnapshot& snapshot, core::TimePoint now);

/// Takes over partitions whose leader has lost its membership, and transfers leadership back to the
/// controller that is preferred for a partition once that has been alive for a while.
class Leadership {
 public:
  Leadership(controller::Runtime& runtime, controller::SharedState& state, StateFollower& follower)
      : runtime_(runtime), state_(state), follower_(follower) {}

  /// Decides and carries out about four times a second, until the process ends.
  asio::awaitable<void> run();

 private:
  /// What `decide_leadership` needs; nothing while our view is too old, or we are no member, to decide at
  /// all. Keeps up to date since when leaders are missing and other controllers are alive.
  std::optional<LeadershipSnapshot> observe(controller::ControllerState& state, core::TimePoint now);
  asio::awaitable<void> acquire(AcquireLeadership decision);
  asio::awaitable<void> transfer(TransferLeadership decision);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  StateFollower& follower_;
  std::map<std::string, core::TimePoint> alive_since_;  // by label of another controller
};

}  // namespace finchrun::coordination
