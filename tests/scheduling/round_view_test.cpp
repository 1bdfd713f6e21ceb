#include "scheduling/round_view.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::AssignmentWriter;
using assignments::PlannedTransaction;
using assignments::SinglePartition;

const core::TimePoint kNow(core::to_duration(1000));

// Zones a and b have one partition each; a.0 is led here. A job has six tasks, three in each partition.
struct TwoZones : testing::Test {
  static config::Settings settings() {
    auto settings = assignments::single_partition_settings();
    settings.zones = {"a", "b"};
    return settings;
  }
  core::JobId job(jobs::Shape shape, bool single_zone, bool spread) {
    jobs::JobRecord record;
    record.spec.job_class = state.names.job_classes.intern("batch");
    record.spec.team = core::TeamId{0};
    record.spec.image = state.names.images.intern("img");
    record.spec.shape = shape;
    record.spec.tasks = 6;
    record.spec.single_zone = single_zone;
    record.spec.spread = spread;
    record.ranges = {{0, 3, own}, {3, 6, other}};
    state.cache.apply({"jobs/req-1", jobs::to_json(record, state.names), ++deployment.revision});
    return *state.names.jobs.find("req-1");
  }
  void place(core::JobId job, core::PartitionId partition, std::uint32_t task) {
    AssignmentWriter writer(state, partition);
    writer.add(job, {{task, 9, state.names.machines.intern("host-1"), 1}});
    PlannedTransaction transaction;
    writer.write_to(transaction);
    deployment.apply(transaction);
  }
  std::optional<sched::Demand> demand(core::JobId job) {
    return make_demand(state, job, own, WaitingTasks(state.cache, job));
  }
  SinglePartition deployment{settings()};
  controller::ControllerState& state = deployment.state;
  core::PartitionId own{0}, other{1};
};

TEST_F(TwoZones, ArrayDemandHasOnlyTasksOfThePartition) {
  const auto id = job(jobs::Shape::array, false, false);
  place(id, own, 0);
  const auto found = demand(id);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->tasks, (std::vector<std::uint32_t>{1, 2}));
  EXPECT_EQ(found->count, 2u);
  EXPECT_EQ(found->zone_headroom, 5u);
}

// `spread`: half of the six tasks, rounded up, may run in one zone.
TEST_F(TwoZones, SpreadJobRunsHalfOfItsTasksInOneZone) {
  const auto id = job(jobs::Shape::array, false, true);
  EXPECT_EQ(zone_headroom(state, id, own), 3u);
  place(id, own, 0);
  EXPECT_EQ(zone_headroom(state, id, own), 2u);
  place(id, other, 3);
  EXPECT_EQ(zone_headroom(state, id, own), 2u);
}

TEST_F(TwoZones, SingleZoneJobWaitsWhileTaskMayRunInAnotherZone) {
  const auto id = job(jobs::Shape::array, true, false);
  EXPECT_EQ(zone_headroom(state, id, own), 6u);
  place(id, other, 3);
  EXPECT_EQ(zone_headroom(state, id, own), 0u);
  EXPECT_EQ(zone_headroom(state, id, other), 5u);
}

TEST_F(TwoZones, GangWaitsUntilEarlierAttemptHasEndedInAllPartitions) {
  const auto gang = deployment.job("req-2", 2, jobs::Shape::gang);
  EXPECT_EQ(demand(gang)->tasks.size(), 2u);
  place(gang, other, 1);
  EXPECT_FALSE(demand(gang));
}

TEST(LimitInPartition, IsNeverUnlimitedForLimitedTeam) {
  EXPECT_DOUBLE_EQ(limit_in_partition(0, 0), 0);
  EXPECT_DOUBLE_EQ(limit_in_partition(8, 2), 2);
  EXPECT_GT(limit_in_partition(8, 0), 0);
  EXPECT_LT(limit_in_partition(8, 0), core::Resources::kRoundingTolerance);
}

TEST_F(TwoZones, NodeShowsCordonReservationAndFetches) {
  cloud::MachineType type;
  type.size = {32, 4, 256};
  auto& machine = state.fleet.find_or_add(state.names, "host-1", {});
  const auto id = job(jobs::Shape::service, false, false);
  place(id, own, 0);
  machine.cordoned_until = kNow + core::to_duration(1);
  machine.reserved_for = core::JobId{9};
  machine.reservation_ready_at = kNow + core::to_duration(7);
  machine.reservation_expires_at = kNow + core::to_duration(20);
  const auto before = make_node(state, machine, type, kNow);
  EXPECT_EQ(before.fetches_in_progress, 1u);
  EXPECT_EQ(before.replicas, (std::vector<core::JobId>{id}));
  EXPECT_EQ(before.reserved_for, core::JobId{9});
  EXPECT_DOUBLE_EQ(before.reservation_starts_in_s, 7);
  EXPECT_GT(before.start_delay_s, 0);
  const auto later = make_node(state, machine, type, kNow + core::to_duration(20));
  EXPECT_FALSE(later.reserved_for.valid());
  EXPECT_DOUBLE_EQ(later.start_delay_s, 0);
}

struct DecidesCase {
  const char* name;
  bool loaded, machine_types_known, leads;
  double cache_age_s;
  bool fence_due;
  bool decides;
};
class RoundDecides : public testing::TestWithParam<DecidesCase> {};
TEST_P(RoundDecides, OnlyWithFreshStateAndLeadership) {
  const auto& c = GetParam();
  SinglePartition deployment;
  auto& state = deployment.state;
  state.cache_loaded = c.loaded;
  if (c.machine_types_known) state.fleet.machine_types.emplace_back();
  if (!c.leads) state.incarnation = 8;
  state.fences[0].unanswered_write_token = c.fence_due ? state.fencing_token(core::PartitionId{0}) : 0;
  state.synchronized_at = kNow - core::to_duration(c.cache_age_s);
  EXPECT_EQ(build_round_view(state, 2, kNow).has_value(), c.decides);
}
INSTANTIATE_TEST_SUITE_P(Table, RoundDecides,
                         testing::Values(DecidesCase{"leader", true, true, true, 1, false, true},
                                         DecidesCase{"cache_not_loaded", false, true, true, 1, false, false},
                                         DecidesCase{"cache_too_old", true, true, true, 2.5, false, false},
                                         DecidesCase{"no_machine_types", true, false, true, 1, false, false},
                                         DecidesCase{"not_the_leader", true, true, false, 1, false, false},
                                         DecidesCase{"late_write_possible", true, true, true, 1, true,
                                                     false}),
                         kCaseName);

}  // namespace
}  // namespace finchrun::scheduling
