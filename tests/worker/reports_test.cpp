#include "worker/reports.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace finchrun::worker {
namespace {

namespace json = boost::json;
using wire::Cause;
using wire::Order;
using wire::TaskState;

// One part, one machine "m" in session 2, one record: task 0, attempt 7 on "m". Our token is 50.
struct Bed {
  explicit Bed(bool gang = false, std::uint32_t tasks = 1) : mirror(prepare(names), 1, 1) {
    state::Event job{"jobs/req-1", std::nullopt, 40};
    jobs::JobRecord r;
    r.spec.lane = names.lanes.intern("lane");
    r.spec.team = core::TeamId{0};
    r.spec.image = names.images.intern("img");
    r.spec.shape = gang ? jobs::Shape::gang : jobs::Shape::array;
    r.spec.tasks = tasks;
    r.ranges = {{0, tasks, core::PartId{0}}};
    job.value = jobs::to_json(r, names);
    mirror.apply(job);
    machine = &fleet.intern(names, "m");
    machine->part = core::PartId{0};
    set_entries({{0, 7, machine->id, 2}}, 41);
  }
  static jobs::Names& prepare(jobs::Names& n) {
    n.teams.intern("red");
    n.parts.intern("a.0");
    return n;
  }
  void set_entries(std::vector<jobs::Entry> entries, std::uint64_t stamp) {
    jobs::RunRecord run;
    run.entries = std::move(entries);
    mirror.apply(
        {"runs/a.0/0", json::object{{"jobs", json::object{{"req-1", jobs::to_json(run, names)}}}}, stamp});
  }
  void cancel() {
    jobs::JobRecord r = *mirror.job(core::JobId{0});
    r.status = jobs::Status::cancelled;
    mirror.apply({"jobs/req-1", jobs::to_json(r, names), 60});
  }
  ReportResult report(std::uint64_t session, std::uint64_t seq, std::uint64_t token,
                      std::vector<wire::Piece> pieces, bool direct = false, bool may_start = true) {
    wire::Report r;
    r.machine = "m";
    r.session = session;
    r.seq = seq;
    r.token = token;
    r.pieces = std::move(pieces);
    return take_report({names, mirror, fleet, trouble, 50, now, 10, may_start, direct}, *machine, r);
  }
  jobs::Names names;
  state::Mirror mirror;
  Fleet fleet;
  std::unordered_map<core::JobId, JobTrouble> trouble;
  core::TimePoint now{core::secs(1000)};
  Machine* machine = nullptr;
};

// However a replica ends, `done` included, the job goes on and the replica runs again.
TEST(Standing, AReplicaIsNeverDone) {
  for (const auto cause : {Cause::done, Cause::error, Cause::stopped}) {
    Bed b;
    auto r = *b.mirror.job(core::JobId{0});
    r.spec.shape = jobs::Shape::standing;
    b.mirror.apply({"jobs/req-1", jobs::to_json(r, b.names), 45});
    b.report(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, cause, false}});
    ASSERT_EQ(b.fleet.facts.size(), 1u);
    EXPECT_FALSE(b.fleet.facts.begin()->done);
  }
}

// Failures long apart, on machines that are gone since, do not point at the job.
TEST(Standing, OldFailuresDoNotHoldAReplicaBack) {
  for (const double apart_s : {10.0, 600.0}) {
    Bed b;
    b.trouble[core::JobId{0}].machines.insert(core::MachineId{77});
    b.trouble[core::JobId{0}].last_failure = b.now;
    b.now += core::secs(apart_s);
    b.report(2, 1, 50, {{"req-1", 0, 7, TaskState::ended, Cause::error, false}});
    EXPECT_EQ(b.trouble[core::JobId{0}].retry_at > b.now, apart_s < 100) << apart_s;
  }
}

wire::Piece piece(std::uint64_t attempt, TaskState state, Cause cause = Cause::none) {
  return {"req-1", 0, attempt, state, cause, false};
}
std::vector<Order::Kind> kinds(const ReportResult& r) {
  std::vector<Order::Kind> out;
  for (const auto& o : r.orders) out.push_back(o.kind);
  return out;
}
using Kinds = std::vector<Order::Kind>;

