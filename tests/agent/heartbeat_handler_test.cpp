#include "agent/heartbeat_handler.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace finchrun::agent {
namespace {

namespace json = boost::json;
using wire::Command;
using wire::ExitCause;
using wire::TaskState;

// One part, one machine "m" in incarnation 2, one record: task 0, attempt 7 on "m". Our fencing token is 50.
struct Bed {
  explicit Bed(bool gang = false, std::uint32_t tasks = 1) : cache(prepare(names), 1, 1) {
    state::KeyUpdate job{"jobs/req-1", std::nullopt, 40};
    jobs::JobRecord r;
    r.spec.job_class = names.job_classes.intern("lane");
    r.spec.team = core::TeamId{0};
    r.spec.image = names.images.intern("img");
    r.spec.shape = gang ? jobs::Shape::gang : jobs::Shape::array;
    r.spec.tasks = tasks;
    r.ranges = {{0, tasks, core::PartitionId{0}}};
    job.value = jobs::to_json(r, names);
    cache.apply(job);
    machine = &fleet.intern(names, "m");
    machine->partition = core::PartitionId{0};
    set_entries({{0, 7, machine->id, 2}}, 41);
  }
  static jobs::Names& prepare(jobs::Names& n) {
    n.teams.intern("red");
    n.partitions.intern("a.0");
    return n;
  }
  void set_entries(std::vector<jobs::TaskAssignment> assignments, std::uint64_t revision) {
    jobs::JobAssignments run;
    run.assignments = std::move(assignments);
    cache.apply(
        {"runs/a.0/0", json::object{{"jobs", json::object{{"req-1", jobs::to_json(run, names)}}}}, revision});
  }
  void cancel() {
    jobs::JobRecord r = *cache.job(core::JobId{0});
    r.status = jobs::Status::cancelled;
    cache.apply({"jobs/req-1", jobs::to_json(r, names), 60});
  }
  HeartbeatResult heartbeat(std::uint64_t agent_incarnation, std::uint64_t sequence,
                            std::uint64_t fencing_token, std::vector<wire::TaskStatus> tasks,
                            bool direct = false, bool may_start = true) {
    wire::Heartbeat r;
    r.machine = "m";
    r.agent_incarnation = agent_incarnation;
    r.sequence = sequence;
    r.fencing_token = fencing_token;
    r.tasks = std::move(tasks);
    return handle_heartbeat({names, cache, fleet, job_failures, 50, now, 10, may_start, direct}, *machine, r);
  }
  jobs::Names names;
  state::StateCache cache;
  Fleet fleet;
  std::unordered_map<core::JobId, JobFailures> job_failures;
  core::TimePoint now{core::to_duration(1000)};
  Machine* machine = nullptr;
};

// However a replica ends, `done` included, the job goes on and the replica runs again.
TEST(Standing, AReplicaIsNeverDone) {
  for (const auto cause : {ExitCause::done, ExitCause::error, ExitCause::stopped}) {
    Bed b;
    auto r = *b.cache.job(core::JobId{0});
    r.spec.shape = jobs::Shape::standing;
    b.cache.apply({"jobs/req-1", jobs::to_json(r, b.names), 45});
    b.heartbeat(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, cause, false}});
    ASSERT_EQ(b.fleet.observed_exits.size(), 1u);
    EXPECT_FALSE(b.fleet.observed_exits.begin()->done);
  }
}

// Failures long apart, on machines that are gone since, do not point at the job.
TEST(Standing, OldFailuresDoNotHoldAReplicaBack) {
  for (const double apart_s : {10.0, 600.0}) {
    Bed b;
    b.job_failures[core::JobId{0}].machines.insert(core::MachineId{77});
    b.job_failures[core::JobId{0}].last_failure = b.now;
    b.now += core::to_duration(apart_s);
    b.heartbeat(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, ExitCause::error, false}});
    EXPECT_EQ(b.job_failures[core::JobId{0}].retry_at > b.now, apart_s < 100) << apart_s;
  }
}

wire::TaskStatus piece(std::uint64_t attempt, TaskState state, ExitCause cause = ExitCause::none) {
  return {"req-1", 0, attempt, state, cause, false};
}
std::vector<Command::Kind> kinds(const HeartbeatResult& r) {
  std::vector<Command::Kind> out;
  for (const auto& o : r.commands) out.push_back(o.kind);
  return out;
}
using Kinds = std::vector<Command::Kind>;

