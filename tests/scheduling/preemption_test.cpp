#include "scheduling/preemption.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::AssignmentWriter;
using assignments::PlannedTransaction;
using assignments::SinglePartition;

const core::TimePoint kNow(core::to_duration(1000));

jobs::JobSpec spec(jobs::Shape shape, double checkpoint_s, double save_s, double expected_run_s) {
  jobs::JobSpec spec;
  spec.shape = shape;
  spec.checkpoint_interval_s = checkpoint_s;
  spec.checkpoint_save_s = save_s;
  spec.expected_run_s = expected_run_s;
  return spec;
}

struct CostCase {
  const char* name;
  jobs::JobSpec spec;
  double ran_s;
  double stop_cost_s, remaining_s;
};
class TaskCost : public testing::TestWithParam<CostCase> {};
TEST_P(TaskCost, MatchesLostWorkAndRemainingRunTime) {
  const auto& c = GetParam();
  EXPECT_DOUBLE_EQ(stop_cost_s(c.spec, c.ran_s), c.stop_cost_s);
  EXPECT_DOUBLE_EQ(remaining_s(c.spec, c.ran_s), c.remaining_s);
}
using jobs::Shape;
INSTANTIATE_TEST_SUITE_P(
    Table, TaskCost,
    testing::Values(
        CostCase{"without_checkpoint_loses_all_work", spec(Shape::array, 0, 0, 600), 200, 200, 400},
        CostCase{"with_checkpoint_loses_restart_time", spec(Shape::array, 60, 8, 600), 200, 13, 400},
        CostCase{"recently_started_costs_more", spec(Shape::array, 0, 0, 600), 10, 30, 590},
        CostCase{"running_longer_than_expected", spec(Shape::gang, 60, 8, 600), 900, 13, 61},
        CostCase{"replica_costs_restart_gap", spec(Shape::service, 0, 0, jobs::kUnlimitedRunTimeS), 9000, 30,
                 jobs::kUnlimitedRunTimeS}),
    kCaseName);

// A stop takes 10 s with heartbeats every 3 s, in addition to the time to save a checkpoint.
TEST(MustEvict, LeavesTimeToSaveCheckpoint) {
  const auto saves = spec(Shape::array, 60, 20, 600), does_not = spec(Shape::array, 0, 0, 600);
  EXPECT_FALSE(must_evict(30.1, saves, 3));
  EXPECT_TRUE(must_evict(30, saves, 3));
  EXPECT_FALSE(must_evict(10.1, does_not, 3));
  EXPECT_TRUE(must_evict(10, does_not, 3));
}

struct Running : testing::Test {
  void place(core::JobId job, std::uint32_t tasks, std::uint64_t attempt) {
    AssignmentWriter writer(deployment.state, deployment.partition);
    writer.add(job, deployment.assignments(tasks, attempt));
    PlannedTransaction transaction;
    writer.write_to(transaction);
    deployment.apply(transaction);
  }
  SinglePartition deployment;
};

TEST_F(Running, TasksBeingStoppedOrEndedCannotBePreempted) {
  auto& state = deployment.state;
  const auto job = deployment.job("req-1", 4, Shape::array);
  place(job, 4, 9);
  state.fleet.preempting[{job, 1, 9}] = 0;
  state.fleet.observed_exits.insert({job, deployment.partition, 2, 9, true});
  std::set<std::uint32_t> tasks;
  for (const auto& task : running_tasks(state, deployment.partition, {job}, kNow)) {
    tasks.insert(task.task);
    EXPECT_TRUE(task.within_guarantee);
  }
  EXPECT_EQ(tasks, (std::set<std::uint32_t>{0, 3}));
}

// Of an array only the task on the reclaimed machine is evicted.
TEST_F(Running, GangIsEvictedAsAWholeFromReclaimedMachine) {
  auto& state = deployment.state;
  const auto array = deployment.job("req-1", 3, Shape::array), gang = deployment.job("req-2", 3, Shape::gang);
  place(array, 3, 9);
  place(gang, 3, 10);
  auto& reclaimed = state.fleet.find_or_add(state.names, "host-100000", {});
  reclaimed.partition = deployment.partition;
  evict_from_reclaimed_machines(state);
  EXPECT_TRUE(state.fleet.preempting.empty());
  reclaimed.termination_notice_s = 1;
  evict_from_reclaimed_machines(state);
  std::map<core::JobId, std::size_t> evicted;
  for (const auto& [attempt, grace_s] : state.fleet.preempting) ++evicted[std::get<core::JobId>(attempt)];
  EXPECT_EQ(evicted, (std::map<core::JobId, std::size_t>{{array, 1}, {gang, 3}}));
}

}  // namespace
}  // namespace finchrun::scheduling
