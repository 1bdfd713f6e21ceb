#include "autoscaling/scale_out_plan.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

const core::TimePoint kNow{core::to_duration(10000)};

/// A controller that leads partition "a.0", with the machine types "cpu.4" and, more expensive, "gpu.1" in
/// its zone, and "cpu.far" in another zone.
struct Fixture : SinglePartition {
  Fixture() {
    state.fleet.machine_types = {{"cpu.4", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}},
                                 {"gpu.1", {8, 1, 64}, 50, 1, 20, 6, 60, {"a"}},
                                 {"cpu.far", {4, 0, 16}, 50, 1, 0.1, 0.1, 60, {"b"}}};
    for (const auto& type : state.fleet.machine_types)
      state.fleet.machine_type_ids.push_back(state.names.types.intern(type.name));
  }
  agent::Machine& add_machine(const std::string& name, std::uint32_t type_index, bool spot,
                              const char* status) {
    auto& machine = state.fleet.find_or_add(state.names, name, {});
    machine.partition = partition;
    machine.type = state.fleet.machine_type_ids.at(type_index);
    machine.spot = spot;
    machine.status = status;
    machine.has_heartbeat = machine.status == "running";
    machine.first_seen = machine.starting_since = kNow - core::to_duration(30);
    return machine;
  }
  /// Adds tasks of one CPU each to the backlog.
  sched::Demand& add_demand(std::uint32_t count) {
    auto& demand = backlog.emplace_back(scheduling::BacklogItem{partition, {}}).demand;
    demand.team = core::TeamId{0};
    demand.need = {1, 0, 4};
    demand.count = count;
    return demand;
  }
  void add_spot_work() {
    sched::JobClassProfile job_class;
    job_class.spot = true;
    job_class.active_tasks = 3;
    state.job_class_profiles.push_back(job_class);
  }
  scheduling::Backlog backlog;
  CapacityBackoff backoff;
};

const MachineKind kCpu{"cpu.4", "a", false};
const MachineKind kCpuSpot{"cpu.4", "a", true};
const MachineKind kGpu{"gpu.1", "a", false};
const MachineKind kGpuSpot{"gpu.1", "a", true};

