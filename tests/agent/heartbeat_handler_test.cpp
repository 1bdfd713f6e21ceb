#include "agent/heartbeat_handler.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "core/captured_log.hpp"
#include "core/case_names.hpp"

namespace finchrun::agent {
namespace {

namespace json = boost::json;
using wire::Command;
using wire::ExitCause;
using wire::TaskState;

// One partition, one machine "m" in incarnation 2, and one assignment: task 0, attempt 7 on "m". The
// partition's fencing token is 50 at first; `available_token` is the highest that its leader may use.
struct Fixture {
  static constexpr double kCancelS = 30, kRenewalWindowS = 16.9;
  explicit Fixture(bool gang = false, std::uint32_t tasks = 1) : cache(add_names(names), 1, 1) {
    state::KeyUpdate job{"jobs/req-1", std::nullopt, 40};
    jobs::JobRecord record;
    record.spec.job_class = names.job_classes.intern("lane");
    record.spec.team = core::TeamId{0};
    record.spec.image = names.images.intern("img");
    record.spec.shape = gang ? jobs::Shape::gang : jobs::Shape::array;
    record.spec.tasks = tasks;
    record.ranges = {{0, tasks, core::PartitionId{0}}};
    job.value = jobs::to_json(record, names);
    cache.apply(job);
    machine = &fleet.find_or_add(names, "m", {});
    machine->partition = core::PartitionId{0};
    set_assignments({{0, 7, machine->id, 2}}, 41);
  }
  static jobs::Names& add_names(jobs::Names& names) {
    names.teams.intern("red");
    names.partitions.intern("a.0");
    return names;
  }
  void set_assignments(std::vector<jobs::TaskAssignment> assignments, std::uint64_t revision) {
    jobs::JobAssignments job_assignments;
    job_assignments.assignments = std::move(assignments);
    cache.apply({"runs/a.0/0",
                 json::object{{"jobs", json::object{{"req-1", jobs::to_json(job_assignments, names)}}}},
                 revision});
  }
  void cancel() {
    jobs::JobRecord record = *cache.job(core::JobId{0});
    record.status = jobs::Status::cancelled;
    cache.apply({"jobs/req-1", jobs::to_json(record, names), 60});
    fleet.cancellations.learn(core::JobId{0}, {.confirmed_after = now, .learned_at = now});
  }
  HeartbeatResult heartbeat(std::uint64_t agent_incarnation, std::uint64_t sequence,
                            std::uint64_t fencing_token, std::vector<wire::TaskStatus> tasks,
                            bool is_direct_answer = false, bool starts_allowed = true) {
    wire::Heartbeat message;
    message.machine = "m";
    message.agent_incarnation = agent_incarnation;
    message.sequence = sequence;
    message.fencing_token = fencing_token;
    message.tasks = std::move(tasks);
    return handle_heartbeat({names,
                             cache,
                             fleet,
                             job_failures,
                             {partition_token, available_token},
                             now,
                             10,
                             starts_allowed,
                             is_direct_answer,
                             kCancelS,
                             kRenewalWindowS},
                            *machine, message);
  }
  jobs::Names names;
  state::StateCache cache;
  Fleet fleet;
  std::unordered_map<core::JobId, JobFailures> job_failures;
  core::TimePoint now{core::to_duration(1000)};
  Machine* machine = nullptr;
  std::uint64_t partition_token = 50;  // of this leadership
  std::uint64_t available_token = 50;
};

// Whatever the cause of its end, `done` included, a replica is not completed and runs again.
TEST(ServiceReplica, IsNeverCompleted) {
  for (const auto cause : {ExitCause::done, ExitCause::error, ExitCause::stopped}) {
    Fixture fixture;
    auto record = *fixture.cache.job(core::JobId{0});
    record.spec.shape = jobs::Shape::service;
    fixture.cache.apply({"jobs/req-1", jobs::to_json(record, fixture.names), 45});
    fixture.heartbeat(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, cause, false}});
    ASSERT_EQ(fixture.fleet.observed_exits.size(), 1u);
    EXPECT_FALSE(fixture.fleet.observed_exits.begin()->done);
  }
}

