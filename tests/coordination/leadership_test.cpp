#include "coordination/leadership.hpp"

#include <gtest/gtest.h>

namespace finchrun::coordination {
namespace {

constexpr core::PartitionId kPartition{3};
constexpr double kNowS = 1000;

core::TimePoint at(double seconds) { return core::TimePoint(core::secs(seconds)); }

// This controller is perch-2; the preference of the partition is perch-1, perch-2, perch-3.
struct Case {
  const char* name;
  LeaderStatus status;
  const char* leader;
  std::map<std::string, double> alive_for_s = {};  // by label of another controller
  double missing_for_s = 0;
  std::optional<double> unanswered_for_s = std::nullopt;
  std::vector<const char*> preference = {"perch-1", "perch-2", "perch-3"};
  bool acquires = false;
  const char* transfers_to = nullptr;
};

LeadershipSnapshot snapshot_of(const Case& c) {
  LeadershipSnapshot snapshot{"perch-2", {}, {}};
  for (const auto& [label, seconds] : c.alive_for_s) snapshot.alive_since[label] = at(kNowS - seconds);
  PartitionSnapshot partition{kPartition, c.leader, c.status, at(kNowS - c.missing_for_s), {}, std::nullopt};
  partition.preference.assign(c.preference.begin(), c.preference.end());
  if (c.unanswered_for_s) partition.oldest_unanswered_start = at(kNowS - *c.unanswered_for_s);
  snapshot.partitions.push_back(partition);
  return snapshot;
}

class LeadershipDecision : public testing::TestWithParam<Case> {};
TEST_P(LeadershipDecision, FollowsFromTheSnapshotAndTheClock) {
  const auto& c = GetParam();
  const auto decisions = decide_leadership(snapshot_of(c), at(kNowS));
  std::vector<AcquireLeadership> acquisitions;
  if (c.acquires) acquisitions.push_back({kPartition, c.leader});
  std::vector<TransferLeadership> transfers;
  if (c.transfers_to) transfers.push_back({kPartition, c.transfers_to});
  EXPECT_EQ(decisions.acquisitions, acquisitions);
  EXPECT_EQ(decisions.transfers, transfers);
}

constexpr auto kOurs = LeaderStatus::this_process;
constexpr auto kMissing = LeaderStatus::missing;
const std::vector<const char*> kWePreferred = {"perch-2", "perch-1", "perch-3"};
const std::vector<const char*> kWeLast = {"perch-3", "perch-1", "perch-2"};

const Case kFailover[] = {
    {.name = "living_leader_is_left_alone",
     .status = LeaderStatus::alive,
     .leader = "perch-1",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 60,
     .preference = kWePreferred},
    {.name = "preferred_waits_a_moment",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.19,
     .preference = kWePreferred},
    {.name = "preferred_acquires_after_200_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.21,
     .preference = kWePreferred,
     .acquires = true},
    {.name = "absent_label_ahead_adds_300_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.49},
    {.name = "second_acquires_after_500_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.51,
     .acquires = true},
    {.name = "living_label_ahead_adds_3_s",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.19},
    {.name = "living_label_ahead_did_not_acquire",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.21,
     .acquires = true},
    {.name = "waits_add_up",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.49,
     .preference = kWeLast},
    {.name = "last_acquires_after_all_waits",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.51,
     .preference = kWeLast,
     .acquires = true},
    {.name = "living_label_behind_us_does_not_matter",
     .status = kMissing,
     .leader = "perch-1",
     .alive_for_s = {{"perch-3", 60}},
     .missing_for_s = 0.51,
     .acquires = true},
};
const Case kFirstLeader[] = {
    {.name = "preferred_acquires_at_once",
     .status = kMissing,
     .leader = "",
     .preference = kWePreferred,
     .acquires = true},
    {.name = "absent_label_ahead_may_be_starting", .status = kMissing, .leader = "", .missing_for_s = 1.49},
    {.name = "absent_label_ahead_did_not_come_up",
     .status = kMissing,
     .leader = "",
     .missing_for_s = 1.51,
     .acquires = true},
    {.name = "living_label_ahead_goes_first",
     .status = kMissing,
     .leader = "",
     .alive_for_s = {{"perch-1", 1}},
     .missing_for_s = 2.99},
    {.name = "living_label_ahead_did_not_acquire",
     .status = kMissing,
     .leader = "",
     .alive_for_s = {{"perch-1", 1}},
     .missing_for_s = 3.01,
     .acquires = true},
};
const Case kOwnPartition[] = {
    {.name = "earlier_process_of_our_label_is_replaced_at_once",
     .status = LeaderStatus::earlier_process,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}},
     .acquires = true},
    {.name = "quiet", .status = kOurs, .leader = "perch-2"},
    {.name = "unanswered_start_is_waited_for", .status = kOurs, .leader = "perch-2", .unanswered_for_s = 10},
    {.name = "unanswered_start_needs_a_new_fencing_token",
     .status = kOurs,
     .leader = "perch-2",
     .unanswered_for_s = 10.01,
     .acquires = true},
    {.name = "preferred_leader_is_not_back_for_long_enough",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 8}}},
    {.name = "handed_to_the_preferred_leader_after_8_s",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 8.01}},
     .transfers_to = "perch-1"},
    {.name = "less_preferred_gets_nothing",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-3", 60}}},
    {.name = "first_of_two_preferred",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}, {"perch-3", 60}},
     .preference = kWeLast,
     .transfers_to = "perch-3"},
    {.name = "second_of_two_preferred_while_the_first_is_young",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}, {"perch-3", 2}},
     .preference = kWeLast,
     .transfers_to = "perch-1"},
    {.name = "new_fencing_token_and_then_transfer",
     .status = kOurs,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}},
     .unanswered_for_s = 11,
     .acquires = true,
     .transfers_to = "perch-1"},
};
const auto case_name = [](const auto& info) { return std::string(info.param.name); };
INSTANTIATE_TEST_SUITE_P(Failover, LeadershipDecision, testing::ValuesIn(kFailover), case_name);
INSTANTIATE_TEST_SUITE_P(FirstLeader, LeadershipDecision, testing::ValuesIn(kFirstLeader), case_name);
INSTANTIATE_TEST_SUITE_P(OwnPartition, LeadershipDecision, testing::ValuesIn(kOwnPartition), case_name);

TEST(LeadershipDecisions, EachPartitionIsDecidedByItself) {
  LeadershipSnapshot snapshot{"perch-2", {{"perch-1", at(kNowS - 60)}}, {}};
  const std::vector<std::string> preference = {"perch-1", "perch-2"};
  for (std::uint32_t index = 0; index < 3; ++index)
    snapshot.partitions.push_back({core::PartitionId{index}, "perch-2", kOurs, {}, preference, std::nullopt});
  snapshot.partitions[1].status = LeaderStatus::earlier_process;
  const auto decisions = decide_leadership(snapshot, at(kNowS));
  const std::vector<AcquireLeadership> acquisitions = {{core::PartitionId{1}, "perch-2"}};
  const std::vector<TransferLeadership> transfers = {{core::PartitionId{0}, "perch-1"},
                                                     {core::PartitionId{2}, "perch-1"}};
  EXPECT_EQ(decisions.acquisitions, acquisitions);
  EXPECT_EQ(decisions.transfers, transfers);
}

}  // namespace
}  // namespace finchrun::coordination
