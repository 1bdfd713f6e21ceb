#include "scheduling/rebalancer.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;
using jobs::TaskRange;

constexpr core::PartitionId kOwnPartition{0}, kOtherPartition{1};  // a.0 and b.0
const core::TimePoint kNow(core::to_duration(100));

struct MoveCase {
  const char* name;
  std::set<std::uint32_t> tasks;
  std::vector<TaskRange> after;
};
class MoveTasks : public testing::TestWithParam<MoveCase> {};
TEST_P(MoveTasks, SplitsOnlyRangesOfTheSourcePartition) {
  const std::vector<TaskRange> before{{0, 4, kOwnPartition}, {4, 6, kOtherPartition}, {6, 8, kOwnPartition}};
  EXPECT_EQ(move_tasks(before, kOwnPartition, kOtherPartition, GetParam().tasks), GetParam().after);
}
INSTANTIATE_TEST_SUITE_P(
    Table, MoveTasks,
    testing::Values(
        MoveCase{"none", {}, {{0, 4, kOwnPartition}, {4, 6, kOtherPartition}, {6, 8, kOwnPartition}}},
        MoveCase{
            "last",
            {7},
            {{0, 4, kOwnPartition}, {4, 6, kOtherPartition}, {6, 7, kOwnPartition}, {7, 8, kOtherPartition}}},
        MoveCase{"middle",
                 {1, 2},
                 {{0, 1, kOwnPartition},
                  {1, 3, kOtherPartition},
                  {3, 4, kOwnPartition},
                  {4, 6, kOtherPartition},
                  {6, 8, kOwnPartition}}},
        MoveCase{"tasks_of_another_partition_stay",
                 {4, 5},
                 {{0, 4, kOwnPartition}, {4, 6, kOtherPartition}, {6, 8, kOwnPartition}}}),
    kCaseName);