// Failures on several machines delay a job only if they are close together: a service runs on many machines
// over time.
TEST(ServiceReplica, IsDelayedByRecentFailuresOnly) {
  for (const double apart_s : {10.0, 600.0}) {
    Fixture fixture;
    fixture.job_failures[core::JobId{0}].machines.insert(core::MachineId{77});
    fixture.job_failures[core::JobId{0}].last_failure = fixture.now;
    fixture.now += core::to_duration(apart_s);
    fixture.heartbeat(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, ExitCause::error, false}});
    EXPECT_EQ(fixture.job_failures[core::JobId{0}].retry_at > fixture.now, apart_s < 100) << apart_s;
  }
}

wire::TaskStatus task_status(std::uint64_t attempt, TaskState state, ExitCause cause = ExitCause::none) {
  return {"req-1", 0, attempt, state, cause, false};
}
std::vector<Command::Kind> kinds(const HeartbeatResult& result) {
  std::vector<Command::Kind> kinds;
  for (const auto& command : result.commands) kinds.push_back(command.kind);
  return kinds;
}
using Kinds = std::vector<Command::Kind>;

struct FirstHeartbeatCase {
  const char* name;
  bool cancelled;
  std::uint64_t agent_incarnation, fencing_token;
  std::vector<wire::TaskStatus> tasks;
  Kinds commands;
  std::vector<bool> observed_exits;  // `done` of each one
};
class FirstHeartbeat : public testing::TestWithParam<FirstHeartbeatCase> {};
TEST_P(FirstHeartbeat, GivesCommandsAndObservedExits) {
  const auto& c = GetParam();
  Fixture fixture;
  if (c.cancelled) fixture.cancel();
  const auto result = fixture.heartbeat(c.agent_incarnation, 5, c.fencing_token, c.tasks);
  EXPECT_EQ(result.kind, HeartbeatResult::Kind::answer);
  EXPECT_EQ(kinds(result), c.commands);
  std::vector<bool> observed_exits;
  for (const auto& exit : fixture.fleet.observed_exits) observed_exits.push_back(exit.done);
  EXPECT_EQ(observed_exits, c.observed_exits);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FirstHeartbeat,
    testing::Values(
        FirstHeartbeatCase{"absent assigned task is started", false, 2, 50, {}, {Command::Kind::start}, {}},
        FirstHeartbeatCase{
            "running task keeps running", false, 2, 50, {task_status(7, TaskState::running)}, {}, {}},
        FirstHeartbeatCase{"later incarnation ends the task", false, 3, 50, {}, {}, {false}},
        FirstHeartbeatCase{"later incarnation ends the task under any token", false, 3, 10, {}, {}, {false}},
        FirstHeartbeatCase{
            "completed task", false, 2, 50, {task_status(7, TaskState::ended, ExitCause::done)}, {}, {true}},
        FirstHeartbeatCase{"stopped task",
                           false,
                           2,
                           50,
                           {task_status(7, TaskState::ended, ExitCause::stopped)},
                           {},
                           {false}},
        FirstHeartbeatCase{"running task of cancelled job is stopped",
                           true,
                           2,
                           50,
                           {task_status(7, TaskState::running)},
                           {Command::Kind::stop},
                           {}},
        FirstHeartbeatCase{"absent task of cancelled job has ended", true, 2, 50, {}, {}, {false}},
        FirstHeartbeatCase{"absent task of cancelled job may still start under an old token",
                           true,
                           2,
                           10,
                           {},
                           {Command::Kind::stop},
                           {}},
        FirstHeartbeatCase{"unrecorded attempt is stopped",
                           false,
                           2,
                           50,
                           {task_status(7, TaskState::running), task_status(3, TaskState::running)},
                           {Command::Kind::stop},
                           {}},
        FirstHeartbeatCase{
            "unrecorded ended attempt is forgotten",
            false,
            2,
            50,
            {task_status(7, TaskState::running), task_status(3, TaskState::ended, ExitCause::done)},
            {Command::Kind::forget},
            {}}),
    kCaseName);

TEST(HeartbeatHandler, IgnoresOutdatedHeartbeatsAndHigherTokens) {
  Fixture fixture;
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::running)});
  // A delayed heartbeat from before the start, without the task.
  EXPECT_EQ(fixture.heartbeat(2, 9, 50, {}).kind, HeartbeatResult::Kind::outdated);
  EXPECT_EQ(fixture.heartbeat(1, 99, 50, {}).kind, HeartbeatResult::Kind::outdated);
  EXPECT_EQ(fixture.heartbeat(2, 11, 51, {}).kind, HeartbeatResult::Kind::superseded);
  EXPECT_TRUE(fixture.fleet.observed_exits.empty());
}