struct Case {
  const char* name;
  bool cancelled;
  std::uint64_t session, token;
  std::vector<wire::Piece> pieces;
  Kinds orders;
  std::vector<bool> facts;  // done?, one for each fact
};
class FirstReport : public testing::TestWithParam<Case> {};
TEST_P(FirstReport, MeansAndIsAnswered) {
  const auto& c = GetParam();
  Bed bed;
  if (c.cancelled) bed.cancel();
  const auto result = bed.report(c.session, 5, c.token, c.pieces);
  EXPECT_EQ(result.kind, ReportResult::Kind::answer);
  EXPECT_EQ(kinds(result), c.orders);
  std::vector<bool> facts;
  for (const auto& f : bed.fleet.facts) facts.push_back(f.done);
  EXPECT_EQ(facts, c.facts);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FirstReport,
    testing::Values(Case{"recorded and absent is started", false, 2, 50, {}, {Order::Kind::start}, {}},
                    Case{"running stays", false, 2, 50, {piece(7, TaskState::running)}, {}, {}},
                    Case{"a later session has lost it", false, 3, 50, {}, {}, {false}},
                    Case{"a later session is proof under any token", false, 3, 10, {}, {}, {false}},
                    Case{"completed", false, 2, 50, {piece(7, TaskState::ended, Cause::done)}, {}, {true}},
                    Case{"stopped", false, 2, 50, {piece(7, TaskState::ended, Cause::stopped)}, {}, {false}},
                    Case{"cancelled and running is stopped",
                         true,
                         2,
                         50,
                         {piece(7, TaskState::running)},
                         {Order::Kind::stop},
                         {}},
                    Case{"cancelled and absent is gone", true, 2, 50, {}, {}, {false}},
                    Case{"cancelled and absent under an old token may still start", true, 2, 10, {}, {}, {}},
                    Case{"unknown attempt is stopped",
                         false,
                         2,
                         50,
                         {piece(7, TaskState::running), piece(3, TaskState::running)},
                         {Order::Kind::stop},
                         {}},
                    Case{"unknown ended attempt is forgotten",
                         false,
                         2,
                         50,
                         {piece(7, TaskState::running), piece(3, TaskState::ended, Cause::done)},
                         {Order::Kind::forget},
                         {}}),
    [](const auto& info) {
      std::string name = info.param.name;
      for (char& ch : name)
        if (ch == ' ') ch = '_';
      return name;
    });

TEST(Reports, OlderOnesAndHigherTokensChangeNothing) {
  Bed bed;
  bed.report(2, 10, 50, {piece(7, TaskState::running)});
  // Held back by the network and delivered late: it says the task is not there, which was true once.
  EXPECT_EQ(bed.report(2, 9, 50, {}).kind, ReportResult::Kind::outdated);
  EXPECT_EQ(bed.report(1, 99, 50, {}).kind, ReportResult::Kind::outdated);
  EXPECT_EQ(bed.report(2, 11, 51, {}).kind, ReportResult::Kind::deposed);
  EXPECT_TRUE(bed.fleet.facts.empty());
}

// A worker that can't open connections still answers orders; nothing may be placed there.
TEST(Reports, AnAnswerToAnOrderIsNoSignThatTheWorkerReachesUs) {
  Bed bed;
  const auto before = bed.machine->last_report;
  bed.report(2, 1, 50, {}, true);
  EXPECT_TRUE(bed.machine->reported);
  EXPECT_EQ(bed.machine->last_report, before);
  bed.report(2, 2, 50, {});
  EXPECT_EQ(bed.machine->last_report, bed.now);
}

// The worker's answer to a direct order overtakes the answer to its report, in which starts may be.
TEST(Reports, AnswersToDirectOrdersProveNoAbsence) {
  Bed bed;
  bed.cancel();
  bed.report(2, 10, 50, {}, true);
  EXPECT_TRUE(bed.fleet.facts.empty());
  EXPECT_EQ(bed.machine->seq, 10u);
}

TEST(Reports, NothingStartsWithoutNews) {
  Bed bed;
  const auto out = bed.report(2, 10, 50, {}, false, false);
  EXPECT_TRUE(out.orders.empty());
}

