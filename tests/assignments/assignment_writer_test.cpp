#include "assignments/assignment_writer.hpp"

#include <gtest/gtest.h>

#include "assignments/exit_plan.hpp"
#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::assignments {

using scheduling::WaitingTasks;
namespace {

// Guards against one write per job: a round of many jobs then exceeds the write budget, and most of its
// placements are never recorded.
TEST(AssignmentWriter, RecordsManyJobsInFewWrites) {
  SinglePartition leader;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 60; ++i) ids.push_back(leader.job("req-" + std::to_string(i), 4, false));
  AssignmentWriter writer(leader.state, leader.partition);
  for (const auto id : ids) ASSERT_TRUE(writer.add(id, leader.assignments(4, 9)));
  PlannedTransaction transaction;
  writer.write_to(transaction);
  EXPECT_LE(transaction.writes.size(), 4u);
  leader.apply(transaction);
  for (const auto id : ids) EXPECT_EQ(leader.state.cache.placed_tasks(id), 4u);
}

struct SizeCase {
  const char* name;
  std::uint32_t tasks;
  bool gang;
};
class ShardSize : public testing::TestWithParam<SizeCase> {};
// For jobs of all sizes, no value may exceed the store's limit, no task may be lost, and all exits must fit.
TEST_P(ShardSize, StaysWithinValueLimit) {
  SinglePartition leader;
  const auto id = leader.job("req-1", GetParam().tasks, GetParam().gang);
  {
    AssignmentWriter writer(leader.state, leader.partition);
    ASSERT_TRUE(writer.add(id, leader.assignments(GetParam().tasks, 9)));
    PlannedTransaction transaction;
    writer.write_to(transaction);
    EXPECT_LE(largest_value(transaction), 8192u);
    leader.apply(transaction);
  }
  EXPECT_EQ(leader.state.cache.placed_tasks(id), GetParam().tasks);
  // Every second task ends, which gives the maximum number of intervals of done tasks.
  for (std::uint32_t round = 0; round < 8; ++round) {
    AssignmentWriter writer(leader.state, leader.partition);
    for (std::uint32_t task = 0; task < GetParam().tasks; task += 2)
      writer.record_exit({id, leader.partition, task, 9, true});
    PlannedTransaction transaction;
    writer.write_to(transaction);
    EXPECT_LE(largest_value(transaction), 8192u);
    leader.apply(transaction);
  }
  if (!GetParam().gang) {
    EXPECT_EQ(leader.state.cache.done_tasks(id), (GetParam().tasks + 1) / 2);
    EXPECT_EQ(WaitingTasks(leader.state.cache, id).count(leader.partition), 0u);
  }
  EXPECT_EQ(leader.state.cache.placed_tasks(id), GetParam().tasks / 2);
}
INSTANTIATE_TEST_SUITE_P(Table, ShardSize,
                         testing::Values(SizeCase{"one_task", 1, false}, SizeCase{"gang_of_16", 16, true},
                                         SizeCase{"array_of_250", 250, false},
                                         SizeCase{"gang_of_500", 500, true}),
                         kCaseName);

TEST(AssignmentWriter, DropsFinishedJobsFromWrittenShards) {
  SinglePartition leader;
  const auto finished = leader.job("req-1", 1, false), live = leader.job("req-2", 1, false);
  {
    AssignmentWriter writer(leader.state, leader.partition);
    writer.add(finished, leader.assignments(1, 9));
    PlannedTransaction transaction;
    writer.write_to(transaction);
    leader.apply(transaction);
  }
  {
    AssignmentWriter writer(leader.state, leader.partition);
    writer.record_exit({finished, leader.partition, 0, 9, true});
    EXPECT_EQ(writer.done_tasks(finished), 1u);
    PlannedTransaction transaction;
    writer.write_to(transaction);
    leader.apply(transaction);
  }
  leader.state.cache.apply(
      {"jobs/req-1", jobs::to_json(completed_record(*leader.state.cache.job(finished)), leader.state.names),
       ++leader.revision});
  AssignmentWriter writer(leader.state, leader.partition);
  writer.add(live, leader.assignments(1, 12));
  PlannedTransaction transaction;
  writer.write_to(transaction);
  leader.apply(transaction);
  EXPECT_TRUE(leader.state.cache.shard_assignments(finished).empty());
  EXPECT_EQ(leader.state.cache.placed_tasks(live), 1u);
}

