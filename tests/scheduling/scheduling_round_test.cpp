#include "scheduling/scheduling_round.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

constexpr core::PartitionId kPartition{0};
constexpr std::uint64_t kFencingToken = 41;

sched::Demand demand(std::uint32_t job, std::uint32_t tasks, bool gang) {
  sched::Demand demand;
  demand.job = core::JobId{job};
  demand.team = core::TeamId{0};
  demand.need = {8, 1, 64};
  demand.gang = gang;
  demand.count = tasks;
  for (std::uint32_t task = 0; task < tasks; ++task) demand.tasks.push_back(task);
  return demand;
}

struct BatchesCase {
  const char* name;
  std::vector<bool> gangs;           // by demand
  std::vector<std::size_t> placed;   // tasks, by demand
  std::vector<std::size_t> batches;  // tasks in each batch, in order
};
class SplitIntoBatches : public testing::TestWithParam<BatchesCase> {};
TEST_P(SplitIntoBatches, EachFitsInOneTransaction) {
  const auto& c = GetParam();
  std::vector<sched::Demand> demands;
  std::vector<sched::Placement> placements;
  for (std::uint32_t i = 0; i < c.placed.size(); ++i) {
    demands.push_back(demand(i, 9, c.gangs[i]));
    for (std::uint32_t task = 0; task < c.placed[i]; ++task)
      placements.push_back({i, task, core::MachineId{task}});
  }
  const std::vector<sched::Costs> costs(demands.size());
  std::vector<std::size_t> batches;
  for (const auto& batch : split_into_batches(kPartition, kFencingToken, placements, demands, costs, 3)) {
    EXPECT_EQ(batch.fencing_token, kFencingToken);
    batches.push_back(batch.tasks.size());
  }
  EXPECT_EQ(batches, c.batches);
}
INSTANTIATE_TEST_SUITE_P(Table, SplitIntoBatches,
                         testing::Values(BatchesCase{"nothing_placed", {false}, {0}, {}},
                                         BatchesCase{"array_that_fits", {false}, {3}, {3}},
                                         BatchesCase{"array_in_several_batches", {false}, {7}, {3, 3, 1}},
                                         BatchesCase{"gang_as_a_whole", {true}, {7}, {7}},
                                         BatchesCase{
                                             "no_batch_shared_by_jobs", {false, true}, {2, 1}, {2, 1}}),
                         kCaseName);

TEST(RemovePlacedTasks, KeepsWaitingTasks) {
  std::vector<sched::Demand> demands{demand(0, 3, false), demand(1, 2, false), demand(2, 2, true)};
  demands[0].count = 500;  // more tasks than the round considers
  sched::Plan plan;
  plan.placements = {{0, 0, core::MachineId{0}}, {0, 1, core::MachineId{1}}};
  plan.unplaced = {0, 1, 2};
  remove_placed_tasks(plan, demands);
  EXPECT_EQ(demands[0].tasks, (std::vector<std::uint32_t>{2}));
  EXPECT_EQ(demands[0].count, 498u);
  EXPECT_EQ(demands[1].tasks.size(), 2u);
  EXPECT_EQ(demands[2].count, 2u);
}

TEST(Summarize, CountsQuotaReservationsAndFreeResources) {
  sched::Plan plan;
  plan.nodes.resize(2);
  plan.nodes[0].free = {8, 1, 64};
  plan.nodes[1].free = {16, 2, 128};
  plan.nodes[1].reserved_for = core::JobId{1};
  plan.team_quotas = {sched::TeamQuota{{}, 0, 2}};
  plan.unplaced = {0, 1};
  // The quota of two accelerators allows the array's next task, but not the whole gang.
  std::vector<sched::Demand> demands{demand(0, 9, false), demand(1, 3, true)};
  demands[1].has_reservation = true;
  const auto summary = summarize(plan, demands);
  EXPECT_EQ(summary.machines, 2u);
  EXPECT_EQ(summary.reserved, 1u);
  EXPECT_DOUBLE_EQ(summary.free.gpus, 1);
  EXPECT_DOUBLE_EQ(summary.reserved_free.gpus, 2);
  EXPECT_EQ(summary.over_quota, 1u);
  EXPECT_EQ(summary.with_reservation, 1u);
}

}  // namespace
}  // namespace finchrun::scheduling