struct DeafCase {
  const char* name;
  std::function<void(Bed&)> then;
  bool deaf;
};
class Deaf : public testing::TestWithParam<DeafCase> {};
// Its session went up although its reports came: what we say may not reach it.
TEST_P(Deaf, UntilSomethingShowsThatOrdersArrive) {
  Bed bed;
  bed.set_entries({}, 45);
  bed.report(2, 10, 50, {});
  EXPECT_FALSE(bed.machine->deaf());
  bed.report(3, 11, 50, {});
  EXPECT_TRUE(bed.machine->deaf());
  GetParam().then(bed);
  EXPECT_EQ(bed.machine->deaf(), GetParam().deaf);
}
INSTANTIATE_TEST_SUITE_P(Table, Deaf,
                         testing::Values(DeafCase{"reports_alone_show_nothing",
                                                  [](Bed& b) { b.report(3, 12, 50, {}); }, true},
                                         DeafCase{"a_session_that_outlives_a_lease_was_answered",
                                                  [](Bed& b) {
                                                    b.now += core::secs(12);
                                                    b.report(3, 12, 50, {});
                                                  },
                                                  false},
                                         DeafCase{"another_lost_session_counts_anew",
                                                  [](Bed& b) {
                                                    b.now += core::secs(12);
                                                    b.report(4, 12, 50, {});
                                                    b.now += core::secs(5);
                                                    b.report(4, 13, 50, {});
                                                  },
                                                  true},
                                         DeafCase{"a_start_of_ours_is_seen",
                                                  [](Bed& b) {
                                                    b.set_entries({{0, 9, b.machine->id, 3}}, 55);
                                                    b.report(3, 12, 50, {piece(9, TaskState::fetching)});
                                                  },
                                                  false}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Reports, SeenThenAbsentIsGone) {
  Bed bed;
  bed.report(2, 10, 50, {piece(7, TaskState::running)});
  const auto r = bed.report(2, 11, 50, {});
  EXPECT_TRUE(r.orders.empty());
  EXPECT_EQ(bed.fleet.facts.size(), 1u);
}

TEST(Reports, ForgetOnlyOnceTheEndIsRecorded) {
  Bed bed;
  EXPECT_TRUE(bed.report(2, 10, 50, {piece(7, TaskState::ended, Cause::done)}).orders.empty());
  bed.set_entries({}, 70);
  EXPECT_EQ(kinds(bed.report(2, 11, 50, {piece(7, TaskState::ended, Cause::done)})),
            Kinds{Order::Kind::forget});
}

struct SentCase {
  const char* name;
  Sent sent;
  std::size_t facts;
};
class SentOrder : public testing::TestWithParam<SentCase> {};
// Cancelled and absent from report 10: gone, unless an order sent straight to the worker may still start it.
TEST_P(SentOrder, KeepsTheTaskBooked) {
  Bed bed;
  bed.cancel();
  bed.fleet.sent[{core::JobId{0}, 0, 7}] = GetParam().sent;
  bed.report(2, 10, 50, {});
  EXPECT_EQ(bed.fleet.facts.size(), GetParam().facts);
  // Its end was recorded, but forgetting it would let the late order start it again.
  bed.set_entries({}, 70);
  const auto r = bed.report(2, 20, 50, {piece(7, TaskState::ended, Cause::stopped)});
  EXPECT_EQ(r.orders.empty(), !GetParam().sent.answered_seq && GetParam().sent.token == 50);
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
  EXPECT_EQ(kinds(bed.report(2, 10, 50, {piece(7, TaskState::waiting)})), Kinds{Order::Kind::stop});
  Bed fresh(true, 2);
  EXPECT_TRUE(fresh.report(2, 10, 50, {}).orders.empty());
  EXPECT_EQ(fresh.fleet.facts.size(), 1u);
}

TEST(Reports, StopKeepsGraceAndSavingIsLeftAlone) {
  Bed bed;
  bed.fleet.to_stop[{core::JobId{0}, 0, 7}] = 9;
  const auto r = bed.report(2, 10, 50, {piece(7, TaskState::running)});
  ASSERT_EQ(r.orders.size(), 1u);
  EXPECT_DOUBLE_EQ(r.orders[0].grace_s, 9);
  EXPECT_TRUE(bed.report(2, 11, 50, {piece(7, TaskState::saving)}).orders.empty());
  bed.cancel();
  const auto hard = bed.report(2, 12, 50, {piece(7, TaskState::saving)});
  ASSERT_EQ(hard.orders.size(), 1u);
  EXPECT_DOUBLE_EQ(hard.orders[0].grace_s, 0);
}

TEST(Reports, SeveralJobsFailingPointAtTheMachine) {
  Bed bed;
  bed.report(2, 10, 50, {piece(7, TaskState::ended, Cause::error)});
  EXPECT_FALSE(bed.machine->sick);
  bed.machine->failed_jobs.insert(core::JobId{9});
  bed.fleet.facts.clear();
  bed.report(2, 11, 50, {piece(7, TaskState::ended, Cause::error)});
  EXPECT_TRUE(bed.machine->sick);
}

TEST(Reports, DeletedMachineTakesItsEntriesAlong) {
  Bed bed;
  machine_gone(bed.mirror, bed.fleet, bed.machine->id);
  EXPECT_EQ(bed.fleet.facts.size(), 1u);
}

}  // namespace
}  // namespace finchrun::worker