// An agent that can't open connections still answers direct commands. Tasks placed there would be lost with
// its lease, so the answer must not count as a heartbeat.
TEST(HeartbeatHandler, AnswerToDirectCommandDoesNotUpdateLastHeartbeat) {
  Fixture fixture;
  const auto before = fixture.machine->last_heartbeat;
  fixture.heartbeat(2, 1, 50, {}, true);
  EXPECT_TRUE(fixture.machine->has_heartbeat);
  EXPECT_EQ(fixture.machine->last_heartbeat, before);
  fixture.heartbeat(2, 2, 50, {});
  EXPECT_EQ(fixture.machine->last_heartbeat, fixture.now);
}

// The agent's answer to a direct command may overtake the answer to its heartbeat, which may contain starts.
TEST(HeartbeatHandler, AnswerToDirectCommandDoesNotProveAbsence) {
  Fixture fixture;
  fixture.cancel();
  fixture.heartbeat(2, 10, 50, {}, true);
  EXPECT_TRUE(fixture.fleet.observed_exits.empty());
  EXPECT_EQ(fixture.machine->sequence, 10u);
}

TEST(HeartbeatHandler, StartsNothingWhileTheStateIsStale) {
  Fixture fixture;
  const auto result = fixture.heartbeat(2, 10, 50, {}, false, false);
  EXPECT_TRUE(result.commands.empty());
}

struct ReachabilityCase {
  const char* name;
  std::function<void(Fixture&)> change;
  bool unreachable;
};
class Reachability : public testing::TestWithParam<ReachabilityCase> {};
// The agent's incarnation increased although its heartbeats arrived, so the answers may not reach it.
TEST_P(Reachability, IsRestoredOnceAMessageIsKnownToArrive) {
  Fixture fixture;
  fixture.set_assignments({}, 45);
  fixture.heartbeat(2, 10, 50, {});
  EXPECT_FALSE(fixture.machine->is_unreachable());
  fixture.heartbeat(3, 11, 50, {});
  EXPECT_TRUE(fixture.machine->is_unreachable());
  GetParam().change(fixture);
  EXPECT_EQ(fixture.machine->is_unreachable(), GetParam().unreachable);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Reachability,
    testing::Values(ReachabilityCase{"heartbeats_prove_nothing",
                                     [](Fixture& fixture) { fixture.heartbeat(3, 12, 50, {}); }, true},
                    ReachabilityCase{"incarnation_longer_than_a_lease_was_answered",
                                     [](Fixture& fixture) {
                                       fixture.now += core::to_duration(12);
                                       fixture.heartbeat(3, 12, 50, {});
                                     },
                                     false},
                    ReachabilityCase{"another_new_incarnation_restarts_the_time",
                                     [](Fixture& fixture) {
                                       fixture.now += core::to_duration(12);
                                       fixture.heartbeat(4, 12, 50, {});
                                       fixture.now += core::to_duration(5);
                                       fixture.heartbeat(4, 13, 50, {});
                                     },
                                     true},
                    ReachabilityCase{"start_under_the_current_token_was_executed",
                                     [](Fixture& fixture) {
                                       fixture.set_assignments({{0, 9, fixture.machine->id, 3}}, 55);
                                       fixture.heartbeat(3, 12, 50, {task_status(9, TaskState::fetching)});
                                     },
                                     false}),
    kCaseName);

TEST(HeartbeatHandler, TaskAbsentAfterConfirmedStartHasEnded) {
  Fixture fixture;
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::running)});
  const auto result = fixture.heartbeat(2, 11, 50, {});
  EXPECT_TRUE(result.commands.empty());
  EXPECT_EQ(fixture.fleet.observed_exits.size(), 1u);
}

// Its end is not recorded yet, and the partition has a new fencing token that the agent does not know.
TEST(HeartbeatHandler, DoesNotStartAnAttemptAgainThatCountsAsGone) {
  Fixture fixture;
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::running)});
  fixture.heartbeat(2, 11, 50, {});
  ASSERT_EQ(fixture.fleet.observed_exits.size(), 1u);
  fixture.partition_token = fixture.available_token = 55;
  EXPECT_TRUE(fixture.heartbeat(2, 12, 50, {}).commands.empty());
}

