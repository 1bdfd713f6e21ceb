#include "autoscaling/machine_inventory.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/captured_log.hpp"
#include "core/case_names.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

const core::TimePoint kNow{core::to_duration(10000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

/// A controller that leads partition "a.0", with a task recorded on machine host-100000.
struct Leader : SinglePartition {
  Leader() {
    state.settings.agent_lease_s = 30;
    job_id = job("req-1", 1, false);
    jobs::JobAssignments job_assignments;
    job_assignments.assignments = assignments(1, 7);
    machine = job_assignments.assignments.front().machine;
    boost::json::object stored{{"req-1", jobs::to_json(job_assignments, state.names)}};
    state.cache.apply({"runs/a.0/0", boost::json::object{{"jobs", std::move(stored)}}, ++revision});
  }
  core::JobId job_id;
  core::MachineId machine;
};

TEST(ReconcileRecordedMachines, AddsAMachineThatNothingElseHasNamed) {
  Leader leader;
  reconcile_recorded_machines(leader.state, kNow);
  const auto* machine = leader.state.fleet.find(leader.machine);
  ASSERT_TRUE(machine);
  EXPECT_EQ(machine->partition, leader.partition);
  EXPECT_EQ(machine->zone, leader.state.partitions.zone(leader.partition));
  EXPECT_EQ(machine->first_seen, kNow);
}

TEST(ReconcileRecordedMachines, LeavesMachinesOfOtherLeadersAlone) {
  Leader leader;
  leader.state.incarnation = 8;
  reconcile_recorded_machines(leader.state, kNow);
  EXPECT_FALSE(leader.state.fleet.find(leader.machine));
}

TEST(ReconcileRecordedMachines, EndsWhatIsRecordedOnADeletedMachine) {
  Leader leader;
  leader.state.fleet.deleted_machines.insert(leader.machine);
  reconcile_recorded_machines(leader.state, kNow);
  EXPECT_TRUE(leader.state.fleet.observed_exits.contains({leader.job_id, leader.partition, 0, 7, false}));
}

TEST(ApplyMachineList, GivesEachMachineItsIdentityAndIgnoresDeletedOnes) {
  Leader leader;
  auto& state = leader.state;
  state.fleet.deleted_machines.insert(state.names.machines.intern("host-3"));
  cloud::ListedMachine listed;
  listed.name = "host-2";
  listed.type = "g4";
  listed.zone = "a";
  listed.spot = true;
  listed.status = "running";
  auto outside = listed, deleted = listed;
  outside.name = "host-9";
  outside.zone = "elsewhere";
  deleted.name = "host-3";
  apply_machine_list(state, {{listed, deleted, outside}, kNow, true}, kNow);
  const auto* machine = state.fleet.find(*state.names.machines.find("host-2"));
  ASSERT_TRUE(machine);
  EXPECT_EQ(machine->partition, leader.partition);
  EXPECT_EQ(machine->type, state.names.types.find("g4"));
  EXPECT_TRUE(machine->spot && machine->listed && machine->ever_listed);
  EXPECT_FALSE(state.fleet.find(*state.names.machines.find("host-3")));
  EXPECT_FALSE(state.fleet.find(*state.names.machines.find("host-9"))->partition.valid());
  apply_machine_list(state, {{}, kNow, true}, kNow);
  EXPECT_FALSE(machine->listed);
  EXPECT_TRUE(machine->ever_listed);
}

struct StaleMachineCase {
  const char* name;
  std::uint64_t start_token;  // of its last direct start; 0: none. The partition's is 40
  bool deleted;
  bool kept;
};
class StaleMachines : public testing::TestWithParam<StaleMachineCase> {};
// Guards against a start that runs once more because its machine was dropped while silent and came back.
TEST_P(StaleMachines, AreKeptWhileTheirAgentsMayExecuteADirectStart) {
  Leader leader;
  auto& state = leader.state;
  auto& machine = state.fleet.find_or_add(state.names, "host-2", {});
  machine.partition = leader.partition;
  machine.first_seen = machine.last_heartbeat = ago(9000);
  machine.deleted = GetParam().deleted;
  if (GetParam().start_token != 0) {
    machine.direct_starts.record({leader.job_id, 1, 9}, GetParam().start_token, 1, ago(9000));
    machine.direct_starts.mark_answered({leader.job_id, 1, 9});
  }
  apply_machine_list(state, {{}, kNow, true}, kNow);
  EXPECT_EQ(state.fleet.find(*state.names.machines.find("host-2")) != nullptr, GetParam().kept);
}
INSTANTIATE_TEST_SUITE_P(Table, StaleMachines,
                         testing::Values(StaleMachineCase{"without_a_start", 0, false, false},
                                         StaleMachineCase{"start_under_the_present_token", 40, false, true},
                                         StaleMachineCase{"start_under_a_raised_token", 45, false, true},
                                         StaleMachineCase{"start_under_an_earlier_token", 39, false, false},
                                         StaleMachineCase{"deleted", 40, true, false}),
                         kCaseName);

// Guards against tasks that neither run nor start again without a line in the log.
struct SilenceCase {
  const char* name;
  double silent_s;
  int lines;  // after two calls
};
class LogSilentRecordedMachines : public testing::TestWithParam<SilenceCase> {};
TEST_P(LogSilentRecordedMachines, OnceWhenEveryGracePeriodIsOver) {
  Leader leader;
  leader.state.leading_since[0] = ago(9000);
  reconcile_recorded_machines(leader.state, ago(GetParam().silent_s));
  const core::CapturedLog log;
  for (int i = 0; i < 2; ++i) log_silent_recorded_machines(leader.state, kNow);
  EXPECT_EQ(log.count("recorded machine silent machine=host-100000"), GetParam().lines);
}
INSTANTIATE_TEST_SUITE_P(Table, LogSilentRecordedMachines,
                         testing::Values(SilenceCase{"within_the_grace_periods", 179, 0},
                                         SilenceCase{"after_them", 181, 1}),
                         kCaseName);

}  // namespace
}  // namespace finchrun::autoscaling