struct Case {
  const char* name;
  bool cancelled;
  std::uint64_t agent_incarnation, fencing_token;
  std::vector<wire::TaskStatus> tasks;
  Kinds commands;
  std::vector<bool> observed_exits;  // done?, one for each fact
};
class FirstReport : public testing::TestWithParam<Case> {};
TEST_P(FirstReport, MeansAndIsAnswered) {
  const auto& c = GetParam();
  Bed bed;
  if (c.cancelled) bed.cancel();
  const auto result = bed.heartbeat(c.agent_incarnation, 5, c.fencing_token, c.tasks);
  EXPECT_EQ(result.kind, HeartbeatResult::Kind::answer);
  EXPECT_EQ(kinds(result), c.commands);
  std::vector<bool> observed_exits;
  for (const auto& f : bed.fleet.observed_exits) observed_exits.push_back(f.done);
  EXPECT_EQ(observed_exits, c.observed_exits);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FirstReport,
    testing::Values(
        Case{"recorded and absent is started", false, 2, 50, {}, {Command::Kind::start}, {}},
        Case{"running stays", false, 2, 50, {piece(7, TaskState::running)}, {}, {}},
        Case{"a later session has lost it", false, 3, 50, {}, {}, {false}},
        Case{"a later session is proof under any token", false, 3, 10, {}, {}, {false}},
        Case{"completed", false, 2, 50, {piece(7, TaskState::ended, ExitCause::done)}, {}, {true}},
        Case{"stopped", false, 2, 50, {piece(7, TaskState::ended, ExitCause::stopped)}, {}, {false}},
        Case{"cancelled and running is stopped",
             true,
             2,
             50,
             {piece(7, TaskState::running)},
             {Command::Kind::stop},
             {}},
        Case{"cancelled and absent is gone", true, 2, 50, {}, {}, {false}},
        Case{"cancelled and absent under an old token may still start", true, 2, 10, {}, {}, {}},
        Case{"unknown attempt is stopped",
             false,
             2,
             50,
             {piece(7, TaskState::running), piece(3, TaskState::running)},
             {Command::Kind::stop},
             {}},
        Case{"unknown ended attempt is forgotten",
             false,
             2,
             50,
             {piece(7, TaskState::running), piece(3, TaskState::ended, ExitCause::done)},
             {Command::Kind::forget},
             {}}),
    [](const auto& info) {
      std::string name = info.param.name;
      for (char& ch : name)
        if (ch == ' ') ch = '_';
      return name;
    });

TEST(Reports, OlderOnesAndHigherTokensChangeNothing) {
  Bed bed;
  bed.heartbeat(2, 10, 50, {piece(7, TaskState::running)});
  // Held back by the network and delivered late: it says the task is not there, which was true once.
  EXPECT_EQ(bed.heartbeat(2, 9, 50, {}).kind, HeartbeatResult::Kind::outdated);
  EXPECT_EQ(bed.heartbeat(1, 99, 50, {}).kind, HeartbeatResult::Kind::outdated);
  EXPECT_EQ(bed.heartbeat(2, 11, 51, {}).kind, HeartbeatResult::Kind::deposed);
  EXPECT_TRUE(bed.fleet.observed_exits.empty());
}

// An agent that can't open connections still answers commands; nothing may be placed there.
TEST(Reports, AnAnswerToAnOrderIsNoSignThatTheWorkerReachesUs) {
  Bed bed;
  const auto before = bed.machine->last_heartbeat;
  bed.heartbeat(2, 1, 50, {}, true);
  EXPECT_TRUE(bed.machine->has_heartbeat);
  EXPECT_EQ(bed.machine->last_heartbeat, before);
  bed.heartbeat(2, 2, 50, {});
  EXPECT_EQ(bed.machine->last_heartbeat, bed.now);
}

// The agent's answer to a direct command overtakes the answer to its heartbeat, in which starts may be.
TEST(Reports, AnswersToDirectOrdersProveNoAbsence) {
  Bed bed;
  bed.cancel();
  bed.heartbeat(2, 10, 50, {}, true);
  EXPECT_TRUE(bed.fleet.observed_exits.empty());
  EXPECT_EQ(bed.machine->sequence, 10u);
}

TEST(Reports, NothingStartsWithoutNews) {
  Bed bed;
  const auto out = bed.heartbeat(2, 10, 50, {}, false, false);
  EXPECT_TRUE(out.commands.empty());
}

