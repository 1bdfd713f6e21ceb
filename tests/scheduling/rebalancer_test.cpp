#include "scheduling/rebalancer.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;
using jobs::Range;

constexpr core::PartitionId kOurs{0}, kOther{1};  // a.0 and b.0
const core::TimePoint kNow(core::to_duration(100));

struct MoveCase {
  const char* name;
  std::set<std::uint32_t> tasks;
  std::vector<Range> after;
};
class MoveTasks : public testing::TestWithParam<MoveCase> {};
TEST_P(MoveTasks, SplitsOnlyRangesOfTheSourcePartition) {
  const std::vector<Range> before{{0, 4, kOurs}, {4, 6, kOther}, {6, 8, kOurs}};
  EXPECT_EQ(move_tasks(before, kOurs, kOther, GetParam().tasks), GetParam().after);
}
INSTANTIATE_TEST_SUITE_P(
    Table, MoveTasks,
    testing::Values(
        MoveCase{"none", {}, {{0, 4, kOurs}, {4, 6, kOther}, {6, 8, kOurs}}},
        MoveCase{"last", {7}, {{0, 4, kOurs}, {4, 6, kOther}, {6, 7, kOurs}, {7, 8, kOther}}},
        MoveCase{
            "middle", {1, 2}, {{0, 1, kOurs}, {1, 3, kOther}, {3, 4, kOurs}, {4, 6, kOther}, {6, 8, kOurs}}},
        MoveCase{"tasks_of_another_partition_stay", {4, 5}, {{0, 4, kOurs}, {4, 6, kOther}, {6, 8, kOurs}}}),
    [](const auto& info) { return std::string(info.param.name); });

// A job of four tasks of one accelerator each waits in a.0; b.0, of another leader, has `free_gpus`.
struct PlanCase {
  const char* name;
  jobs::Shape shape;
  double free_gpus;
  std::function<void(SinglePartition&, core::JobId)> change;
  std::vector<Range> after;  // empty: nothing moves
};
class PlanRangeMove : public testing::TestWithParam<PlanCase> {
 protected:
  static config::Settings settings() {
    auto s = single_partition_settings();
    s.zones = {"a", "b"};
    s.teams = {{"red", 0, 0, 4, 8}};
    return s;
  }
  static core::JobId waiting_job(SinglePartition& p, const char* name, jobs::Shape shape) {
    auto record = *p.state.cache.job(p.job(name, 4, shape));
    record.spec.need = {1, 1, 1};
    p.state.cache.apply({state::keys::job(name), jobs::to_json(record, p.state.names), ++p.revision});
    return *p.state.names.jobs.find(name);
  }
  static void add_machine(SinglePartition& p, core::PartitionId partition, double gpus) {
    const auto type = p.state.names.types.intern("large");
    p.state.fleet.machine_types.resize(1);
    p.state.fleet.machine_types[0].size = {64, gpus, 64};
    p.state.fleet.machine_type_ids = {type};
    auto& machine = p.state.fleet.intern(p.state.names, "host-1");
    machine.partition = partition;
    machine.type = type;
    machine.listed = true;
    machine.status = "running";
  }
  static Backlog backlog_of(const SinglePartition& p, core::JobId id) {
    const auto& job = *p.state.cache.job(id);
    sched::Demand demand;
    demand.job = id;
    demand.team = job.spec.team;
    demand.need = job.spec.need;
    demand.gang = job.spec.gang();
    demand.tasks = {0, 1, 2, 3};
    return {{kOurs, demand}};
  }
};
TEST_P(PlanRangeMove, MovesWhatFitsElsewhere) {
  const auto& c = GetParam();
  SinglePartition p(settings());
  const auto id = waiting_job(p, "req", c.shape);
  add_machine(p, kOther, c.free_gpus);
  c.change(p, id);
  const auto move = plan_range_move(p.state, backlog_of(p, id), kNow);
  ASSERT_EQ(move.has_value(), !c.after.empty());
  if (!move) return;
  const auto& transaction = move->transaction;
  ASSERT_EQ(transaction.writes.size(), 1u);
  EXPECT_EQ(jobs::job_from_json(*transaction.writes[0].value, p.state.names).ranges, c.after);
  std::map<std::string, std::uint64_t> compares;
  for (const auto& compare : transaction.compares) compares[compare.key] = compare.revision;
  const std::map<std::string, std::uint64_t> expected{{"parts/a.0", 40},
                                                      {"jobs/req", p.state.cache.job(id)->revision},
                                                      {"fence/a.0", p.state.cache.fence(kOurs)}};
  EXPECT_EQ(compares, expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, PlanRangeMove,
    testing::Values(
        PlanCase{"array_all", jobs::Shape::array, 8, [](auto&, auto) {}, {{0, 4, kOther}}},
        PlanCase{"array_the_last_ones_that_fit",
                 jobs::Shape::array,
                 1,
                 [](auto&, auto) {},
                 {{0, 3, kOurs}, {3, 4, kOther}}},
        PlanCase{"gang_as_a_whole", jobs::Shape::gang, 4, [](auto&, auto) {}, {{0, 4, kOther}}},
        PlanCase{"gang_never_in_part", jobs::Shape::gang, 3, [](auto&, auto) {}, {}},
        PlanCase{"gang_stays_while_a_task_is_placed",
                 jobs::Shape::gang,
                 8,
                 [](auto& p, auto id) {
                   assignments::AssignmentWriter writer(p.state, kOurs);
                   ASSERT_TRUE(writer.add(id, p.assignments(1, 9)));
                   assignments::PlannedTransaction transaction;
                   writer.finish(transaction);
                   p.apply(transaction);
                 },
                 {}},
        PlanCase{"quota_used_up_is_no_reason",
                 jobs::Shape::gang,
                 8,
                 [](auto& p, auto) { p.state.settings.teams[0].gpus_max = 3; },
                 {}},
        PlanCase{
            "only_by_the_leader",
            jobs::Shape::array,
            8,
            [](auto& p, auto) {
              p.state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":8})"), 60});
            },
            {}},
        PlanCase{"only_where_the_zone_is_allowed",
                 jobs::Shape::array,
                 8,
                 [](auto& p, auto id) {
                   auto record = *p.state.cache.job(id);
                   record.spec.zone = p.state.partitions.zone(kOurs);
                   p.state.cache.apply({"jobs/req", jobs::to_json(record, p.state.names), ++p.revision});
                 },
                 {}},
        PlanCase{"scattered_no_more_than_half_in_a_zone",
                 jobs::Shape::array,
                 8,
                 [](auto& p, auto id) {
                   auto record = *p.state.cache.job(id);
                   record.spec.spread = true;
                   p.state.cache.apply({"jobs/req", jobs::to_json(record, p.state.names), ++p.revision});
                 },
                 {{0, 2, kOurs}, {2, 4, kOther}}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace finchrun::scheduling