using Needed = std::vector<std::pair<MachineKind, double>>;
struct Case {
  const char* name;
  std::function<void(Fixture&)> arrange;
  Needed needed;
};
class ScaleOutPlan : public testing::TestWithParam<Case> {};
TEST_P(ScaleOutPlan, RequestsExpectedMachines) {
  Fixture fixture;
  GetParam().arrange(fixture);
  Needed needed;
  for (const auto& request : plan_scale_out(fixture.state, fixture.backlog, fixture.backoff, kNow))
    needed.emplace_back(request.kind, request.machines);
  EXPECT_EQ(needed, GetParam().needed);
}
INSTANTIATE_TEST_SUITE_P(
    Table, ScaleOutPlan,
    testing::Values(
        Case{"nothing_waits", [](Fixture&) {}, {}},
        Case{"machine_types_unknown",
             [](Fixture& fixture) {
               fixture.add_demand(8);
               fixture.state.fleet.machine_types.clear();
               fixture.state.fleet.machine_type_ids.clear();
             },
             {}},
        Case{"another_controller_leads",
             [](Fixture& fixture) {
               fixture.add_demand(8);
               fixture.state.incarnation = 8;
             },
             {}},
        Case{"cheapest_per_task_in_the_zone", [](Fixture& fixture) { fixture.add_demand(8); }, {{kCpu, 2}}},
        Case{"gang_counts_its_tasks",
             [](Fixture& fixture) {
               auto& demand = fixture.add_demand(0);
               demand.gang = true;
               demand.tasks = {0, 1, 2, 3, 4, 5};
             },
             {{kCpu, 1.5}}},
        Case{"spot_where_allowed",
             [](Fixture& fixture) { fixture.add_demand(8).spot = true; },
             {{kCpuSpot, 2}}},
        Case{"only_the_requested_type",
             [](Fixture& fixture) {
               fixture.add_demand(8).allowed_types = {fixture.state.fleet.machine_type_ids[1]};
             },
             {{kGpu, 1}}},
        Case{"only_what_fits_a_machine",
             [](Fixture& fixture) {
               fixture.add_demand(1).need = {1, 1, 4};
             },
             {{kGpu, 1}}},
        Case{"fits_no_machine",
             [](Fixture& fixture) {
               fixture.add_demand(1).need = {100, 0, 4};
             },
             {}},
        Case{"most_needed_first",
             [](Fixture& fixture) {
               fixture.add_demand(4);
               fixture.add_demand(3).need = {1, 1, 4};
             },
             {{kGpu, 3}, {kCpu, 1}}},
        Case{"jobs_add_up",
             [](Fixture& fixture) {
               fixture.add_demand(4);
               fixture.add_demand(6);
             },
             {{kCpu, 2.5}}},
        Case{"team_limit",
             [](Fixture& fixture) {
               fixture.state.settings.teams[0].cpus_max = 6;
               fixture.add_demand(8);
               fixture.add_demand(8);
             },
             {{kCpu, 1.5}}},
        Case{"starting_machine_takes_some_tasks",
             [](Fixture& fixture) {
               fixture.add_machine("m-1", 0, false, "starting");
               fixture.add_demand(8);
             },
             {{kCpu, 1}}},
        Case{"overdue_machine_takes_no_tasks",
             [](Fixture& fixture) {
               fixture.add_machine("m-1", 0, false, "starting").starting_since =
                   kNow - core::to_duration(121);
               fixture.add_demand(8);
             },
             {{kCpu, 2}}},
        Case{"starting_spot_machine_takes_no_other_tasks",
             [](Fixture& fixture) {
               fixture.add_machine("m-1", 0, true, "starting");
               fixture.add_demand(8);
             },
             {{kCpu, 2}}},
        Case{"backed_off_kind_is_skipped",
             [](Fixture& fixture) {
               fixture.backoff.back_off(kCpu, kNow + core::to_duration(1));
               fixture.add_demand(8);
             },
             {{kGpu, 1}}},
        Case{"backoff_ends",
             [](Fixture& fixture) {
               fixture.backoff.back_off(kCpu, kNow);
               fixture.add_demand(8);
             },
             {{kCpu, 2}}},
        Case{"on_demand_exhausted",
             [](Fixture& fixture) {
               for (const auto& kind : {kCpu, kGpu})
                 fixture.backoff.back_off(kind, kNow + core::to_duration(1));
               fixture.add_demand(8);
             },
             {}},
        Case{"spot_instances_relieve_on_demand",
             [](Fixture& fixture) {
               for (const auto& kind : {kCpu, kGpu})
                 fixture.backoff.back_off(kind, kNow + core::to_duration(1));
               fixture.add_spot_work();
               fixture.add_demand(8);
             },
             {{kCpuSpot, 2}}},
        Case{"free_spot_capacity_counts_as_relief",
             [](Fixture& fixture) {
               for (const auto& kind : {kCpu, kGpu})
                 fixture.backoff.back_off(kind, kNow + core::to_duration(1));
               fixture.add_spot_work();
               fixture.add_machine("m-1", 0, true, "running");
               fixture.add_demand(8);
             },
             {{kCpuSpot, 1}}}),
    kCaseName);

TEST(ScaleOutPlan, OrdersEquallyNeededKindsByJoinedNames) {
  Fixture fixture;
  // "cpu.4-a|" sorts before "cpu.4|", though "cpu.4" alone sorts before "cpu.4-a".
  fixture.state.fleet.machine_types.push_back({"cpu.4-a", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}});
  fixture.state.fleet.machine_type_ids.push_back(fixture.state.names.types.intern("cpu.4-a"));
  fixture.add_demand(4).allowed_types = {fixture.state.fleet.machine_type_ids[0]};
  fixture.add_demand(4).allowed_types = {fixture.state.fleet.machine_type_ids[3]};
  const auto requests = plan_scale_out(fixture.state, fixture.backlog, fixture.backoff, kNow);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].kind.type, "cpu.4-a");
  EXPECT_EQ(requests[1].kind.type, "cpu.4");
}

TEST(ScaleOutPlan, OneRequestCoversHalfOfALargeNeed) {
  struct RequestCase {
    double machines;
    int count;
  };
  for (const auto& c : {RequestCase{0.2, 1}, RequestCase{3.1, 4}, RequestCase{8, 4}, RequestCase{9.5, 5},
                        RequestCase{41, 20}, RequestCase{1000, 50}})
    EXPECT_EQ(machines_in_one_request(c.machines, 4), c.count) << c.machines;
}

}  // namespace
}  // namespace finchrun::autoscaling
