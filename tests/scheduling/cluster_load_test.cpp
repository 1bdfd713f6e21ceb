#include "scheduling/cluster_load.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kOwnPartition{0}, kOtherPartition{1};  // a.0 and b.0
const core::TimePoint kNow(core::to_duration(100));

config::Settings two_zones() {
  auto settings = single_partition_settings();
  settings.zones = {"a", "b"};
  return settings;
}
agent::Machine& add_machine(SinglePartition& deployment, const char* name, core::PartitionId partition) {
  const auto type = deployment.state.names.types.intern("large");
  deployment.state.fleet.machine_types.resize(1);
  deployment.state.fleet.machine_types[0].size = {64, 8, 64};
  deployment.state.fleet.machine_type_ids = {type};
  auto& machine = deployment.state.fleet.find_or_add(deployment.state.names, name, {});
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
TEST_P(Capacity, CountsOtherLeadersMachinesByCloudListing) {
  SinglePartition deployment(two_zones());
  GetParam().change(add_machine(deployment, "host-1", kOtherPartition));
  const auto capacities = partition_capacities(deployment.state, spec_of(2), kNow);
  ASSERT_EQ(capacities.size(), 2u);
  EXPECT_DOUBLE_EQ(capacities[kOtherPartition.index].capacity, GetParam().capacity);
  EXPECT_DOUBLE_EQ(capacities[kOwnPartition.index].capacity, 0);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Capacity,
    testing::Values(MachineCase{"running", [](auto&) {}, 4},
                    MachineCase{"starting", [](auto& m) { m.status = "starting"; }, 0},
                    MachineCase{"no_longer_listed", [](auto& m) { m.listed = false; }, 0},
                    MachineCase{"quarantined", [](auto& m) { m.quarantined = true; }, 0},
                    MachineCase{"spot_not_allowed_by_job", [](auto& m) { m.spot = true; }, 0},
                    MachineCase{"without_partition", [](auto& m) { m.partition = {}; }, 0}),
    kCaseName);

// A machine in a partition led here whose agent does not yet accept this leader must not count as capacity.
TEST(ClusterLoad, CountsOwnMachinesOnceSchedulable) {
  SinglePartition deployment(two_zones());
  auto& machine = add_machine(deployment, "host-1", kOwnPartition);
  EXPECT_DOUBLE_EQ(partition_capacities(deployment.state, spec_of(2), kNow)[0].free, 0);
  machine.has_heartbeat = true;
  machine.fencing_token = deployment.state.fencing_token(kOwnPartition);
  machine.last_heartbeat = kNow;
  EXPECT_DOUBLE_EQ(partition_capacities(deployment.state, spec_of(2), kNow + core::to_duration(0.4))[0].free,
                   0)
      << "the load is cached for half a second";
  EXPECT_DOUBLE_EQ(partition_capacities(deployment.state, spec_of(2), kNow + core::to_duration(0.5))[0].free,
                   4);
}

TEST(ClusterLoad, CountsBacklogInTasksOfTheNewJob) {
  SinglePartition deployment(two_zones());
  auto record = *deployment.state.cache.job(deployment.job("req", 6, jobs::Shape::array));
  record.spec.need = {3, 4, 1};
  record.ranges = {{0, 4, kOwnPartition}, {4, 6, kOtherPartition}};
  deployment.state.cache.apply(
      {"jobs/req", jobs::to_json(record, deployment.state.names), ++deployment.revision});
  const auto by_gpus = partition_capacities(deployment.state, spec_of(2), kNow);
  EXPECT_DOUBLE_EQ(by_gpus[0].backlog, 12) << "the waiting tasks need more CPUs than accelerators";
  EXPECT_DOUBLE_EQ(by_gpus[1].backlog, 6);
  const auto half_gpu = partition_capacities(deployment.state, spec_of(0.5), kNow);
  EXPECT_DOUBLE_EQ(half_gpu[0].backlog, 32);
}

}  // namespace
}  // namespace finchrun::scheduling
