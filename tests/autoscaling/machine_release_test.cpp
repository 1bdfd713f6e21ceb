#include "autoscaling/machine_release.hpp"

#include "assignments/single_partition.hpp"
#include "core/captured_log.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

/// A controller that leads partition "a.0", with a task recorded on machine "m".
struct Leader : SinglePartition {
  Leader() {
    auto& machine = state.fleet.find_or_add(state.names, "m", {});
    machine.partition = partition;
    decision = {machine.id, "m", ScaleInReason::silent};
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
  void request_and_fail(cloud::Error error) {
    begin_release(state, {decision});
    EXPECT_TRUE(machine().terminating);
    fail_release(state, decision, error);
  }
  core::JobId job_id;
  ScaleInDecision decision;
};

TEST(MachineRelease, OnlyAConfirmedDeletionEndsTheTasks) {
  Leader leader;
  leader.request_and_fail(cloud::Error::no_answer);
  EXPECT_FALSE(leader.machine().terminating || leader.machine().deleted || leader.task_has_ended());
  begin_release(leader.state, {leader.decision});
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
  begin_release(leader.state, {});
  begin_release(leader.state, {});
  EXPECT_EQ(log.count("scale in withdrawn machine=m"), 1);
  leader.request_and_fail(cloud::Error::refused);
  EXPECT_EQ(log.count("scale in failed"), 2);
  finish_release(leader.state, leader.decision);
  begin_release(leader.state, {});
  EXPECT_EQ(log.count("scale in machine=m reason=silent"), 1);
  EXPECT_EQ(log.count("scale in withdrawn"), 1);
}

}  // namespace
}  // namespace finchrun::autoscaling