// Guards against an attempt that runs while its task's next attempt is placed.
TEST(HeartbeatHandler, AttemptThatRunsAfterItCountedAsGoneIsReportedAndCountsAsPresent) {
  const core::CapturedLog log;
  Fixture fixture;
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::ended, ExitCause::stopped)});
  ASSERT_EQ(fixture.fleet.observed_exits.size(), 1u);
  EXPECT_EQ(log.count("invariant violated"), 0);
  fixture.heartbeat(2, 11, 50, {task_status(7, TaskState::running)});
  EXPECT_EQ(log.count("invariant violated rule=ran_twice job=req-1 task=0 attempt=7 machine=m"), 1);
  EXPECT_TRUE(fixture.fleet.observed_exits.empty());
}

// Without this line the log would not tell that a copy of the start could still be executed.
TEST(HeartbeatHandler, EndThatDoesNotCountYetIsLoggedOnceWithTheTokenOfItsStart) {
  const core::CapturedLog log;
  Fixture fixture;
  fixture.machine->direct_starts.record({core::JobId{0}, 0, 7}, 50, 2, fixture.now);
  const auto refused = task_status(7, TaskState::ended, ExitCause::no_room);
  for (const std::uint64_t sequence : {10u, 11u}) fixture.heartbeat(2, sequence, 50, {refused}, true);
  EXPECT_EQ(log.count("task end unconfirmed"), 1);
  EXPECT_EQ(log.count("reason=no_room start_fencing_token=50 agent_fencing_token=50"), 1);
}

TEST(HeartbeatHandler, ForgetsAttemptOnlyOnceItsEndIsRecorded) {
  Fixture fixture;
  EXPECT_TRUE(
      fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::ended, ExitCause::done)}).commands.empty());
  fixture.set_assignments({}, 70);
  EXPECT_EQ(kinds(fixture.heartbeat(2, 11, 50, {task_status(7, TaskState::ended, ExitCause::done)})),
            Kinds{Command::Kind::forget});
}

const TaskAttempt kAttempt{core::JobId{0}, 0, 7};

struct DirectStartCase {
  const char* name;
  std::uint64_t start_token, heartbeat_token;
  bool may_start;  // the agent may execute the start, or a copy of it, after the heartbeat
};
class PendingDirectStart : public testing::TestWithParam<DirectStartCase> {};
// A task of a cancelled job that is absent from the heartbeat has ended, unless a direct command may still
// start it; whether that command was answered makes no difference.
TEST_P(PendingDirectStart, KeepsTheTaskAssigned) {
  for (const bool answered : {false, true}) {
    Fixture fixture;
    fixture.available_token = 60;
    fixture.cancel();
    fixture.machine->direct_starts.record(kAttempt, GetParam().start_token, 2, fixture.now);
    if (answered) fixture.machine->direct_starts.mark_answered(kAttempt);
    fixture.heartbeat(2, 10, GetParam().heartbeat_token, {});
    EXPECT_EQ(fixture.fleet.observed_exits.size(), GetParam().may_start ? 0u : 1u) << answered;
    // The answer raises the token, and the next heartbeat proves the absence.
    fixture.heartbeat(2, 11, 60, {});
    EXPECT_EQ(fixture.fleet.observed_exits.size(), 1u) << answered;
  }
}
INSTANTIATE_TEST_SUITE_P(Table, PendingDirectStart,
                         testing::Values(DirectStartCase{"under_the_token_of_the_agent", 50, 50, true},
                                         DirectStartCase{"under_a_raised_token", 55, 55, true},
                                         DirectStartCase{"under_a_token_not_seen_by_the_agent", 55, 50, true},
                                         DirectStartCase{"under_a_lower_token", 50, 55, false},
                                         DirectStartCase{"under_an_earlier_leaders_token", 49, 50, false}),
                         kCaseName);