// A job of four tasks with one accelerator each waits in a.0. Partition b.0, led elsewhere, has `free_gpus`.
struct PlanCase {
  const char* name;
  jobs::Shape shape;
  double free_gpus;
  std::function<void(SinglePartition&, core::JobId)> change;
  std::vector<TaskRange> after;  // empty: no move
};
class PlanRangeMove : public testing::TestWithParam<PlanCase> {
 protected:
  static config::Settings settings() {
    auto settings = single_partition_settings();
    settings.zones = {"a", "b"};
    settings.teams = {{"red", 0, 0, 4, 8}};
    return settings;
  }
  static core::JobId waiting_job(SinglePartition& deployment, const char* name, jobs::Shape shape) {
    auto record = *deployment.state.cache.job(deployment.job(name, 4, shape));
    record.spec.need = {1, 1, 1};
    deployment.state.cache.apply(
        {state::keys::job(name), jobs::to_json(record, deployment.state.names), ++deployment.revision});
    return *deployment.state.names.jobs.find(name);
  }
  static void add_machine(SinglePartition& deployment, core::PartitionId partition, double gpus) {
    const auto type = deployment.state.names.types.intern("large");
    deployment.state.fleet.machine_types.resize(1);
    deployment.state.fleet.machine_types[0].size = {64, gpus, 64};
    deployment.state.fleet.machine_type_ids = {type};
    auto& machine = deployment.state.fleet.find_or_add(deployment.state.names, "host-1", {});
    machine.partition = partition;
    machine.type = type;
    machine.listed = true;
    machine.status = "running";
  }
  static Backlog backlog_of(const SinglePartition& deployment, core::JobId id) {
    const auto& job = *deployment.state.cache.job(id);
    sched::Demand demand;
    demand.job = id;
    demand.team = job.spec.team;
    demand.need = job.spec.need;
    demand.gang = job.spec.is_gang();
    demand.tasks = {0, 1, 2, 3};
    return {{kOwnPartition, demand}};
  }
};
TEST_P(PlanRangeMove, MovesTasksThatFitElsewhere) {
  const auto& c = GetParam();
  SinglePartition deployment(settings());
  const auto id = waiting_job(deployment, "req", c.shape);
  add_machine(deployment, kOtherPartition, c.free_gpus);
  c.change(deployment, id);
  const auto move = plan_range_move(deployment.state, backlog_of(deployment, id), kNow);
  ASSERT_EQ(move.has_value(), !c.after.empty());
  if (!move) return;
  const auto& transaction = move->transaction;
  ASSERT_EQ(transaction.writes.size(), 1u);
  EXPECT_EQ(jobs::job_from_json(*transaction.writes[0].value, deployment.state.names).ranges, c.after);
  std::map<std::string, std::uint64_t> compares;
  for (const auto& compare : transaction.compares) compares[compare.key] = compare.revision;
  const std::map<std::string, std::uint64_t> expected{
      {"parts/a.0", 40},
      {"jobs/req", deployment.state.cache.job(id)->revision},
      {"fence/a.0", deployment.state.cache.fence(kOwnPartition)}};
  EXPECT_EQ(compares, expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, PlanRangeMove,
    testing::Values(
        PlanCase{"whole_array_fits", jobs::Shape::array, 8, [](auto&, auto) {}, {{0, 4, kOtherPartition}}},
        PlanCase{"last_array_tasks_that_fit",
                 jobs::Shape::array,
                 1,
                 [](auto&, auto) {},
                 {{0, 3, kOwnPartition}, {3, 4, kOtherPartition}}},
        PlanCase{"gang_as_a_whole", jobs::Shape::gang, 4, [](auto&, auto) {}, {{0, 4, kOtherPartition}}},
        PlanCase{"gang_that_does_not_fit_stays", jobs::Shape::gang, 3, [](auto&, auto) {}, {}},
        PlanCase{"gang_stays_while_a_task_is_placed",
                 jobs::Shape::gang,
                 8,
                 [](auto& deployment, auto id) {
                   assignments::AssignmentWriter writer(deployment.state, kOwnPartition);
                   ASSERT_TRUE(writer.add(id, deployment.assignments(1, 9)));
                   assignments::PlannedTransaction transaction;
                   writer.write_to(transaction);
                   deployment.apply(transaction);
                 },
                 {}},
        PlanCase{"stays_if_over_quota",
                 jobs::Shape::gang,
                 8,
                 [](auto& deployment, auto) { deployment.state.settings.teams[0].gpus_max = 3; },
                 {}},
        PlanCase{"stays_without_leadership",
                 jobs::Shape::array,
                 8,
                 [](auto& deployment, auto) {
                   deployment.state.cache.apply(
                       {"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":8})"), 60});
                 },
                 {}},
        // Guards against a replica over the zone's cap: the tasks of a late move were placed here meanwhile.
        PlanCase{"stays_while_a_fence_is_due",
                 jobs::Shape::array,
                 8,
                 [](auto& deployment, auto) {
                   deployment.state.fences[kOwnPartition.index].unanswered_write_token = 40;
                 },
                 {}},
        PlanCase{"stays_if_other_zone_is_not_allowed",
                 jobs::Shape::array,
                 8,
                 [](auto& deployment, auto id) {
                   auto record = *deployment.state.cache.job(id);
                   record.spec.zone = deployment.state.partitions.zone(kOwnPartition);
                   deployment.state.cache.apply(
                       {"jobs/req", jobs::to_json(record, deployment.state.names), ++deployment.revision});
                 },
                 {}},
        PlanCase{"spread_array_keeps_half_in_each_zone",
                 jobs::Shape::array,
                 8,
                 [](auto& deployment, auto id) {
                   auto record = *deployment.state.cache.job(id);
                   record.spec.spread = true;
                   deployment.state.cache.apply(
                       {"jobs/req", jobs::to_json(record, deployment.state.names), ++deployment.revision});
                 },
                 {{0, 2, kOwnPartition}, {2, 4, kOtherPartition}}}),
    kCaseName);

}  // namespace
}  // namespace finchrun::scheduling
