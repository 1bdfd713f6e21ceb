#include "autoscaling/scale_out_plan.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

const core::TimePoint kNow{core::to_duration(10000)};

/// The partition "a.0", which we lead, and two machine types: "cpu.4" and, dearer, "gpu.1".
struct Scene : SinglePartition {
  Scene() {
    state.fleet.machine_types = {{"cpu.4", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}},
                                 {"gpu.1", {8, 1, 64}, 50, 1, 20, 6, 60, {"a"}},
                                 {"cpu.far", {4, 0, 16}, 50, 1, 0.1, 0.1, 60, {"b"}}};
    for (const auto& type : state.fleet.machine_types)
      state.fleet.machine_type_ids.push_back(state.names.types.intern(type.name));
  }
  agent::Machine& machine(const std::string& name, std::uint32_t type, bool spot, const char* status) {
    auto& machine = state.fleet.intern(state.names, name);
    machine.partition = partition;
    machine.type = state.fleet.machine_type_ids.at(type);
    machine.spot = spot;
    machine.status = status;
    machine.has_heartbeat = machine.status == "running";
    machine.first_seen = machine.starting_since = kNow - core::to_duration(30);
    return machine;
  }
  /// Tasks of one processor each.
  sched::Demand& demand(std::uint32_t count) {
    auto& demand = backlog.emplace_back(scheduling::BacklogItem{partition, {}}).demand;
    demand.team = core::TeamId{0};
    demand.need = {1, 0, 4};
    demand.count = count;
    return demand;
  }
  void spot_work() {
    sched::JobClassProfile job_class;
    job_class.spot = true;
    job_class.tasks = 3;
    state.job_classes.push_back(job_class);
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
  std::function<void(Scene&)> arrange;
  Needed needed;
};
class ScaleOutPlan : public testing::TestWithParam<Case> {};
TEST_P(ScaleOutPlan, Requests) {
  Scene scene;
  GetParam().arrange(scene);
  Needed needed;
  for (const auto& request : plan_scale_out(scene.state, scene.backlog, scene.backoff, kNow))
    needed.emplace_back(request.kind, request.machines);
  EXPECT_EQ(needed, GetParam().needed);
}
INSTANTIATE_TEST_SUITE_P(
    Table, ScaleOutPlan,
    testing::Values(Case{"nothing_waits", [](Scene&) {}, {}},
                    Case{"machine_types_unknown",
                         [](Scene& s) {
                           s.demand(8);
                           s.state.fleet.machine_types.clear();
                           s.state.fleet.machine_type_ids.clear();
                         },
                         {}},
                    Case{"another_controller_leads",
                         [](Scene& s) {
                           s.demand(8);
                           s.state.incarnation = 8;
                         },
                         {}},
                    Case{"cheapest_per_task_in_the_zone", [](Scene& s) { s.demand(8); }, {{kCpu, 2}}},
                    Case{"gang_counts_its_tasks",
                         [](Scene& s) {
                           auto& demand = s.demand(0);
                           demand.gang = true;
                           demand.tasks = {0, 1, 2, 3, 4, 5};
                         },
                         {{kCpu, 1.5}}},
                    Case{"spot_where_allowed", [](Scene& s) { s.demand(8).spot = true; }, {{kCpuSpot, 2}}},
                    Case{"only_the_type_asked_for",
                         [](Scene& s) { s.demand(8).types = {s.state.fleet.machine_type_ids[1]}; },
                         {{kGpu, 1}}},
                    Case{"only_what_fits_a_machine",
                         [](Scene& s) {
                           s.demand(1).need = {1, 1, 4};
                         },
                         {{kGpu, 1}}},
                    Case{"fits_no_machine",
                         [](Scene& s) {
                           s.demand(1).need = {100, 0, 4};
                         },
                         {}},
                    Case{"most_needed_first",
                         [](Scene& s) {
                           s.demand(4);
                           s.demand(3).need = {1, 1, 4};
                         },
                         {{kGpu, 3}, {kCpu, 1}}},
                    Case{"jobs_add_up",
                         [](Scene& s) {
                           s.demand(4);
                           s.demand(6);
                         },
                         {{kCpu, 2.5}}},
                    Case{"team_limit",
                         [](Scene& s) {
                           s.state.settings.teams[0].cpus_max = 6;
                           s.demand(8);
                           s.demand(8);
                         },
                         {{kCpu, 1.5}}},
                    Case{"starting_machine_takes_some",
                         [](Scene& s) {
                           s.machine("m-1", 0, false, "starting");
                           s.demand(8);
                         },
                         {{kCpu, 1}}},
                    Case{"overdue_machine_takes_none",
                         [](Scene& s) {
                           s.machine("m-1", 0, false, "starting").starting_since = kNow - core::to_duration(121);
                           s.demand(8);
                         },
                         {{kCpu, 2}}},
                    Case{"starting_spot_takes_none_of_others",
                         [](Scene& s) {
                           s.machine("m-1", 0, true, "starting");
                           s.demand(8);
                         },
                         {{kCpu, 2}}},
                    Case{"backed_off_kind_is_passed_over",
                         [](Scene& s) {
                           s.backoff.back_off(kCpu, kNow + core::to_duration(1));
                           s.demand(8);
                         },
                         {{kGpu, 1}}},
                    Case{"backoff_ends",
                         [](Scene& s) {
                           s.backoff.back_off(kCpu, kNow);
                           s.demand(8);
                         },
                         {{kCpu, 2}}},
                    Case{"on_demand_runs_out",
                         [](Scene& s) {
                           for (const auto& kind : {kCpu, kGpu})
                             s.backoff.back_off(kind, kNow + core::to_duration(1));
                           s.demand(8);
                         },
                         {}},
                    Case{"spot_work_makes_way",
                         [](Scene& s) {
                           for (const auto& kind : {kCpu, kGpu})
                             s.backoff.back_off(kind, kNow + core::to_duration(1));
                           s.spot_work();
                           s.demand(8);
                         },
                         {{kCpuSpot, 2}}},
                    Case{"spare_spot_room_counts_as_relief",
                         [](Scene& s) {
                           for (const auto& kind : {kCpu, kGpu})
                             s.backoff.back_off(kind, kNow + core::to_duration(1));
                           s.spot_work();
                           s.machine("m-1", 0, true, "running");
                           s.demand(8);
                         },
                         {{kCpuSpot, 1}}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ScaleOutPlan, EquallyNeededKindsComeInTheOrderOfTheirJoinedNames) {
  Scene scene;
  // "cpu.4-a|" sorts before "cpu.4|", though "cpu.4" alone sorts before "cpu.4-a".
  scene.state.fleet.machine_types.push_back({"cpu.4-a", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}});
  scene.state.fleet.machine_type_ids.push_back(scene.state.names.types.intern("cpu.4-a"));
  scene.demand(4).types = {scene.state.fleet.machine_type_ids[0]};
  scene.demand(4).types = {scene.state.fleet.machine_type_ids[3]};
  const auto requests = plan_scale_out(scene.state, scene.backlog, scene.backoff, kNow);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].kind.type, "cpu.4-a");
  EXPECT_EQ(requests[1].kind.type, "cpu.4");
}

TEST(ScaleOutPlan, OneRequestAsksForHalfOfALargeNeed) {
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