struct RenewalCase {
  const char* name;
  std::optional<std::uint64_t> start_token;  // of a direct start that may still arrive
  std::uint64_t available_token;
  double cancelled_s_ago;
  bool outdated;
  std::vector<wire::TaskStatus> tasks;
  HeartbeatResult::Kind kind;
};
class RenewedLease : public testing::TestWithParam<RenewalCase> {};
// Guards against a cancelled task that runs on, or starts, under a lease that a leader renews which knows of
// the cancellation.
TEST_P(RenewedLease, DoesNotOutlastACancellationUnlessItsTaskIsStoppedForGood) {
  const auto& c = GetParam();
  Fixture fixture;
  fixture.available_token = c.available_token;
  fixture.cancel();
  fixture.now += core::to_duration(c.cancelled_s_ago);
  if (c.start_token) fixture.machine->direct_starts.record(kAttempt, *c.start_token, 2, fixture.now);
  if (c.outdated) fixture.heartbeat(2, 20, 50, {task_status(7, TaskState::running)}, true);
  const auto result = fixture.heartbeat(2, 10, 50, c.tasks);
  EXPECT_EQ(result.kind, c.kind);
  EXPECT_EQ(kinds(result), Kinds{Command::Kind::stop});
  const bool voids_start = fixture.machine->command_token({50, 50}) > c.start_token.value_or(0);
  EXPECT_EQ(voids_start, !c.start_token || c.available_token > *c.start_token);
}
INSTANTIATE_TEST_SUITE_P(
    Table, RenewedLease,
    testing::Values(
        RenewalCase{"shown_task_is_stopped",
                    std::nullopt,
                    50,
                    100,
                    false,
                    {task_status(7, TaskState::running)},
                    HeartbeatResult::Kind::answer},
        RenewalCase{"start_is_made_void", 50, 60, 100, false, {}, HeartbeatResult::Kind::answer},
        RenewalCase{
            "start_may_come_within_the_window", 50, 50, 16.8, false, {}, HeartbeatResult::Kind::answer},
        RenewalCase{
            "start_may_come_after_the_window", 50, 50, 17, false, {}, HeartbeatResult::Kind::not_renewed},
        RenewalCase{"outdated_heartbeat_with_a_recorded_task",
                    std::nullopt,
                    50,
                    100,
                    true,
                    {},
                    HeartbeatResult::Kind::outdated},
        RenewalCase{
            "outdated_heartbeat_start_is_made_void", 50, 60, 100, true, {}, HeartbeatResult::Kind::outdated},
        RenewalCase{
            "outdated_heartbeat_start_may_come", 50, 50, 100, true, {}, HeartbeatResult::Kind::not_renewed}),
    kCaseName);

// A task that no record names is stopped by an outdated heartbeat's answer too.
TEST(HeartbeatHandler, StopsAnUnrecordedTaskOfACancelledJobThatAnOutdatedHeartbeatShows) {
  Fixture fixture;
  fixture.set_assignments({}, 42);
  fixture.cancel();
  fixture.heartbeat(2, 20, 50, {}, true);
  const auto result = fixture.heartbeat(2, 10, 50, {task_status(3, TaskState::running)});
  EXPECT_EQ(kinds(result), Kinds{Command::Kind::stop});
}

struct OverdueCase {
  const char* name;
  double seen_s;  // after the cancellation was learnt
  bool is_direct_answer;
  TaskState state;
  int reports;
};
class OverdueTask : public testing::TestWithParam<OverdueCase> {};
TEST_P(OverdueTask, IsReportedIfItCertainlyRanOnTooLong) {
  const auto& c = GetParam();
  Fixture fixture;
  fixture.cancel();
  fixture.now += core::to_duration(c.seen_s);
  const core::CapturedLog log;
  fixture.heartbeat(2, 20, 50, {task_status(7, c.state)}, c.is_direct_answer);
  EXPECT_EQ(log.count("invariant violated rule=ran_cancelled"), c.reports);
}
INSTANTIATE_TEST_SUITE_P(
    Table, OverdueTask,
    testing::Values(OverdueCase{"in_time", 32.9, true, TaskState::running, 0},
                    OverdueCase{"too_late", 33.1, true, TaskState::running, 1},
                    OverdueCase{"too_late_without_its_image", 33.1, true, TaskState::fetching, 0},
                    OverdueCase{"ended", 33.1, true, TaskState::ended, 0},
                    OverdueCase{"heartbeat_that_may_be_late", 33.1, false, TaskState::running, 0}),
    kCaseName);

