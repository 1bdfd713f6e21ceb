#include "scheduling/preemption.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::AssignmentWriter;
using assignments::PlannedTransaction;
using assignments::SinglePartition;

const core::TimePoint kNow(core::to_duration(1000));

jobs::JobSpec spec(jobs::Shape shape, double checkpoint_s, double save_s, double expected_run_s) {
  jobs::JobSpec spec;
  spec.shape = shape;
  spec.checkpoint_s = checkpoint_s;
  spec.save_s = save_s;
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
TEST_P(TaskCost, IsWhatIsLostAndHowLongItWouldGoOn) {
  const auto& c = GetParam();
  EXPECT_DOUBLE_EQ(stop_cost_s(c.spec, c.ran_s), c.stop_cost_s);
  EXPECT_DOUBLE_EQ(remaining_s(c.spec, c.ran_s), c.remaining_s);
}
using jobs::Shape;
INSTANTIATE_TEST_SUITE_P(
    Table, TaskCost,
    testing::Values(CostCase{"loses_all_that_it_has_run", spec(Shape::array, 0, 0, 600), 200, 200, 400},
                    CostCase{"saves_its_progress", spec(Shape::array, 60, 8, 600), 200, 13, 400},
                    CostCase{"young_tasks_cost_more", spec(Shape::array, 0, 0, 600), 10, 30, 590},
                    CostCase{"longer_than_expected", spec(Shape::gang, 60, 8, 600), 900, 13, 61},
                    CostCase{"replica_leaves_a_gap", spec(Shape::standing, 0, 0, jobs::kNoEnd), 9000, 30,
                             jobs::kNoEnd}),
    [](const auto& info) { return std::string(info.param.name); });

// A heartbeat every 3 s: 10 s beside the time to save.
TEST(MustEvict, LeavesTimeToSave) {
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
    writer.finish(transaction);
    deployment.apply(transaction);
  }
  SinglePartition deployment;
};

TEST_F(Running, TasksThatStopOrHaveEndedAreNotPreemptedAgain) {
  auto& state = deployment.state;
  const auto job = deployment.job("req-1", 4, Shape::array);
  place(job, 4, 9);
  state.fleet.preempting[{job, 1, 9}] = 0;
  state.fleet.observed_exits.insert({job, deployment.partition, 2, 9, true});
  std::set<std::uint32_t> tasks;
  for (const auto& task : running_tasks(state, deployment.partition, {job}, kNow)) {
    tasks.insert(task.task);
    EXPECT_TRUE(task.within);
  }
  EXPECT_EQ(tasks, (std::set<std::uint32_t>{0, 3}));
}

// One machine is reclaimed: an array loses the task there, a gang leaves all its machines.
TEST_F(Running, GangLeavesReclaimedMachineAsAWhole) {
  auto& state = deployment.state;
  const auto array = deployment.job("req-1", 3, Shape::array), gang = deployment.job("req-2", 3, Shape::gang);
  place(array, 3, 9);
  place(gang, 3, 10);
  auto& reclaimed = state.fleet.intern(state.names, "host-100000");
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
