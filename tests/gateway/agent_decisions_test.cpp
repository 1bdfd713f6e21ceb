// What is decided about agents from the state alone: probes, direct starts, stops, and whose a heartbeat is.
#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "core/in_flight.hpp"
#include "gateway/direct_commands.hpp"
#include "gateway/due_stops.hpp"
#include "gateway/heartbeat_routing.hpp"

namespace finchrun::gateway {
namespace {

using assignments::SinglePartition;
using wire::Command;

constexpr std::uint64_t kToken = 40;  // our fencing token for partition a.0
const core::TimePoint kNow{core::to_duration(1000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

// We lead partition a.0. Machine host-100000 obeys us in incarnation 1, and task 0 of req-1 is assigned to
// it.
struct Leader : SinglePartition {
  Leader() {
    state.synchronized_at = kNow;
    state.settings.lease_s = 10;
    state.settings.cancel_s = 30;
    job_id = job("req-1", 2, false);
    assign(job_id, assignments(1, 7));
    machine = add_machine(0);
  }
  agent::Machine* add_machine(int i) {
    auto& added = state.fleet.intern(state.names, "host-" + std::to_string(100000 + i));
    added.partition = partition;
    added.endpoint = "10.1.0.1:9000";
    added.has_heartbeat = true;
    added.agent_incarnation = 1;
    added.fencing_token = kToken;
    added.first_seen = added.last_heartbeat = kNow;
    added.last_probe = ago(60);
    return &added;
  }
  void assign(core::JobId id, std::vector<jobs::TaskAssignment> assigned) {
    jobs::JobAssignments run;
    run.assignments = std::move(assigned);
    boost::json::object stored{{state.names.jobs.name(id), jobs::to_json(run, state.names)}};
    state.cache.apply({"runs/a.0/0", boost::json::object{{"jobs", std::move(stored)}}, ++revision});
  }
  void cancel() {
    auto record = *state.cache.job(job_id);
    record.status = jobs::Status::cancelled;
    state.cache.apply({"jobs/req-1", jobs::to_json(record, state.names), ++revision});
  }
  wire::Heartbeat heartbeat() const {
    wire::Heartbeat heartbeat;
    heartbeat.machine = machine->name;
    heartbeat.zone = "a";
    heartbeat.agent_incarnation = 1;
    heartbeat.fencing_token = kToken;
    return heartbeat;
  }
  core::JobId job_id;
  agent::Machine* machine = nullptr;
};

struct Case {
  const char* name;
  std::function<void(Leader&)> change;
  bool expected;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
std::string name_of_case(const testing::TestParamInfo<Case>& info) { return info.param.name; }

class Probes : public testing::TestWithParam<Case> {};
TEST_P(Probes, GoToAgentsThatMayNotObeyOrNotReachUs) {
  Leader leader;
  GetParam().change(leader);
  EXPECT_EQ(!machines_to_probe(leader.state, kNow).empty(), GetParam().expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Probes,
    testing::Values(
        Case{"heard_and_obeying", [](Leader&) {}, false},
        Case{"knows_an_earlier_token", [](Leader& l) { l.machine->fencing_token = kToken - 1; }, true},
        Case{"probed_just_now",
             [](Leader& l) { l.machine->fencing_token = kToken - 1, l.machine->last_probe = ago(2); }, false},
        Case{"unreachable", [](Leader& l) { l.machine->mark_unreachable(kNow); }, true},
        Case{"unreachable_and_probed_lately",
             [](Leader& l) { l.machine->mark_unreachable(kNow), l.machine->last_probe = ago(4); }, false},
        Case{"silent_past_its_lease",
             [](Leader& l) { l.machine->last_heartbeat = l.machine->first_seen = ago(11); }, true},
        Case{"silent_with_nothing_assigned",
             [](Leader& l) {
               l.machine->last_heartbeat = l.machine->first_seen = ago(11);
               l.assign(l.job_id, {});
             },
             false},
        Case{"never_heard_while_it_starts",
             [](Leader& l) { l.machine->has_heartbeat = false, l.machine->status = "starting"; }, false},
        Case{"never_heard_though_it_runs",
             [](Leader& l) { l.machine->has_heartbeat = false, l.machine->status = "running"; }, true},
        Case{"being_returned", [](Leader& l) { l.machine->fencing_token = 1, l.machine->terminating = true; },
             false},
        Case{"another_leads",
             [](Leader& l) {
               l.machine->fencing_token = 1;
               l.state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":2})"), 90});
             },
             false}),
    name_of_case);

TEST(Probes, GoFirstToThoseWhoDoNotKnowOurToken) {
  Leader leader;
  for (int i = 1; i <= 20; ++i) {
    auto* machine = leader.add_machine(i);
    machine->mark_unreachable(kNow);
    machine->last_probe = ago(60 + i);
  }
  leader.machine->fencing_token = kToken - 1;
  const auto due = machines_to_probe(leader.state, kNow);
  ASSERT_EQ(due.size(), 16u);
  EXPECT_EQ(due[0], leader.machine->id);
  EXPECT_EQ(leader.state.names.machines.name(due[1]), "host-100020");
}

class DirectStarts : public testing::TestWithParam<Case> {};
TEST_P(DirectStarts, LeaveOnlyWhileTheyAreValid) {
  Leader leader;
  GetParam().change(leader);
  std::vector<Command> commands{{Command::Kind::start, "req-1", 0, 7, 0},
                                {Command::Kind::stop, "req-2", 0, 3, 0}};
  std::vector<agent::TaskAttempt> starts{{leader.job_id, 0, 7}};
  drop_void_starts(leader.state, *leader.machine, kNow, commands, starts);
  EXPECT_EQ(starts.size(), GetParam().expected ? 1u : 0u);
  EXPECT_EQ(commands.size(), GetParam().expected ? 2u : 1u);
  EXPECT_EQ(commands.back().kind, Command::Kind::stop);
}
INSTANTIATE_TEST_SUITE_P(
    Table, DirectStarts,
    testing::Values(
        Case{"as_recorded", [](Leader&) {}, true}, Case{"cancelled", [](Leader& l) { l.cancel(); }, false},
        Case{"recorded_no_more", [](Leader& l) { l.assign(l.job_id, {}); }, false},
        Case{"of_an_earlier_attempt", [](Leader& l) { l.assign(l.job_id, l.assignments(1, 8)); }, false},
        Case{"agent_in_its_next_incarnation", [](Leader& l) { l.machine->agent_incarnation = 2; }, false},
        Case{"a_command_got_no_answer", [](Leader& l) { l.machine->direct_command_failed_at = ago(19); },
             false},
        Case{"a_command_got_no_answer_long_ago",
             [](Leader& l) { l.machine->direct_command_failed_at = ago(21); }, true}),
    name_of_case);

TEST(CommandAnswers, AreInterpretedByStatusAndBody) {
  const std::string heartbeat =
      R"({"perch":"host-100000","endpoint":"10.1.0.1:9000","rack":"g8","hall":"a","loaners":false,
          "stint":2,"tick":88,"baton":40,"pieces":[]})";
  const struct {
    int status;
    std::string body;
    Delivery delivery;
    bool heartbeat;
  } cases[] = {
      {0, "", Delivery::no_answer, false},           {200, heartbeat, Delivery::executed, true},
      {200, "{}", Delivery::unexpected, false},      {409, heartbeat, Delivery::other_incarnation, true},
      {409, "", Delivery::other_incarnation, false}, {400, heartbeat, Delivery::malformed, false},
      {503, heartbeat, Delivery::unexpected, false}};
  for (const auto& c : cases) {
    const auto answer = interpret_answer({c.status, c.body});
    EXPECT_EQ(answer.delivery, c.delivery) << c.status << " " << c.body;
    EXPECT_EQ(answer.heartbeat.has_value(), c.heartbeat) << c.status << " " << c.body;
    EXPECT_EQ(answer.sequence().has_value(), c.delivery == Delivery::executed);
  }
}

TEST(CommandAnswers, OneThatIsMissingMarksTheIncarnationThatWasAddressed) {
  Leader leader;
  CommandAnswer none;
  none.delivery = Delivery::no_answer;
  note_answer(leader.state, leader.machine->id, 2, none, kNow);
  EXPECT_FALSE(leader.machine->unreachable());
  note_answer(leader.state, leader.machine->id, 1, none, kNow);
  EXPECT_TRUE(leader.machine->unreachable());
  CommandAnswer executed;
  executed.delivery = Delivery::executed;
  executed.heartbeat = leader.heartbeat();
  executed.heartbeat->sequence = 5;
  note_answer(leader.state, leader.machine->id, 1, executed, kNow);
  EXPECT_FALSE(leader.machine->unreachable());
  EXPECT_FALSE(leader.machine->direct_command_failed_at);
  EXPECT_EQ(leader.machine->sequence, 5u);
}

core::SteadyClock::duration exactly(double seconds) { return core::to_duration(seconds); }

TEST(Stops, AreRepeatedWithGrowingPauses) {
  Leader leader;
  EXPECT_TRUE(take_due_stops(leader.state, 0, kNow, exactly).empty());
  leader.cancel();
  std::vector<double> sent_at;
  for (double s = 0; s < 32; s += 0.5)
    if (!take_due_stops(leader.state, 0, kNow + core::to_duration(s), exactly).empty()) sent_at.push_back(s);
  EXPECT_EQ(sent_at, (std::vector<double>{0, 1, 3, 7, 15, 23, 31}));
}

class StopsDue : public testing::TestWithParam<Case> {};
TEST_P(StopsDue, ForWhatMayStillRun) {
  Leader leader;
  leader.cancel();
  GetParam().change(leader);
  const auto stops = take_due_stops(leader.state, 0, kNow, exactly);
  EXPECT_EQ(stops.contains(leader.machine->id), GetParam().expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StopsDue,
    testing::Values(Case{"assigned", [](Leader&) {}, true},
                    Case{"ended",
                         [](Leader& l) {
                           l.state.fleet.observed_exits.insert({l.job_id, l.partition, 0, 7, false});
                         },
                         false},
                    Case{"machine_deleted", [](Leader& l) { l.machine->gone = true; }, false},
                    Case{"agent_never_heard", [](Leader& l) { l.machine->has_heartbeat = false; }, false},
                    Case{"recorded_no_more", [](Leader& l) { l.assign(l.job_id, {}); }, false}),
    name_of_case);

TEST(Stops, WaitWhileTooManyAreInFlight) {
  Leader leader;
  leader.cancel();
  EXPECT_TRUE(take_due_stops(leader.state, kMostStopsInFlight, kNow, exactly).empty());
  EXPECT_EQ(take_due_stops(leader.state, kMostStopsInFlight - 1, kNow, exactly).size(), 1u);
}

TEST(InFlight, CountsUntilTheTokenIsGone) {
  auto counter = std::make_unique<core::InFlightCounter>();
  {
    const auto first = counter->acquire();
    EXPECT_EQ(counter->count(), 1u);
  }
  EXPECT_EQ(counter->count(), 0u);
  const auto outlives = counter->acquire();
  counter.reset();
}

struct RefusalCase {
  const char* name;
  std::function<void(Leader&, wire::Heartbeat&)> change;
  std::optional<HeartbeatRefusal> expected;
};
void PrintTo(const RefusalCase& c, std::ostream* out) { *out << c.name; }
void claim(Leader& leader, const char* record) {
  leader.state.cache.apply({"parts/a.0", boost::json::parse(record), 90});
}

class Refusals : public testing::TestWithParam<RefusalCase> {};
TEST_P(Refusals, SayWhyAHeartbeatIsNotAnswered) {
  Leader leader;
  auto heartbeat = leader.heartbeat();
  GetParam().change(leader, heartbeat);
  const auto refusal = why_not_answered(leader.state, heartbeat, partition_of(leader.state, heartbeat), kNow);
  ASSERT_EQ(refusal.has_value(), GetParam().expected.has_value());
  if (refusal) {
    EXPECT_EQ(refusal->index(), GetParam().expected->index());
  }
}
using H = wire::Heartbeat;
INSTANTIATE_TEST_SUITE_P(
    Table, Refusals,
    testing::Values(
        RefusalCase{"ours", [](Leader&, H&) {}, std::nullopt},
        RefusalCase{"zone_of_no_partition", [](Leader&, H& h) { h.zone = "z"; }, OutsideDeployment{}},
        RefusalCase{"another_leads",
                    [](Leader& l, H&) {
                      claim(l, R"({"owner":"perch-1","inc":2})");
                      l.state.cache.apply({"members/perch-1", boost::json::parse(R"({"inc":2})"), 91});
                    },
                    LedElsewhere{"perch-1"}},
        RefusalCase{"leader_does_not_run", [](Leader& l, H&) { claim(l, R"({"owner":"perch-1","inc":2})"); },
                    NoLeader{}},
        RefusalCase{"led_by_an_earlier_process_of_ours",
                    [](Leader& l, H&) { claim(l, R"({"owner":"perch-0","inc":6})"); }, NoLeader{}},
        // A controller without peers cancels all there is to cancel itself.
        RefusalCase{"no_read_for_long_and_no_peers", [](Leader& l, H&) { l.state.synchronized_at = ago(17); },
                    std::nullopt},
        RefusalCase{"cancellations_of_peers_too_old",
                    [](Leader& l, H&) { l.state.synchronized_at = ago(17), l.state.settings.nodes = 2; },
                    CancellationsUnknown{}},
        RefusalCase{"cancellations_of_peers_known",
                    [](Leader& l, H&) { l.state.synchronized_at = ago(16), l.state.settings.nodes = 2; },
                    std::nullopt},
        RefusalCase{"deleted_machine", [](Leader& l, H&) { l.state.fleet.deleted.insert(l.machine->id); },
                    MachineDeleted{}}),
    [](const auto& info) { return std::string(info.param.name); });

// Heartbeats come every 3 s, so an agent that was sent to the leader is back within 17 s or has got there.
TEST(Forwarding, RelaysForAgentsThatDoNotGetToTheLeader) {
  const struct {
    const char* name;
    double redirected_s_ago;
    std::uint64_t agent_token;
    bool relayed;
    Forwarding expected;
  } cases[] = {
      {"does not know the leader", 100, kToken - 1, false, Forwarding::redirect},
      {"was redirected and is back", 16, kToken - 1, false, Forwarding::relay_after_redirect},
      {"was redirected long ago", 18, kToken - 1, false, Forwarding::redirect},
      {"obeys the leader and is here", 100, kToken, false, Forwarding::relay_unasked},
      {"obeys the leader, relayed last time", 100, kToken, true, Forwarding::redirect},
      {"obeys the leader, redirected a moment ago", 1, kToken, false, Forwarding::relay_after_redirect},
  };
  for (const auto& c : cases) {
    Leader leader;
    leader.machine->redirected_at = ago(c.redirected_s_ago);
    leader.machine->relayed = c.relayed;
    auto heartbeat = leader.heartbeat();
    heartbeat.fencing_token = c.agent_token;
    EXPECT_EQ(decide_forwarding(*leader.machine, heartbeat, kToken, 3, kNow), c.expected) << c.name;
  }
}

}  // namespace
}  // namespace finchrun::gateway