struct ForgetCase {
  const char* name;
  std::uint64_t start_token;  // 0: no direct start was sent
  std::uint64_t available_token;
  bool forgotten;
  std::uint64_t command_token;  // of the answer: the lowest above the start
};
class ForgottenAttempt : public testing::TestWithParam<ForgetCase> {};
// Guards against a copy of an answered start that starts a forgotten attempt once more.
TEST_P(ForgottenAttempt, HasNoStartThatTheAgentWouldExecuteAgain) {
  Fixture fixture;
  fixture.set_assignments({}, 70);
  if (GetParam().start_token != 0) {
    fixture.machine->direct_starts.record(kAttempt, GetParam().start_token, 2, fixture.now);
    fixture.machine->direct_starts.mark_answered(kAttempt);
  }
  fixture.available_token = GetParam().available_token;
  const auto ended = task_status(7, TaskState::ended, ExitCause::done);
  const auto result = fixture.heartbeat(2, 10, 50, {ended});
  EXPECT_EQ(kinds(result), GetParam().forgotten ? Kinds{Command::Kind::forget} : Kinds{});
  EXPECT_EQ(fixture.machine->command_token({50, fixture.available_token}), GetParam().command_token);
}
INSTANTIATE_TEST_SUITE_P(Table, ForgottenAttempt,
                         testing::Values(ForgetCase{"started_under_the_agents_token", 50, 60, true, 51},
                                         ForgetCase{"no_higher_token_available", 50, 50, false, 50},
                                         ForgetCase{"started_by_the_answer_to_a_heartbeat", 0, 60, true, 50},
                                         ForgetCase{"started_under_an_earlier_token", 49, 60, true, 50}),
                         kCaseName);

// Guards against a copy of the start that a machine executes after it has lost its tasks.
TEST(HeartbeatHandler, RaisesTheTokenWithTheFirstHeartbeatThatShowsTheTask) {
  Fixture fixture;
  fixture.available_token = 60;
  fixture.machine->direct_starts.record(kAttempt, 50, 2, fixture.now);
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::running)});
  EXPECT_EQ(fixture.machine->command_token({50, 60}), 51u);
  fixture.heartbeat(2, 11, 51, {task_status(7, TaskState::ended, ExitCause::done)});
  EXPECT_EQ(fixture.fleet.observed_exits.size(), 1u) << "the start is void already";
  EXPECT_FALSE(fixture.machine->has_unconfirmed_ends);
  EXPECT_EQ(fixture.machine->command_token({50, 60}), 51u);
}

struct ShownEndCase {
  const char* name;
  std::uint64_t start_token;  // 0: started by the answer to a heartbeat, or by an earlier leader
  std::uint64_t heartbeat_token;
  bool counts;
};
class ShownEnd : public testing::TestWithParam<ShownEndCase> {};
// The agent refuses copies of the start only while it lists the attempt, and it may lose its tasks.
TEST_P(ShownEnd, CountsOnceNoStartOfTheAttemptCanBeExecuted) {
  for (const bool is_direct_answer : {false, true}) {
    Fixture fixture;
    fixture.available_token = 60;
    if (GetParam().start_token != 0)
      fixture.machine->direct_starts.record(kAttempt, GetParam().start_token, 2, fixture.now);
    const auto ended = task_status(7, TaskState::ended, ExitCause::no_room);
    fixture.heartbeat(2, 10, GetParam().heartbeat_token, {ended}, is_direct_answer);
    EXPECT_EQ(fixture.fleet.observed_exits.size(), GetParam().counts ? 1u : 0u) << is_direct_answer;
    EXPECT_EQ(fixture.machine->has_unconfirmed_ends, !GetParam().counts) << is_direct_answer;
    // The next message carries a token above the start's, and the one after it proves the end.
    const auto raised = fixture.machine->command_token({50, 60});
    EXPECT_GT(raised, GetParam().start_token);
    fixture.heartbeat(2, 11, raised, {ended}, true);
    EXPECT_EQ(fixture.fleet.observed_exits.size(), 1u) << is_direct_answer;
    EXPECT_FALSE(fixture.machine->has_unconfirmed_ends);
  }
}
INSTANTIATE_TEST_SUITE_P(Table, ShownEnd,
                         testing::Values(ShownEndCase{"under_the_token_of_its_start", 50, 50, false},
                                         ShownEndCase{"under_a_raised_token_of_its_start", 55, 55, false},
                                         ShownEndCase{"under_a_token_below_its_start", 55, 50, false},
                                         ShownEndCase{"under_a_token_above_its_start", 50, 51, true},
                                         ShownEndCase{"started_by_an_answer", 0, 50, true},
                                         ShownEndCase{"before_the_agent_obeys_this_leader", 0, 49, false}),
                         kCaseName);

