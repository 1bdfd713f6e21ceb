#include "coordination/leadership.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"

namespace finchrun::coordination {
namespace {

constexpr core::PartitionId kPartition{3};
constexpr double kNowS = 1000;

core::TimePoint at(double seconds) { return core::TimePoint(core::to_duration(seconds)); }

// This controller is perch-2; the partition prefers perch-1, perch-2, perch-3 in this order.
struct LeadershipCase {
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

LeadershipSnapshot snapshot_of(const LeadershipCase& test_case) {
  LeadershipSnapshot snapshot{"perch-2", {}, {}};
  for (const auto& [label, seconds] : test_case.alive_for_s)
    snapshot.alive_since[label] = at(kNowS - seconds);
  PartitionSnapshot partition{
      kPartition, test_case.leader, test_case.status, at(kNowS - test_case.missing_for_s), {}, std::nullopt};
  partition.preference.assign(test_case.preference.begin(), test_case.preference.end());
  if (test_case.unanswered_for_s) partition.oldest_unanswered_start = at(kNowS - *test_case.unanswered_for_s);
  snapshot.partitions.push_back(partition);
  return snapshot;
}

class LeadershipDecision : public testing::TestWithParam<LeadershipCase> {};
TEST_P(LeadershipDecision, DependsOnSnapshotAndTime) {
  const auto& test_case = GetParam();
  const auto decisions = decide_leadership(snapshot_of(test_case), at(kNowS));
  std::vector<AcquireLeadership> acquisitions;
  if (test_case.acquires) acquisitions.push_back({kPartition, test_case.leader});
  std::vector<TransferLeadership> transfers;
  if (test_case.transfers_to) transfers.push_back({kPartition, test_case.transfers_to});
  EXPECT_EQ(decisions.acquisitions, acquisitions);
  EXPECT_EQ(decisions.transfers, transfers);
}

constexpr auto kThisProcess = LeaderStatus::this_process;
constexpr auto kMissing = LeaderStatus::missing;
const std::vector<const char*> kThisControllerFirst = {"perch-2", "perch-1", "perch-3"};
const std::vector<const char*> kThisControllerLast = {"perch-3", "perch-1", "perch-2"};

const LeadershipCase kFailover[] = {
    {.name = "alive_leader_keeps_partition",
     .status = LeaderStatus::alive,
     .leader = "perch-1",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 60,
     .preference = kThisControllerFirst},
    {.name = "preferred_controller_waits_200_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.19,
     .preference = kThisControllerFirst},
    {.name = "preferred_controller_acquires_after_200_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.21,
     .preference = kThisControllerFirst,
     .acquires = true},
    {.name = "absent_preferred_label_adds_300_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.49},
    {.name = "second_controller_acquires_after_500_ms",
     .status = kMissing,
     .leader = "perch-1",
     .missing_for_s = 0.51,
     .acquires = true},
    {.name = "alive_preferred_label_adds_3_s",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.19},
    {.name = "alive_preferred_label_did_not_acquire",
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
     .preference = kThisControllerLast},
    {.name = "last_controller_acquires_after_all_waits",
     .status = kMissing,
     .leader = "perch-3",
     .alive_for_s = {{"perch-1", 60}},
     .missing_for_s = 3.51,
     .preference = kThisControllerLast,
     .acquires = true},
    {.name = "alive_less_preferred_label_adds_no_wait",
     .status = kMissing,
     .leader = "perch-1",
     .alive_for_s = {{"perch-3", 60}},
     .missing_for_s = 0.51,
     .acquires = true},
};
const LeadershipCase kFirstLeader[] = {
    {.name = "preferred_controller_acquires_at_once",
     .status = kMissing,
     .leader = "",
     .preference = kThisControllerFirst,
     .acquires = true},
    {.name = "absent_preferred_label_may_be_starting",
     .status = kMissing,
     .leader = "",
     .missing_for_s = 1.49},
    {.name = "absent_preferred_label_did_not_start",
     .status = kMissing,
     .leader = "",
     .missing_for_s = 1.51,
     .acquires = true},
    {.name = "alive_preferred_label_goes_first",
     .status = kMissing,
     .leader = "",
     .alive_for_s = {{"perch-1", 1}},
     .missing_for_s = 2.99},
    {.name = "alive_preferred_label_did_not_acquire",
     .status = kMissing,
     .leader = "",
     .alive_for_s = {{"perch-1", 1}},
     .missing_for_s = 3.01,
     .acquires = true},
};
const LeadershipCase kOwnPartition[] = {
    {.name = "earlier_process_of_same_label_is_replaced_at_once",
     .status = LeaderStatus::earlier_process,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}},
     .acquires = true},
    {.name = "leader_does_nothing_by_default", .status = kThisProcess, .leader = "perch-2"},
    {.name = "unanswered_start_is_waited_for_10_s",
     .status = kThisProcess,
     .leader = "perch-2",
     .unanswered_for_s = 10},
    {.name = "unanswered_start_needs_new_fencing_token_after_10_s",
     .status = kThisProcess,
     .leader = "perch-2",
     .unanswered_for_s = 10.01,
     .acquires = true},
    {.name = "preferred_controller_is_alive_for_8_s_only",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 8}}},
    {.name = "transfers_to_preferred_controller_after_8_s",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 8.01}},
     .transfers_to = "perch-1"},
    {.name = "does_not_transfer_to_less_preferred_controller",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-3", 60}}},
    {.name = "transfers_to_first_of_two_preferred",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}, {"perch-3", 60}},
     .preference = kThisControllerLast,
     .transfers_to = "perch-3"},
    {.name = "transfers_to_second_preferred_while_first_is_new",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}, {"perch-3", 2}},
     .preference = kThisControllerLast,
     .transfers_to = "perch-1"},
    {.name = "acquires_new_fencing_token_and_transfers",
     .status = kThisProcess,
     .leader = "perch-2",
     .alive_for_s = {{"perch-1", 60}},
     .unanswered_for_s = 11,
     .acquires = true,
     .transfers_to = "perch-1"},
};
const auto case_name = kCaseName;
INSTANTIATE_TEST_SUITE_P(Failover, LeadershipDecision, testing::ValuesIn(kFailover), case_name);
INSTANTIATE_TEST_SUITE_P(FirstLeader, LeadershipDecision, testing::ValuesIn(kFirstLeader), case_name);
INSTANTIATE_TEST_SUITE_P(OwnPartition, LeadershipDecision, testing::ValuesIn(kOwnPartition), case_name);

TEST(LeadershipDecisions, EachPartitionIsDecidedIndependently) {
  LeadershipSnapshot snapshot{"perch-2", {{"perch-1", at(kNowS - 60)}}, {}};
  const std::vector<std::string> preference = {"perch-1", "perch-2"};
  for (std::uint32_t index = 0; index < 3; ++index)
    snapshot.partitions.push_back(
        {core::PartitionId{index}, "perch-2", kThisProcess, {}, preference, std::nullopt});
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
