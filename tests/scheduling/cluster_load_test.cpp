#include "scheduling/cluster_load.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kOurs{0}, kOther{1};  // a.0 and b.0
const core::TimePoint kNow(core::to_duration(100));

config::Settings two_zones() {
  auto settings = single_partition_settings();
  settings.zones = {"a", "b"};
  return settings;
}
agent::Machine& add_machine(SinglePartition& p, const char* name, core::PartitionId partition) {
  const auto type = p.state.names.types.intern("large");
  p.state.fleet.machine_types.resize(1);
  p.state.fleet.machine_types[0].size = {64, 8, 64};
  p.state.fleet.machine_type_ids = {type};
  auto& machine = p.state.fleet.intern(p.state.names, name);
  machine.partition = partition;
  machine.type = type;
  machine.listed = true;
  machine.status = "running";
  return machine;
}
jobs::JobSpec spec_of(double gpus) {
  jobs::JobSpec spec;
  spec.need = {1, gpus, 1};
  return spec;
}

struct MachineCase {
  const char* name;
  std::function<void(agent::Machine&)> change;
  double capacity;
};
class Capacity : public testing::TestWithParam<MachineCase> {};
TEST_P(Capacity, CountsMachinesOfOtherLeadersByTheCloudsList) {
  SinglePartition p(two_zones());
  GetParam().change(add_machine(p, "host-1", kOther));
  const auto capacities = partition_capacities(p.state, spec_of(2), kNow);
  ASSERT_EQ(capacities.size(), 2u);
  EXPECT_DOUBLE_EQ(capacities[kOther.index].capacity, GetParam().capacity);
  EXPECT_DOUBLE_EQ(capacities[kOurs.index].capacity, 0);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Capacity,
    testing::Values(MachineCase{"runs", [](auto&) {}, 4},
                    MachineCase{"starts", [](auto& m) { m.status = "starting"; }, 0},
                    MachineCase{"no_longer_listed", [](auto& m) { m.listed = false; }, 0},
                    MachineCase{"quarantined", [](auto& m) { m.quarantined = true; }, 0},
                    MachineCase{"spot_for_a_job_that_may_not", [](auto& m) { m.spot = true; }, 0},
                    MachineCase{"outside_the_zones", [](auto& m) { m.partition = {}; }, 0}),
    [](const auto& info) { return std::string(info.param.name); });

// In a partition that this controller leads, only machines whose agents obey it count.
TEST(ClusterLoad, OwnMachinesCountOnceTheyAreUsable) {
  SinglePartition p(two_zones());
  auto& machine = add_machine(p, "host-1", kOurs);
  EXPECT_DOUBLE_EQ(partition_capacities(p.state, spec_of(2), kNow)[0].free, 0);
  machine.has_heartbeat = true;
  machine.fencing_token = p.state.fencing_token(kOurs);
  machine.last_heartbeat = kNow;
  EXPECT_DOUBLE_EQ(partition_capacities(p.state, spec_of(2), kNow + core::to_duration(0.4))[0].free, 0)
      << "the load is kept for half a second";
  EXPECT_DOUBLE_EQ(partition_capacities(p.state, spec_of(2), kNow + core::to_duration(0.5))[0].free, 4);
}

TEST(ClusterLoad, WaitingTasksAreBacklogInTasksOfTheJobThatAsks) {
  SinglePartition p(two_zones());
  auto record = *p.state.cache.job(p.job("req", 6, jobs::Shape::array));
  record.spec.need = {3, 4, 1};
  record.ranges = {{0, 4, kOurs}, {4, 6, kOther}};
  p.state.cache.apply({"jobs/req", jobs::to_json(record, p.state.names), ++p.revision});
  const auto by_gpus = partition_capacities(p.state, spec_of(2), kNow);
  EXPECT_DOUBLE_EQ(by_gpus[0].backlog, 12) << "of processors there are more waiting than of accelerators";
  EXPECT_DOUBLE_EQ(by_gpus[1].backlog, 6);
  const auto eight = partition_capacities(p.state, spec_of(0.5), kNow);
  EXPECT_DOUBLE_EQ(eight[0].backlog, 32);
}

}  // namespace
}  // namespace finchrun::scheduling