TEST(AssignmentWriter, ComparesFencingTokenFenceAndShards) {
  SinglePartition leader;
  const auto id = leader.job("req-1", 1, false);
  leader.state.cache.apply({"fence/a.0", boost::json::value(1), 44});
  AssignmentWriter writer(leader.state, leader.partition);
  writer.add(id, leader.assignments(1, 9));
  PlannedTransaction transaction;
  writer.write_to(transaction);
  std::map<std::string, std::uint64_t> compares;
  for (const auto& compare : transaction.compares) compares[compare.key] = compare.revision;
  EXPECT_EQ(compares,
            (std::map<std::string, std::uint64_t>{{"parts/a.0", 40}, {"fence/a.0", 44}, {"runs/a.0/0", 0}}));
}

// Guards against rewriting every shard with an exit: exits in many shards would use up most of the write
// budget.
TEST(AssignmentWriter, RecordsExitsOfAllShardsInOneWrite) {
  SinglePartition leader;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(leader.job("req-" + std::to_string(i), 100, false));
    AssignmentWriter writer(leader.state, leader.partition);
    ASSERT_TRUE(writer.add(ids.back(), leader.assignments(100, 9)));
    PlannedTransaction transaction;
    writer.write_to(transaction);
    leader.apply(transaction);
  }
  ASSERT_GT(leader.state.cache.shards(leader.partition).size(), 10u);
  AssignmentWriter writer(leader.state, leader.partition);
  for (const auto id : ids) EXPECT_TRUE(writer.record_exit({id, leader.partition, 7, 9, true}));
  EXPECT_TRUE(
      writer.record_exit({ids[0], leader.partition, 8, 9, false}));  // first seen as lost, then as done
  EXPECT_TRUE(writer.record_exit({ids[0], leader.partition, 8, 9, true}));
  EXPECT_EQ(writer.done_tasks(ids[0]), 2u);
  PlannedTransaction transaction;
  writer.write_to(transaction);
  ASSERT_EQ(transaction.writes.size(), 1u);
  EXPECT_EQ(transaction.writes[0].key, "ends/a.0");
  leader.apply(transaction);
  for (const auto id : ids) {
    EXPECT_EQ(leader.state.cache.done_tasks(id), id == ids[0] ? 2u : 1u);
    EXPECT_EQ(leader.state.cache.placed_tasks(id), id == ids[0] ? 98u : 99u);
    EXPECT_FALSE(leader.state.cache.has_assignment(id, leader.partition, 7, 9));
  }
}

