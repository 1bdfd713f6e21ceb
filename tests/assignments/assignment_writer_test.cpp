#include "assignments/assignment_writer.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::assignments {

using scheduling::WaitingTasks;
namespace {

// A round of many jobs once cost a change for each job, and most of it was never recorded.
TEST(AssignmentWriter, ManyJobsCostFewChanges) {
  SinglePartition b;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 60; ++i) ids.push_back(b.job("req-" + std::to_string(i), 4, false));
  AssignmentWriter writer(b.w, b.partition);
  for (const auto id : ids) ASSERT_TRUE(writer.add(id, b.assignments(4, 9)));
  PlannedTransaction e;
  writer.finish(e);
  EXPECT_LE(e.writes.size(), 4u);
  b.apply(e);
  for (const auto id : ids) EXPECT_EQ(b.w.cache.placed(id), 4u);
}

struct SizeCase {
  const char* name;
  std::uint32_t tasks;
  bool gang;
};
class ShardSize : public testing::TestWithParam<SizeCase> {};
// However large the job: no value above the service's limit, nothing lost, and its ends still fit.
TEST_P(ShardSize, StaysWithinTheLimitOnValues) {
  SinglePartition b;
  const auto id = b.job("req-1", GetParam().tasks, GetParam().gang);
  {
    AssignmentWriter writer(b.w, b.partition);
    ASSERT_TRUE(writer.add(id, b.assignments(GetParam().tasks, 9)));
    PlannedTransaction e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
  }
  EXPECT_EQ(b.w.cache.placed(id), GetParam().tasks);
  // Every second task ends: the intervals of what is done are as many as can be.
  for (std::uint32_t round = 0; round < 8; ++round) {
    AssignmentWriter writer(b.w, b.partition);
    for (std::uint32_t t = 0; t < GetParam().tasks; t += 2)
      writer.apply_tombstones({id, b.partition, t, 9, true});
    PlannedTransaction e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
  }
  if (!GetParam().gang) {
    EXPECT_EQ(b.w.cache.done(id), (GetParam().tasks + 1) / 2);
    EXPECT_EQ(WaitingTasks(b.w.cache, id).count(b.partition), 0u);
  }
  EXPECT_EQ(b.w.cache.placed(id), GetParam().tasks / 2);
}
INSTANTIATE_TEST_SUITE_P(Table, ShardSize,
                         testing::Values(SizeCase{"one_task", 1, false},
                                         SizeCase{"a_gang_of_sixteen", 16, true},
                                         SizeCase{"an_array_of_250", 250, false},
                                         SizeCase{"a_gang_of_500", 500, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(AssignmentWriter, JobsThatAreOverLeaveTheShardsThatAreWritten) {
  SinglePartition b;
  const auto over = b.job("req-1", 1, false), live = b.job("req-2", 1, false);
  {
    AssignmentWriter writer(b.w, b.partition);
    writer.add(over, b.assignments(1, 9));
    PlannedTransaction e;
    writer.finish(e);
    b.apply(e);
  }
  {
    AssignmentWriter writer(b.w, b.partition);
    writer.apply_tombstones({over, b.partition, 0, 9, true});
    EXPECT_EQ(writer.done(over), 1u);
    PlannedTransaction e;
    writer.finish(e);
    b.apply(e);
  }
  b.w.cache.apply({"jobs/req-1", jobs::to_json(finished(*b.w.cache.job(over)), b.w.names), ++b.revision});
  AssignmentWriter writer(b.w, b.partition);
  writer.add(live, b.assignments(1, 12));
  PlannedTransaction e;
  writer.finish(e);
  b.apply(e);
  EXPECT_TRUE(b.w.cache.shard_assignments(over).empty());
  EXPECT_EQ(b.w.cache.placed(live), 1u);
}

TEST(AssignmentWriter, IsConditionalOnTermFenceAndShards) {
  SinglePartition b;
  const auto id = b.job("req-1", 1, false);
  b.w.cache.apply({"fence/a.0", boost::json::value(1), 44});
  AssignmentWriter writer(b.w, b.partition);
  writer.add(id, b.assignments(1, 9));
  PlannedTransaction e;
  writer.finish(e);
  std::map<std::string, std::uint64_t> compares;
  for (const auto& c : e.compares) compares[c.key] = c.revision;
  EXPECT_EQ(compares,
            (std::map<std::string, std::uint64_t>{{"parts/a.0", 40}, {"fence/a.0", 44}, {"runs/a.0/0", 0}}));
}

// Ends that touch many shards: each was rewritten for them, which took most of the budget of changes.
TEST(AssignmentWriter, EndsAcrossAllShardsCostOneChange) {
  SinglePartition b;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(b.job("req-" + std::to_string(i), 100, false));
    AssignmentWriter writer(b.w, b.partition);
    ASSERT_TRUE(writer.add(ids.back(), b.assignments(100, 9)));
    PlannedTransaction e;
    writer.finish(e);
    b.apply(e);
  }
  ASSERT_GT(b.w.cache.shards(b.partition).size(), 10u);
  AssignmentWriter writer(b.w, b.partition);
  for (const auto id : ids) EXPECT_TRUE(writer.apply_tombstones({id, b.partition, 7, 9, true}));
  EXPECT_TRUE(
      writer.apply_tombstones({ids[0], b.partition, 8, 9, false}));  // told as gone, and as done after all
  EXPECT_TRUE(writer.apply_tombstones({ids[0], b.partition, 8, 9, true}));
  EXPECT_EQ(writer.done(ids[0]), 2u);
  PlannedTransaction e;
  writer.finish(e);
  ASSERT_EQ(e.writes.size(), 1u);
  EXPECT_EQ(e.writes[0].key, "ends/a.0");
  b.apply(e);
  for (const auto id : ids) {
    EXPECT_EQ(b.w.cache.done(id), id == ids[0] ? 2u : 1u);
    EXPECT_EQ(b.w.cache.placed(id), id == ids[0] ? 98u : 99u);
    EXPECT_FALSE(b.w.cache.has_assignment(id, b.partition, 7, 9));
  }
}

struct FoldCase {
  const char* name;
  bool shards_first;  // the order in which a reader sees the keys of one transaction
};
class Fold : public testing::TestWithParam<FoldCase> {};
// An end is dropped only together with the shard that named its task; else the task would be back, and would
// be started once more.
TEST_P(Fold, NoEndedTaskComesBack) {
  SinglePartition b;
  ControllerState reader(single_partition_settings(), {});  // another controller, fed by the changes alone
  const auto id = b.job("req-1", 300, false);
  std::vector<state::KeyUpdate> all{{"jobs/req-1", jobs::to_json(*b.w.cache.job(id), b.w.names), b.revision}};
  const auto commit = [&](AssignmentWriter& writer) {
    PlannedTransaction e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
    if (!GetParam().shards_first) std::reverse(e.writes.begin(), e.writes.end());
    for (const auto& c : e.writes) all.push_back({c.key, c.value, b.revision});
  };
  {
    AssignmentWriter writer(b.w, b.partition);
    ASSERT_TRUE(writer.add(id, b.assignments(300, 9)));
    commit(writer);
  }
  // Many small writes, so that the ends outgrow their key and are folded into shards, some while new work is
  // placed in them.
  const auto other = b.job("req-2", 300, false);
  all.push_back({"jobs/req-2", jobs::to_json(*b.w.cache.job(other), b.w.names), b.revision});
  for (std::uint32_t t = 0; t < 300; t += 3) {
    AssignmentWriter writer(b.w, b.partition);
    for (std::uint32_t i = t; i < t + 3; ++i)
      EXPECT_TRUE(writer.apply_tombstones({id, b.partition, i, 9, i % 2 == 0}));
    if (t % 30 == 0) {
      auto assignment = b.assignments(t + 1, 20 + t);
      ASSERT_TRUE(writer.add(other, {assignment.back()}));
    }
    commit(writer);
    for (std::uint32_t i = 0; i < 300; ++i)
      ASSERT_EQ(b.w.cache.has_assignment(id, b.partition, i, 9), i >= t + 3)
          << "task " << i << " after " << t;
  }
  EXPECT_EQ(b.w.cache.done(id), 150u);
  EXPECT_EQ(b.w.cache.placed(other), 10u);
  for (const auto& e : all) reader.cache.apply(e);
  const auto there = *reader.names.jobs.find("req-1");
  EXPECT_EQ(reader.cache.done(there), 150u);
  EXPECT_EQ(reader.cache.placed(there), 0u);
  EXPECT_EQ(reader.cache.placed(*reader.names.jobs.find("req-2")), 10u);
}
INSTANTIATE_TEST_SUITE_P(Table, Fold,
                         testing::Values(FoldCase{"shards_before_ends", true},
                                         FoldCase{"ends_before_shards", false}),
                         [](const auto& info) { return std::string(info.param.name); });

// A late write of the ends must not undo a later one.
TEST(AssignmentWriter, EndsAreConditionalOnThemselves) {
  SinglePartition b;
  const auto id = b.job("req-1", 4, false);
  {
    AssignmentWriter writer(b.w, b.partition);
    writer.add(id, b.assignments(4, 9));
    PlannedTransaction e;
    writer.finish(e);
    b.apply(e);
  }
  std::uint64_t seen = 0;
  for (std::uint32_t t = 0; t < 2; ++t) {
    AssignmentWriter writer(b.w, b.partition);
    writer.apply_tombstones({id, b.partition, t, 9, true});
    PlannedTransaction e;
    writer.finish(e);
    const auto it =
        std::find_if(e.compares.begin(), e.compares.end(), [](const auto& c) { return c.key == "ends/a.0"; });
    ASSERT_NE(it, e.compares.end());
    EXPECT_EQ(it->revision, seen);
    b.apply(e);
    seen = b.revision;
  }
}

// A scale case: what a heartbeat and a round's choice of room look at follows the machine, not the fleet.
TEST(Scale, AMachineIsFoundAmongThousands) {
  SinglePartition b;
  constexpr std::uint32_t kMachines = 2400;
  for (std::uint32_t i = 0; i < kMachines / 4; ++i) {
    const auto id = b.job("req-" + std::to_string(i), 8, false);
    AssignmentWriter writer(b.w, b.partition);
    std::vector<jobs::TaskAssignment> list;
    for (std::uint32_t t = 0; t < 8; ++t)
      list.push_back({t, 9, b.w.names.machines.intern("host-" + std::to_string(i * 4 + t / 2)), 1});
    ASSERT_TRUE(writer.add(id, list));
    EXPECT_LE(writer.touched(), 1u) << "one job's placement touches one shard, however many there are";
    PlannedTransaction e;
    writer.finish(e);
    b.apply(e);
  }
  std::size_t assignments = 0;
  b.w.cache.each_named_machine([&](core::MachineId, const auto& list) {
    EXPECT_EQ(list.size(), 2u);
    assignments += list.size();
  });
  EXPECT_EQ(assignments, kMachines * 2u);
}

}  // namespace
}  // namespace finchrun::assignments