struct DeafCase {
  const char* name;
  std::function<void(Bed&)> writes;
  bool unreachable;
};
class Deaf : public testing::TestWithParam<DeafCase> {};
// Its incarnation went up although its heartbeats came: what we say may not reach it.
TEST_P(Deaf, UntilSomethingShowsThatOrdersArrive) {
  Bed bed;
  bed.set_entries({}, 45);
  bed.heartbeat(2, 10, 50, {});
  EXPECT_FALSE(bed.machine->unreachable());
  bed.heartbeat(3, 11, 50, {});
  EXPECT_TRUE(bed.machine->unreachable());
  GetParam().writes(bed);
  EXPECT_EQ(bed.machine->unreachable(), GetParam().unreachable);
}
INSTANTIATE_TEST_SUITE_P(Table, Deaf,
                         testing::Values(DeafCase{"reports_alone_show_nothing",
                                                  [](Bed& b) { b.heartbeat(3, 12, 50, {}); }, true},
                                         DeafCase{"a_session_that_outlives_a_lease_was_answered",
                                                  [](Bed& b) {
                                                    b.now += core::to_duration(12);
                                                    b.heartbeat(3, 12, 50, {});
                                                  },
                                                  false},
                                         DeafCase{"another_lost_session_counts_anew",
                                                  [](Bed& b) {
                                                    b.now += core::to_duration(12);
                                                    b.heartbeat(4, 12, 50, {});
                                                    b.now += core::to_duration(5);
                                                    b.heartbeat(4, 13, 50, {});
                                                  },
                                                  true},
                                         DeafCase{"a_start_of_ours_is_seen",
                                                  [](Bed& b) {
                                                    b.set_entries({{0, 9, b.machine->id, 3}}, 55);
                                                    b.heartbeat(3, 12, 50, {piece(9, TaskState::fetching)});
                                                  },
                                                  false}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Reports, SeenThenAbsentIsGone) {
  Bed bed;
  bed.heartbeat(2, 10, 50, {piece(7, TaskState::running)});
  const auto r = bed.heartbeat(2, 11, 50, {});
  EXPECT_TRUE(r.commands.empty());
  EXPECT_EQ(bed.fleet.observed_exits.size(), 1u);
}

TEST(Reports, ForgetOnlyOnceTheEndIsRecorded) {
  Bed bed;
  EXPECT_TRUE(bed.heartbeat(2, 10, 50, {piece(7, TaskState::ended, ExitCause::done)}).commands.empty());
  bed.set_entries({}, 70);
  EXPECT_EQ(kinds(bed.heartbeat(2, 11, 50, {piece(7, TaskState::ended, ExitCause::done)})),
            Kinds{Command::Kind::forget});
}

struct SentCase {
  const char* name;
  DirectStart sent;
  std::size_t observed_exits;
};
class SentOrder : public testing::TestWithParam<SentCase> {};
// Cancelled and absent from heartbeat 10: gone, unless a command sent straight to the agent may still start
// it.
TEST_P(SentOrder, KeepsTheTaskBooked) {
  Bed bed;
  bed.cancel();
  bed.fleet.direct_starts[{core::JobId{0}, 0, 7}] = GetParam().sent;
  bed.heartbeat(2, 10, 50, {});
  EXPECT_EQ(bed.fleet.observed_exits.size(), GetParam().observed_exits);
  // Its end was recorded, but forgetting it would let the late order start it again.
  bed.set_entries({}, 70);
  const auto r = bed.heartbeat(2, 20, 50, {piece(7, TaskState::ended, ExitCause::stopped)});
  EXPECT_EQ(r.commands.empty(), !GetParam().sent.answered_sequence && GetParam().sent.fencing_token == 50);
}
INSTANTIATE_TEST_SUITE_P(Table, SentOrder,
                         testing::Values(SentCase{"unanswered", {50, std::nullopt, {}}, 0},
                                         SentCase{
                                             "unanswered_under_an_older_term", {49, std::nullopt, {}}, 1},
                                         SentCase{"answered_after_this_report_was_made", {50, 12, {}}, 0},
                                         SentCase{"answered_before", {50, 9, {}}, 1}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Reports, BrokenGangIsStoppedAndNotStarted) {
  Bed bed(true, 2);  // the record holds one of two tasks
  EXPECT_EQ(kinds(bed.heartbeat(2, 10, 50, {piece(7, TaskState::waiting)})), Kinds{Command::Kind::stop});
  Bed fresh(true, 2);
  EXPECT_TRUE(fresh.heartbeat(2, 10, 50, {}).commands.empty());
  EXPECT_EQ(fresh.fleet.observed_exits.size(), 1u);
}

TEST(Reports, StopKeepsGraceAndSavingIsLeftAlone) {
  Bed bed;
  bed.fleet.preempting[{core::JobId{0}, 0, 7}] = 9;
  const auto r = bed.heartbeat(2, 10, 50, {piece(7, TaskState::running)});
  ASSERT_EQ(r.commands.size(), 1u);
  EXPECT_DOUBLE_EQ(r.commands[0].grace_s, 9);
  EXPECT_TRUE(bed.heartbeat(2, 11, 50, {piece(7, TaskState::saving)}).commands.empty());
  bed.cancel();
  const auto hard = bed.heartbeat(2, 12, 50, {piece(7, TaskState::saving)});
  ASSERT_EQ(hard.commands.size(), 1u);
  EXPECT_DOUBLE_EQ(hard.commands[0].grace_s, 0);
}

TEST(Reports, SeveralJobsFailingPointAtTheMachine) {
  Bed bed;
  bed.heartbeat(2, 10, 50, {piece(7, TaskState::ended, ExitCause::error)});
  EXPECT_FALSE(bed.machine->quarantined);
  bed.machine->failed_jobs.insert(core::JobId{9});
  bed.fleet.observed_exits.clear();
  bed.heartbeat(2, 11, 50, {piece(7, TaskState::ended, ExitCause::error)});
  EXPECT_TRUE(bed.machine->quarantined);
}

TEST(Reports, DeletedMachineTakesItsEntriesAlong) {
  Bed bed;
  machine_gone(bed.cache, bed.fleet, bed.machine->id);
  EXPECT_EQ(bed.fleet.observed_exits.size(), 1u);
}

}  // namespace
}  // namespace finchrun::agent
