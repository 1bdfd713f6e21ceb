#include "assignments/planned_tombstones.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::assignments {
namespace {

struct TombstoneCase {
  const char* name;
  std::optional<jobs::Shape> shape;  // empty: the job's record is unknown
  bool done;
  jobs::Intervals::Span expected;
};
class TombstoneOf : public testing::TestWithParam<TombstoneCase> {};
TEST_P(TombstoneOf, MarksTasksDoneByTheExit) {
  jobs::JobRecord job;
  job.spec.tasks = 16;
  if (GetParam().shape) job.spec.shape = *GetParam().shape;
  const agent::ObservedExit exit{core::JobId{1}, core::PartitionId{0}, 3, 9, GetParam().done};
  const state::Tombstone expected{3, 9, GetParam().expected};
  EXPECT_EQ(tombstone_of(exit, GetParam().shape ? &job : nullptr), expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, TombstoneOf,
    testing::Values(TombstoneCase{"done_task_of_array", jobs::Shape::array, true, {3, 4}},
                    TombstoneCase{"lost_task_of_array", jobs::Shape::array, false, {0, 0}},
                    TombstoneCase{"done_gang_as_a_whole", jobs::Shape::gang, true, {0, 16}},
                    TombstoneCase{"lost_gang", jobs::Shape::gang, false, {0, 0}},
                    TombstoneCase{"replica_of_a_service_is_never_done", jobs::Shape::service, true, {0, 0}},
                    TombstoneCase{"unknown_job", std::nullopt, true, {3, 4}}),
    kCaseName);

TEST(PlannedTombstones, CountsAddedAndDroppedTombstones) {
  SinglePartition leader;
  const auto first = leader.job("req-1", 100, false), second = leader.job("req-2", 100, false);
  PlannedTombstones tombstones(leader.state, leader.partition);
  EXPECT_EQ(tombstones.shard_with_most_tombstones(), std::nullopt);
  tombstones.add("0", first, {7, 9, {7, 8}});
  const auto bytes_of_shard_0 = tombstones.bytes();
  tombstones.add("1", first, {8, 9, {8, 9}});
  tombstones.add("1", second, {8, 9, {0, 0}});
  EXPECT_EQ(tombstones.count("0"), 1u);
  EXPECT_EQ(tombstones.count("1"), 2u);
  EXPECT_EQ(tombstones.shard_with_most_tombstones(), "1");
  PlannedTransaction transaction;
  tombstones.write_to(transaction);
  EXPECT_GE(tombstones.bytes(), largest_value(transaction)) << "the estimate is an upper bound";
  tombstones.drop("1");
  EXPECT_EQ(tombstones.bytes(), bytes_of_shard_0);
  tombstones.drop("0");
  EXPECT_EQ(tombstones.bytes(), 0u);
  EXPECT_TRUE(tombstones.changed());
}

TEST(PlannedTombstones, ApplyOnlyToTheirShardAndJob) {
  SinglePartition leader;
  const auto job = leader.job("req-1", 4, false), other = leader.job("req-2", 4, false);
  PlannedTombstones tombstones(leader.state, leader.partition);
  tombstones.add("0", job, {1, 9, {1, 2}});
  const jobs::JobAssignments placed{leader.assignments(4, 9), {}};
  auto named = placed, in_other_shard = placed, of_other_job = placed;
  tombstones.apply_to("0", job, named);
  tombstones.apply_to("1", job, in_other_shard);
  tombstones.apply_to("0", other, of_other_job);
  EXPECT_EQ(named.assignments.size(), 3u);
  EXPECT_EQ(named.done.size(), 1u);
  EXPECT_EQ(in_other_shard, placed);
  EXPECT_EQ(of_other_job, placed);
}

TEST(PlannedTombstones, HaveRoomUpToValueLimit) {
  auto settings = single_partition_settings();
  settings.store_limits = {100, 20, 1, 5};
  SinglePartition leader(settings);
  const auto job = leader.job("req-1", 200, false);
  PlannedTombstones tombstones(leader.state, leader.partition);
  std::uint32_t task = 0;
  for (; task < 200 && tombstones.has_room("0", job, {task, 9, {task, task + 1}}); ++task)
    tombstones.add("0", job, {task, 9, {task, task + 1}});
  EXPECT_GT(task, 20u);
  EXPECT_LT(task, 200u);
  EXPECT_LE(tombstones.bytes(), 1024u);
  EXPECT_FALSE(tombstones.exceeds_limit());
}

TEST(PlannedTombstones, AreNotWrittenIfUnchanged) {
  SinglePartition leader;
  PlannedTransaction transaction;
  PlannedTombstones(leader.state, leader.partition).write_to(transaction);
  EXPECT_TRUE(transaction.writes.empty());
  EXPECT_TRUE(transaction.compares.empty());
}

TEST(PlannedTransaction, ComparesEachKeyOnce) {
  PlannedTransaction transaction;
  transaction.require_revision("parts/a.0", 40);
  transaction.require_revision("fence/a.0", 0);
  transaction.require_revision("parts/a.0", 40);
  EXPECT_EQ(transaction.compares.size(), 2u);
}

}  // namespace
}  // namespace finchrun::assignments
