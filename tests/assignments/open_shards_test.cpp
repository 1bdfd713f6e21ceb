#include "assignments/open_shards.hpp"

#include <gtest/gtest.h>

#include "assignments/exit_plan.hpp"
#include "assignments/shard_shrinker.hpp"
#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::assignments {
namespace {

constexpr std::size_t kJobBytes = 100;

// Shards "0", "1" and "2", each with four tasks of its own job.
class OpenShardsTest : public testing::Test {
 protected:
  OpenShardsTest() {
    for (int i = 0; i < 3; ++i) {
      jobs.push_back(leader.job("req-" + std::to_string(i), 4, false));
      PlannedTransaction transaction;
      write({{jobs.back(), {leader.assignments(4, 9), {}}}}, std::to_string(i), transaction);
      leader.apply(transaction);
    }
  }
  void write(const ShardContents& contents, const std::string& name, PlannedTransaction& transaction) {
    PlannedTombstones unchanged(leader.state, leader.partition);
    OpenShards shards(leader.state, leader.partition, unchanged, 1);
    shards.open(name)->jobs = contents;
    shards.write_to(transaction);
  }
  SinglePartition leader;
  std::vector<core::JobId> jobs;
};

TEST_F(OpenShardsTest, PrefersOpenShardOfTheJob) {
  PlannedTombstones tombstones(leader.state, leader.partition);
  OpenShards shards(leader.state, leader.partition, tombstones, 3);
  shards.open("0");
  auto* of_job = shards.open("1");
  EXPECT_EQ(shards.open_with_room(jobs[1], kJobBytes), of_job);
  EXPECT_EQ(shards.open_with_room(jobs[2], kJobBytes), shards.find("0")) << "no further shard is opened";
  EXPECT_EQ(shards.size(), 2u);
}

TEST_F(OpenShardsTest, OpensShardWithMostTombstonesAndAppliesThem) {
  PlannedTombstones tombstones(leader.state, leader.partition);
  tombstones.add("1", jobs[1], {2, 9, {2, 3}});
  OpenShards shards(leader.state, leader.partition, tombstones, 3);
  const auto* opened = shards.open_with_room(jobs[0], kJobBytes);
  ASSERT_EQ(opened, shards.find("1"));
  EXPECT_EQ(opened->jobs.at(jobs[1]).assignments.size(), 3u);
  EXPECT_EQ(shards.done_tasks(jobs[1]), 1u);
  EXPECT_EQ(tombstones.count("1"), 0u) << "writing the shard removes them from the list";
}

TEST_F(OpenShardsTest, OpensNoMoreShardsThanAllowed) {
  PlannedTombstones tombstones(leader.state, leader.partition);
  OpenShards shards(leader.state, leader.partition, tombstones, 1);
  ASSERT_TRUE(shards.open("0"));
  EXPECT_FALSE(shards.open("1"));
  EXPECT_FALSE(shards.open_with_room(jobs[1], leader.state.settings.store_limits.max_value_bytes()));
  EXPECT_TRUE(shards.open("0")) << "it is open already";
}

TEST_F(OpenShardsTest, NewShardGetsFirstUnusedName) {
  PlannedTombstones tombstones(leader.state, leader.partition);
  OpenShards shards(leader.state, leader.partition, tombstones, 3);
  ASSERT_TRUE(shards.open_with_room(jobs[0], leader.state.settings.store_limits.max_value_bytes()));
  EXPECT_TRUE(shards.contains("3"));
  PlannedTransaction transaction;
  shards.write_to(transaction);
  ASSERT_EQ(transaction.compares.size(), 1u);
  EXPECT_EQ(transaction.compares[0].key, "runs/a.0/3");
  EXPECT_EQ(transaction.compares[0].revision, 0u) << "the shard must not exist yet";
}

TEST_F(OpenShardsTest, OmitsFinishedJobsWithoutAssignments) {
  jobs::JobAssignments all_done;
  all_done.done.add(0, 4);
  PlannedTransaction transaction;
  write({{jobs[0], all_done}}, "0", transaction);
  leader.apply(transaction);
  const auto shard = *leader.state.cache.find_shard(leader.partition, "0");
  PlannedTombstones tombstones(leader.state, leader.partition);
  const OpenShards shards(leader.state, leader.partition, tombstones, 1);
  EXPECT_TRUE(shards.contents(shard).contains(jobs[0])) << "done tasks of a live job still count";
  const auto record = completed_record(*leader.state.cache.job(jobs[0]));
  leader.state.cache.apply({"jobs/req-0", jobs::to_json(record, leader.state.names), ++leader.revision});
  EXPECT_FALSE(shards.contents(shard).contains(jobs[0]));
}

struct ShrinkCase {
  const char* name;
  double value_kb;
  std::size_t max_writes;
  std::size_t expected_shards;  // written by the step; 0: no step is possible
};
class ShardShrinkerTest : public testing::TestWithParam<ShrinkCase> {};
// One shard with 80 assignments, written when values could be 8 KiB.
TEST_P(ShardShrinkerTest, SplitsShardOverLimitIfOneTransactionSuffices) {
  SinglePartition before;
  auto settings = single_partition_settings();
  settings.store_limits = {100, 20, GetParam().value_kb, static_cast<int>(GetParam().max_writes)};
  SinglePartition after(settings);
  const auto job = before.job("req-1", 80, false);
  after.job("req-1", 80, false);
  PlannedTransaction written;
  AssignmentWriter writer(before.state, before.partition);
  ASSERT_TRUE(writer.add(job, before.assignments(80, 9)));
  writer.write_to(written);
  after.apply(written);
  PlannedTombstones tombstones(after.state, after.partition);
  OpenShards shards(after.state, after.partition, tombstones, GetParam().max_writes - 1);
  ShardShrinker shrinker(after.state, after.partition, tombstones, shards, GetParam().max_writes);
  EXPECT_EQ(shrinker.shrink(), GetParam().expected_shards > 0);
  PlannedTransaction step;
  shards.write_to(step);
  EXPECT_EQ(step.writes.size(), GetParam().expected_shards);
  EXPECT_LE(largest_value(step), static_cast<std::size_t>(GetParam().value_kb * 1024));
  after.apply(step);
  EXPECT_EQ(after.state.cache.placed_tasks(*after.state.names.jobs.find("req-1")), 80u);
}
INSTANTIATE_TEST_SUITE_P(Table, ShardShrinkerTest,
                         testing::Values(ShrinkCase{"fits", 8, 5, 0}, ShrinkCase{"split_in_two", 2, 5, 2},
                                         ShrinkCase{"split_in_three_with_all_writes", 1, 3, 3},
                                         ShrinkCase{"too_large_for_one_transaction", 1, 2, 0}),
                         kCaseName);

}  // namespace
}  // namespace finchrun::assignments