struct ReplacedAttemptCase {
  const char* name;
  std::uint64_t available_token;
  bool started;
};
class ReplacedAttempt : public testing::TestWithParam<ReplacedAttemptCase> {};
// The agent may forget the ended attempt when it starts the task's next one.
TEST_P(ReplacedAttempt, HasNoStartThatTheAgentWouldExecuteAgain) {
  Fixture fixture;
  fixture.set_assignments({{0, 9, fixture.machine->id, 2}}, 55);
  fixture.machine->direct_starts.record(kAttempt, 50, 2, fixture.now);
  fixture.available_token = GetParam().available_token;
  const auto result = fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::ended, ExitCause::stopped)});
  const auto started = kinds(result);
  EXPECT_EQ(std::count(started.begin(), started.end(), Command::Kind::start), GetParam().started ? 1 : 0);
  EXPECT_EQ(fixture.machine->command_token({50, fixture.available_token}), GetParam().started ? 51u : 50u);
}
INSTANTIATE_TEST_SUITE_P(Table, ReplacedAttempt,
                         testing::Values(ReplacedAttemptCase{"higher_token_available", 60, true},
                                         ReplacedAttemptCase{"no_higher_token_available", 50, false}),
                         kCaseName);

// A machine that was dropped from the fleet and is back obeys a token that this leader gave it before.
TEST(HeartbeatHandler, TakesUpATokenThatItGaveBefore) {
  Fixture fixture;
  fixture.available_token = 60;
  EXPECT_EQ(fixture.heartbeat(2, 10, 58, {task_status(7, TaskState::running)}).kind,
            HeartbeatResult::Kind::answer);
  EXPECT_EQ(fixture.machine->command_token({50, 60}), 58u);
  EXPECT_EQ(fixture.heartbeat(2, 11, 61, {}).kind, HeartbeatResult::Kind::superseded);
}

TEST(HeartbeatHandler, StopsBrokenGangAndDoesNotStartIt) {
  Fixture fixture(true, 2);  // one of its two tasks is assigned
  EXPECT_EQ(kinds(fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::waiting)})),
            Kinds{Command::Kind::stop});
  Fixture fresh(true, 2);
  EXPECT_TRUE(fresh.heartbeat(2, 10, 50, {}).commands.empty());
  EXPECT_EQ(fresh.fleet.observed_exits.size(), 1u);
}

TEST(HeartbeatHandler, StopsPreemptedTaskWithGraceOnlyOnce) {
  Fixture fixture;
  fixture.fleet.preempting[{core::JobId{0}, 0, 7}] = 9;
  const auto result = fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::running)});
  ASSERT_EQ(result.commands.size(), 1u);
  EXPECT_DOUBLE_EQ(result.commands[0].grace_s, 9);
  EXPECT_TRUE(fixture.heartbeat(2, 11, 50, {task_status(7, TaskState::saving)}).commands.empty());
  fixture.cancel();
  const auto cancelled = fixture.heartbeat(2, 12, 50, {task_status(7, TaskState::saving)});
  ASSERT_EQ(cancelled.commands.size(), 1u);
  EXPECT_DOUBLE_EQ(cancelled.commands[0].grace_s, 0);
}

TEST(HeartbeatHandler, QuarantinesMachineAfterFailuresOfSeveralJobs) {
  Fixture fixture;
  fixture.heartbeat(2, 10, 50, {task_status(7, TaskState::ended, ExitCause::error)});
  EXPECT_FALSE(fixture.machine->quarantined);
  fixture.machine->failed_jobs.insert(core::JobId{9});
  fixture.fleet.observed_exits.clear();
  fixture.heartbeat(2, 11, 50, {task_status(7, TaskState::ended, ExitCause::error)});
  EXPECT_TRUE(fixture.machine->quarantined);
}

TEST(HeartbeatHandler, DeletedMachineEndsItsAssignments) {
  Fixture fixture;
  mark_assignments_ended(fixture.names, fixture.cache, fixture.fleet, fixture.machine->id,
                         ExitProof::machine_deleted);
  EXPECT_EQ(fixture.fleet.observed_exits.size(), 1u);
}

}  // namespace
}  // namespace finchrun::agent
