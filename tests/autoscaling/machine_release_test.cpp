#include "autoscaling/machine_release.hpp"

#include "agent/heartbeat_handler.hpp"
#include "assignments/single_partition.hpp"
#include "autoscaling/machine_inventory.hpp"
#include "core/captured_log.hpp"
#include "core/case_names.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

constexpr double kListLagS = 5;
constexpr double kMaxListAgeS = 11.1;  // twice the lag, 1% for clocks and a second
const core::TimePoint kNow{core::to_duration(10000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

config::Settings settings() {
  auto settings = assignments::single_partition_settings();
  settings.cloud_list_lag_s = kListLagS;
  return settings;
}

/// A controller that leads partition "a.0", with a task recorded on machine "m".
struct Leader : SinglePartition {
  Leader() : SinglePartition(settings()) {
    state.synchronized_at = ago(0.1);
    auto& machine = state.fleet.find_or_add(state.names, "m", {});
    machine.partition = partition;
    decision = {machine.id, "m", ScaleInReason::silent};
    machine.first_seen = ago(9000);
    job_id = job("req-1", 1, false);
    jobs::JobAssignments job_assignments;
    job_assignments.assignments = {{0, 7, machine.id, 2}};
    boost::json::object stored{{"req-1", jobs::to_json(job_assignments, state.names)}};
    state.cache.apply({"runs/a.0/0", boost::json::object{{"jobs", std::move(stored)}}, ++revision});
  }
  agent::Machine& machine() { return *state.fleet.find(decision.machine); }
  [[nodiscard]] bool task_has_ended() const {
    return state.fleet.observed_exits.contains({job_id, partition, 0, 7, false});
  }
  void request_and_fail(cloud::Error error, bool cloud_available = true) {
    begin_release(state, {{decision}, {}}, kNow);
    EXPECT_TRUE(machine().terminating);
    fail_release(state, decision, error, cloud_available);
  }
  void read_list(const cloud::MachineList& list) {
    apply_machine_list(state, list, kNow);
    finish_missing_machines(state, list, kNow);
  }
  core::JobId job_id;
  ScaleInDecision decision;
};

cloud::MachineList empty_list(double requested_s_ago = 0) { return {{}, ago(requested_s_ago), true}; }

cloud::MachineList list_with(const std::string& machine) {
  auto list = empty_list();
  list.machines.emplace_back();
  list.machines.back().name = machine;
  list.machines.back().zone = "a";
  list.machines.back().status = "running";
  return list;
}

TEST(MachineRelease, OnlyAConfirmedDeletionEndsTheTasks) {
  Leader leader;
  leader.request_and_fail(cloud::Error::no_answer);
  EXPECT_FALSE(leader.machine().terminating || leader.machine().deleted || leader.task_has_ended());
  begin_release(leader.state, {{leader.decision}, {}}, kNow);
  finish_release(leader.state, leader.decision);
  EXPECT_TRUE(leader.machine().deleted && leader.task_has_ended());
  EXPECT_TRUE(leader.state.fleet.deleted_machines.contains(leader.decision.machine));
}

// Guards against a cloud that refuses deletions for minutes without a line in the log.
TEST(MachineRelease, LogsEachChangeOfItsOutcomeOnce) {
  Leader leader;
  const core::CapturedLog log;
  for (const auto error : {cloud::Error::refused, cloud::Error::no_answer, cloud::Error::refused})
    leader.request_and_fail(error);
  EXPECT_EQ(log.count("scale in failed machine=m reason=silent error=refused tasks=1"), 1);
  EXPECT_EQ(log.count("scale in failed"), 1);
  begin_release(leader.state, {{}, {leader.decision}}, kNow);
  EXPECT_EQ(log.count("scale in withdrawn"), 0) << "postponed";
  begin_release(leader.state, {}, kNow);
  begin_release(leader.state, {}, kNow);
  EXPECT_EQ(log.count("scale in withdrawn machine=m"), 1);
  leader.request_and_fail(cloud::Error::refused);
  EXPECT_EQ(log.count("scale in failed"), 2);
  finish_release(leader.state, leader.decision);
  begin_release(leader.state, {}, kNow);
  EXPECT_EQ(log.count("scale in machine=m reason=silent"), 1);
  EXPECT_EQ(log.count("scale in withdrawn"), 1);
}

// Only a refusal while the cloud is available may be due to the request's machines.
TEST(MachineRelease, CountsRefusalsWhileTheCloudIsAvailable) {
  struct Case {
    cloud::Error error;
    bool cloud_available;
    int counted;
  };
  for (const auto& c : {Case{cloud::Error::refused, true, 1}, Case{cloud::Error::no_answer, true, 1},
                        Case{cloud::Error::refused, false, 0}, Case{cloud::Error::rate_limited, true, 0}}) {
    Leader leader;
    leader.request_and_fail(c.error, c.cloud_available);
    EXPECT_EQ(leader.machine().refused_releases, c.counted) << cloud::name_of(c.error) << c.cloud_available;
    EXPECT_EQ(leader.machine().release_requested_at, kNow);
  }
}

// The bounds of the proof: which lists prove that a machine is gone which was seen `seen_s_ago`.
struct ProofCase {
  const char* name;
  double seen_s_ago, requested_s_ago;
  bool complete, is_listed, proves;
};
class ListProof : public testing::TestWithParam<ProofCase> {};
TEST_P(ListProof, OnlyACompleteListThatIsYoungEnoughProvesAMachineGone) {
  const auto& c = GetParam();
  const cloud::MachineList list{{}, ago(c.requested_s_ago), c.complete};
  EXPECT_EQ(proves_gone(list, c.is_listed, ago(c.seen_s_ago), settings()), c.proves);
}
INSTANTIATE_TEST_SUITE_P(
    Table, ListProof,
    testing::Values(
        ProofCase{"requested_just_late_enough", kMaxListAgeS + 0.01, 0, true, false, true},
        ProofCase{"requested_just_too_early", kMaxListAgeS - 0.01, 0, true, false, false},
        ProofCase{"twice_the_lag_without_the_reserve", 2 * kListLagS + 0.01, 0, true, false, false},
        ProofCase{"the_answer_took_long", kMaxListAgeS + 2, 2.01, true, false, false},
        ProofCase{"the_answer_took_long_yet_late_enough", kMaxListAgeS + 2, 1.99, true, false, true},
        ProofCase{"requested_before_the_machine_was_seen", 1, 20, true, false, false},
        ProofCase{"cut_off_list", 1000, 0, false, false, false},
        ProofCase{"listed", 1000, 0, true, true, false}),
    kCaseName);

TEST(MissingMachines, TheirTasksAreGoneAndLaterListsDoNotBringThemBack) {
  Leader leader;
  const core::CapturedLog log;
  leader.machine().last_message = ago(kMaxListAgeS + 1);
  leader.read_list(empty_list());
  EXPECT_TRUE(leader.task_has_ended() && leader.machine().deleted);
  EXPECT_EQ(log.count("machine gone machine=m reason=not_listed last_seen_s=12 tasks=1"), 1);
  leader.read_list(list_with("m"));  // an older list
  EXPECT_FALSE(leader.machine().listed);
  EXPECT_TRUE(leader.state.fleet.deleted_machines.contains(leader.decision.machine));
}

// What keeps a machine from being taken for gone by an empty list.
struct PresenceCase {
  const char* name;
  std::function<void(Leader&)> arrange;
};
class MissingMachinesTable : public testing::TestWithParam<PresenceCase> {};
TEST_P(MissingMachinesTable, AreKeptWithoutProof) {
  Leader leader;
  GetParam().arrange(leader);
  leader.read_list(empty_list());
  EXPECT_FALSE(leader.task_has_ended() || leader.machine().deleted);
}
wire::Heartbeat heartbeat(std::uint64_t sequence) {
  wire::Heartbeat heartbeat;
  heartbeat.machine = "m";
  heartbeat.agent_incarnation = 2;
  heartbeat.sequence = sequence;
  heartbeat.fencing_token = 40;
  return heartbeat;
}
INSTANTIATE_TEST_SUITE_P(
    Table, MissingMachinesTable,
    testing::Values(
        PresenceCase{"recent_heartbeat",
                     [](Leader& leader) {
                       leader.state.apply_heartbeat(leader.machine(), heartbeat(1), ago(5), false);
                     }},
        PresenceCase{"recent_answer_to_a_command",
                     [](Leader& leader) {
                       leader.state.apply_heartbeat(leader.machine(), heartbeat(1), ago(5), true);
                     }},
        PresenceCase{"just_added_from_the_records",
                     [](Leader& leader) {
                       leader.state.fleet.machines().clear();
                       reconcile_recorded_machines(leader.state, ago(5));
                     }},
        PresenceCase{"just_rented", [](Leader& leader) { leader.machine().first_seen = ago(5); }},
        PresenceCase{"leader_is_new", [](Leader& leader) { leader.state.leading_since[0] = ago(5); }},
        PresenceCase{"another_controller_leads", [](Leader& leader) { leader.state.incarnation = 8; }},
        PresenceCase{"state_is_not_current",
                     [](Leader& leader) { leader.state.synchronized_at = ago(1.6); }}),
    kCaseName);

TEST(MissingMachines, ALateCopyOfAHeartbeatIsNoSignOfLife) {
  Leader leader;
  leader.state.apply_heartbeat(leader.machine(), heartbeat(8), ago(kMaxListAgeS + 1), false);
  leader.state.apply_heartbeat(leader.machine(), heartbeat(7), ago(1), false);
  leader.read_list(empty_list());
  EXPECT_TRUE(leader.task_has_ended());
}

TEST(MissingMachines, AMachineThatOnlyTheRecordsNameIsGoneOnceListsAreYoungEnough) {
  Leader leader;
  leader.state.fleet.machines().clear();
  reconcile_recorded_machines(leader.state, ago(kMaxListAgeS + 1));
  leader.read_list(empty_list());
  EXPECT_TRUE(leader.task_has_ended());
}

TEST(MissingMachines, APlacementThatIsAppliedAfterTheProofIsGoneToo) {
  Leader leader;
  leader.read_list(empty_list());
  const auto late = leader.job("req-2", 1, false);
  jobs::JobAssignments assignments;
  assignments.assignments = {{0, 9, leader.decision.machine, 2}};
  boost::json::object stored{{"req-2", jobs::to_json(assignments, leader.state.names)}};
  leader.state.cache.apply(
      {"runs/a.0/1", boost::json::object{{"jobs", std::move(stored)}}, ++leader.revision});
  reconcile_recorded_machines(leader.state, kNow);
  EXPECT_TRUE(leader.state.fleet.observed_exits.contains({late, leader.partition, 0, 9, false}));
}

TEST(MissingMachines, ACutOffListChangesNothingAboutMachinesThatItDoesNotName) {
  Leader leader;
  leader.read_list(list_with("m"));
  auto cut_off = empty_list();
  cut_off.complete = false;
  leader.read_list(cut_off);
  EXPECT_TRUE(leader.machine().listed);
  EXPECT_FALSE(leader.task_has_ended());
}

}  // namespace
}  // namespace finchrun::autoscaling