struct KeyOrderCase {
  const char* name;
  bool shards_first;  // a reader sees the shards of a transaction before its tombstones
};
class TombstoneKeyOrder : public testing::TestWithParam<KeyOrderCase> {};
// A tombstone must leave the list only together with a write of its shard without the assignment. Otherwise
// the assignment reappears, and the task is started a second time.
TEST_P(TombstoneKeyOrder, ExitedTasksStayRemoved) {
  SinglePartition leader;
  ControllerState reader(single_partition_settings(),
                         {});  // another controller, which reads only the changes
  const auto id = leader.job("req-1", 300, false);
  std::vector<state::KeyUpdate> all{
      {"jobs/req-1", jobs::to_json(*leader.state.cache.job(id), leader.state.names), leader.revision}};
  const auto commit = [&](AssignmentWriter& writer) {
    PlannedTransaction transaction;
    writer.write_to(transaction);
    EXPECT_LE(largest_value(transaction), 8192u);
    leader.apply(transaction);
    if (!GetParam().shards_first) std::reverse(transaction.writes.begin(), transaction.writes.end());
    for (const auto& write : transaction.writes) all.push_back({write.key, write.value, leader.revision});
  };
  {
    AssignmentWriter writer(leader.state, leader.partition);
    ASSERT_TRUE(writer.add(id, leader.assignments(300, 9)));
    commit(writer);
  }
  // Many small writes let the tombstones outgrow their key, so that they are applied to shards, in some of
  // which new tasks are placed at the same time.
  const auto other = leader.job("req-2", 300, false);
  all.push_back(
      {"jobs/req-2", jobs::to_json(*leader.state.cache.job(other), leader.state.names), leader.revision});
  for (std::uint32_t t = 0; t < 300; t += 3) {
    AssignmentWriter writer(leader.state, leader.partition);
    for (std::uint32_t i = t; i < t + 3; ++i)
      EXPECT_TRUE(writer.record_exit({id, leader.partition, i, 9, i % 2 == 0}));
    if (t % 30 == 0) {
      auto assignment = leader.assignments(t + 1, 20 + t);
      ASSERT_TRUE(writer.add(other, {assignment.back()}));
    }
    commit(writer);
    for (std::uint32_t i = 0; i < 300; ++i)
      ASSERT_EQ(leader.state.cache.has_assignment(id, leader.partition, i, 9), i >= t + 3)
          << "task " << i << " after " << t;
  }
  EXPECT_EQ(leader.state.cache.done_tasks(id), 150u);
  EXPECT_EQ(leader.state.cache.placed_tasks(other), 10u);
  for (const auto& update : all) reader.cache.apply(update);
  const auto read = *reader.names.jobs.find("req-1");
  EXPECT_EQ(reader.cache.done_tasks(read), 150u);
  EXPECT_EQ(reader.cache.placed_tasks(read), 0u);
  EXPECT_EQ(reader.cache.placed_tasks(*reader.names.jobs.find("req-2")), 10u);
}
INSTANTIATE_TEST_SUITE_P(Table, TombstoneKeyOrder,
                         testing::Values(KeyOrderCase{"shards_before_tombstones", true},
                                         KeyOrderCase{"tombstones_before_shards", false}),
                         kCaseName);

// A late write of the tombstone list must not undo a later one.
TEST(AssignmentWriter, ComparesRevisionOfTombstoneList) {
  SinglePartition leader;
  const auto id = leader.job("req-1", 4, false);
  {
    AssignmentWriter writer(leader.state, leader.partition);
    writer.add(id, leader.assignments(4, 9));
    PlannedTransaction transaction;
    writer.write_to(transaction);
    leader.apply(transaction);
  }
  std::uint64_t seen = 0;
  for (std::uint32_t t = 0; t < 2; ++t) {
    AssignmentWriter writer(leader.state, leader.partition);
    writer.record_exit({id, leader.partition, t, 9, true});
    PlannedTransaction transaction;
    writer.write_to(transaction);
    const auto it = std::find_if(transaction.compares.begin(), transaction.compares.end(),
                                 [](const auto& compare) { return compare.key == "ends/a.0"; });
    ASSERT_NE(it, transaction.compares.end());
    EXPECT_EQ(it->revision, seen);
    leader.apply(transaction);
    seen = leader.revision;
  }
}

// The cost of a heartbeat and of choosing a shard must grow with the tasks of a machine, not with the fleet.
TEST(Scale, FindsAssignmentsByMachineAmongThousands) {
  SinglePartition leader;
  constexpr std::uint32_t kMachines = 2400;
  for (std::uint32_t i = 0; i < kMachines / 4; ++i) {
    const auto id = leader.job("req-" + std::to_string(i), 8, false);
    AssignmentWriter writer(leader.state, leader.partition);
    std::vector<jobs::TaskAssignment> list;
    for (std::uint32_t t = 0; t < 8; ++t)
      list.push_back({t, 9, leader.state.names.machines.intern("host-" + std::to_string(i * 4 + t / 2)), 1});
    ASSERT_TRUE(writer.add(id, list));
    EXPECT_LE(writer.written_key_count(), 1u)
        << "one job's placement writes one shard, however many there are";
    PlannedTransaction transaction;
    writer.write_to(transaction);
    leader.apply(transaction);
  }
  std::size_t assignments = 0;
  leader.state.cache.for_each_assigned_machine([&](core::MachineId, const auto& list) {
    EXPECT_EQ(list.size(), 2u);
    assignments += list.size();
  });
  EXPECT_EQ(assignments, kMachines * 2u);
}

}  // namespace
}  // namespace finchrun::assignments
