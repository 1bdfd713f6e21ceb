// Tests of the decisions about agents: probes, direct starts, stops, and routing of heartbeats.
#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "autoscaling/scale_in_plan.hpp"
#include "core/case_names.hpp"
#include "core/in_flight.hpp"
#include "gateway/direct_commands.hpp"
#include "gateway/due_stops.hpp"
#include "gateway/heartbeat_routing.hpp"

namespace finchrun::gateway {
namespace {

using assignments::SinglePartition;
using wire::Command;

constexpr std::uint64_t kToken = 40;  // this controller's fencing token for partition a.0
const core::TimePoint kNow{core::to_duration(1000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

// The controller under test leads partition a.0. The agent of machine host-100000 obeys it in incarnation 1,
// and task 0 of req-1 is assigned to the machine.
struct Leader : SinglePartition {
  Leader() {
    state.synchronized_at = kNow;
    state.settings.agent_lease_s = 10;
    state.settings.cancel_s = 30;
    job_id = job("req-1", 2, false);
    assign(job_id, assignments(1, 7));
    machine = add_machine(0);
  }
  agent::Machine* add_machine(int index) {
    auto& added = state.fleet.find_or_add(state.names, "host-" + std::to_string(100000 + index), {});
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
    jobs::JobAssignments job_assignments;
    job_assignments.assignments = std::move(assigned);
    boost::json::object stored{{state.names.jobs.name(id), jobs::to_json(job_assignments, state.names)}};
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
void PrintTo(const Case& test_case, std::ostream* out) { *out << test_case.name; }

// Guards against tasks that stay assigned to a lost machine forever: a machine that was known from a
// redirected heartbeat only had no partition, so its deletion was never requested by the leader that this
// controller became.
TEST(RedirectedHeartbeat, MachineIsReleasedIfItStaysSilentUnderThisLeader) {
  Leader leader;
  auto redirected = leader.heartbeat();
  redirected.machine = "host-100001";
  redirected.type = "g4";
  redirected.spot = true;
  leader.state.settings.cloud_list_lag_s = 5;
  leader.state.tuning.scale_in_idle_s = 1e6;  // no machine is idle for so long
  auto& machine = add_machine(leader.state, redirected, leader.partition, ago(60));
  EXPECT_EQ(machine.partition, leader.partition);
  EXPECT_EQ(machine.zone, leader.state.partitions.zone(leader.partition));
  EXPECT_EQ(machine.type, leader.state.names.types.find("g4"));
  EXPECT_TRUE(machine.spot);
  leader.assign(leader.job_id, {{0, 7, machine.id, 1}});
  const auto decisions = autoscaling::plan_scale_in(leader.state, kNow).request;
  ASSERT_EQ(decisions.size(), 1u);
  EXPECT_EQ(decisions[0].name, "host-100001");
  EXPECT_EQ(decisions[0].reason, autoscaling::ScaleInReason::unlisted);
}

class Probes : public testing::TestWithParam<Case> {};
TEST_P(Probes, GoToAgentsThatMayBeUnreachableOrNotObey) {
  Leader leader;
  GetParam().change(leader);
  EXPECT_EQ(!machines_to_probe(leader.state, kNow).empty(), GetParam().expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Probes,
    testing::Values(
        Case{"reachable_and_obeying", [](Leader&) {}, false},
        Case{"knows_an_older_token", [](Leader& leader) { leader.machine->fencing_token = kToken - 1; },
             true},
        Case{"older_token_but_probed_recently",
             [](Leader& leader) {
               leader.machine->fencing_token = kToken - 1, leader.machine->last_probe = ago(2);
             },
             false},
        Case{"ends_to_confirm",
             [](Leader& leader) {
               leader.machine->has_unconfirmed_ends = true, leader.machine->last_probe = ago(0.3);
             },
             true},
        Case{"ends_to_confirm_but_direct_commands_fail",
             [](Leader& leader) {
               leader.machine->has_unconfirmed_ends = true, leader.machine->last_probe = ago(0.3);
               leader.machine->direct_command_failed_at = ago(1);
             },
             false},
        Case{"unreachable", [](Leader& leader) { leader.machine->mark_unreachable(kNow); }, true},
        Case{"unreachable_but_probed_recently",
             [](Leader& leader) {
               leader.machine->mark_unreachable(kNow), leader.machine->last_probe = ago(4);
             },
             false},
        Case{"silent_for_longer_than_its_lease",
             [](Leader& leader) { leader.machine->last_heartbeat = leader.machine->first_seen = ago(11); },
             true},
        Case{"silent_without_assignments",
             [](Leader& leader) {
               leader.machine->last_heartbeat = leader.machine->first_seen = ago(11);
               leader.assign(leader.job_id, {});
             },
             false},
        Case{"no_heartbeat_while_starting",
             [](Leader& leader) {
               leader.machine->has_heartbeat = false, leader.machine->status = "starting";
             },
             false},
        Case{
            "no_heartbeat_while_running",
            [](Leader& leader) { leader.machine->has_heartbeat = false, leader.machine->status = "running"; },
            true},
        Case{"knows_a_raised_token", [](Leader& leader) { leader.machine->fencing_token = kToken + 5; },
             false},
        Case{"terminating",
             [](Leader& leader) { leader.machine->fencing_token = 1, leader.machine->terminating = true; },
             false},
        Case{"another_leader",
             [](Leader& leader) {
               leader.machine->fencing_token = 1;
               leader.state.cache.apply(
                   {"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":2})"), 90});
             },
             false}),
    kCaseName);

TEST(Probes, PreferAgentsThatDoNotKnowTheToken) {
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
TEST_P(DirectStarts, AreSentOnlyWhileTheyAreValid) {
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
        Case{"recorded", [](Leader&) {}, true},
        Case{"cancelled", [](Leader& leader) { leader.cancel(); }, false},
        Case{"no_longer_recorded", [](Leader& leader) { leader.assign(leader.job_id, {}); }, false},
        Case{"earlier_attempt",
             [](Leader& leader) { leader.assign(leader.job_id, leader.assignments(1, 8)); }, false},
        Case{"agent_in_a_newer_incarnation", [](Leader& leader) { leader.machine->agent_incarnation = 2; },
             false},
        // A command that a raised token has overtaken is sent again, and the attempt may count as gone by
        // then.
        Case{"attempt_counts_as_gone",
             [](Leader& leader) {
               leader.state.fleet.observed_exits.insert({leader.job_id, leader.partition, 0, 7, false});
             },
             false},
        Case{"direct_command_unanswered_recently",
             [](Leader& leader) { leader.machine->direct_command_failed_at = ago(19); }, false},
        Case{"direct_command_unanswered_long_ago",
             [](Leader& leader) { leader.machine->direct_command_failed_at = ago(21); }, true}),
    kCaseName);

TEST(CommandAnswers, AreInterpretedByStatusAndBody) {
  const std::string heartbeat =
      R"({"perch":"host-100000","endpoint":"10.1.0.1:9000","rack":"g8","hall":"a","loaners":false,
          "stint":2,"tick":88,"baton":40,"pieces":[]})";
  const struct {
    int status;
    std::string body;
    Delivery delivery;
    bool heartbeat;
  } cases[] = {{0, "", Delivery::no_answer, false},          {200, heartbeat, Delivery::executed, true},
               {200, "{}", Delivery::unexpected, false},     {409, heartbeat, Delivery::conflict, true},
               {409, "", Delivery::conflict, false},         {400, heartbeat, Delivery::malformed, false},
               {503, heartbeat, Delivery::unexpected, false}};
  for (const auto& c : cases) {
    const auto answer = interpret_answer({c.status, c.body});
    EXPECT_EQ(answer.delivery, c.delivery) << c.status << " " << c.body;
    EXPECT_EQ(answer.heartbeat.has_value(), c.heartbeat) << c.status << " " << c.body;
    EXPECT_EQ(answer.sequence().has_value(), c.delivery == Delivery::executed);
  }
}

struct OvertakenCase {
  const char* name;
  std::uint64_t sent_token, agent_token;
  bool overtaken;
};
class OvertakenCommands : public testing::TestWithParam<OvertakenCase> {};
// Guards against a start that waits for the next heartbeat because the answer to the last one raised the
// token. This controller has given the agent tokens up to `kToken` + 5.
TEST_P(OvertakenCommands, AreSentAgainUnderTheRaisedToken) {
  Leader leader;
  leader.machine->raised_token = kToken + 5;
  CommandAnswer answer;
  answer.delivery = Delivery::conflict;
  answer.heartbeat = leader.heartbeat();
  answer.heartbeat->fencing_token = GetParam().agent_token;
  EXPECT_EQ(is_overtaken(leader.state, *leader.machine, GetParam().sent_token, answer), GetParam().overtaken);
  answer.heartbeat.reset();
  EXPECT_FALSE(is_overtaken(leader.state, *leader.machine, GetParam().sent_token, answer));
}
INSTANTIATE_TEST_SUITE_P(Table, OvertakenCommands,
                         testing::Values(OvertakenCase{"raised_by_this_leader", kToken, kToken + 5, true},
                                         OvertakenCase{"another_incarnation", kToken, kToken, false},
                                         OvertakenCase{"raised_by_another_leader", kToken, kToken + 6,
                                                       false}),
                         kCaseName);

struct EarlierAttemptCase {
  const char* name;
  std::uint64_t earlier_token;
  std::uint64_t read_revision;  // up to which the state cache has read
  bool sent;
  std::uint64_t command_token;
};
class EarlierAttempts : public testing::TestWithParam<EarlierAttemptCase> {};
// The agent may forget an ended attempt of the task when it starts attempt 7.
TEST_P(EarlierAttempts, AreVoidBeforeTheNextAttemptIsSent) {
  Leader leader;
  leader.state.cache.synchronized(GetParam().read_revision);
  leader.machine->direct_starts.record({leader.job_id, 0, 3}, GetParam().earlier_token, 1, kNow);
  std::vector<Command> commands{{Command::Kind::start, "req-1", 0, 7, 0},
                                {Command::Kind::stop, "req-2", 0, 3, 0}};
  std::vector<agent::TaskAttempt> starts{{leader.job_id, 0, 7}};
  supersede_earlier_attempts(leader.state, *leader.machine, commands, starts);
  EXPECT_EQ(starts.size(), GetParam().sent ? 1u : 0u);
  EXPECT_EQ(commands.size(), GetParam().sent ? 2u : 1u);
  EXPECT_EQ(leader.state.command_token(*leader.machine), GetParam().command_token);
}
INSTANTIATE_TEST_SUITE_P(
    Table, EarlierAttempts,
    testing::Values(EarlierAttemptCase{"higher_token_available", kToken, 60, true, kToken + 1},
                    EarlierAttemptCase{"no_higher_token_available", kToken, 40, false, kToken},
                    EarlierAttemptCase{"void_already", kToken - 1, 60, true, kToken}),
    kCaseName);

TEST(CommandAnswers, NoAnswerMarksOnlyTheAddressedIncarnationUnreachable) {
  Leader leader;
  CommandAnswer no_answer;
  no_answer.delivery = Delivery::no_answer;
  apply_answer(leader.state, leader.machine->id, 2, no_answer, kNow);
  EXPECT_FALSE(leader.machine->is_unreachable());
  apply_answer(leader.state, leader.machine->id, 1, no_answer, kNow);
  EXPECT_TRUE(leader.machine->is_unreachable());
  CommandAnswer executed;
  executed.delivery = Delivery::executed;
  executed.heartbeat = leader.heartbeat();
  executed.heartbeat->sequence = 5;
  apply_answer(leader.state, leader.machine->id, 1, executed, kNow);
  EXPECT_FALSE(leader.machine->is_unreachable());
  EXPECT_FALSE(leader.machine->direct_command_failed_at);
  EXPECT_EQ(leader.machine->sequence, 5u);
}

core::SteadyClock::duration without_jitter(double seconds) { return core::to_duration(seconds); }

TEST(Stops, AreRepeatedWithExponentialBackoff) {
  Leader leader;
  EXPECT_TRUE(take_due_stops(leader.state, 0, kNow, without_jitter).empty());
  leader.cancel();
  std::vector<double> sent_at;
  for (double s = 0; s < 32; s += 0.5)
    if (!take_due_stops(leader.state, 0, kNow + core::to_duration(s), without_jitter).empty())
      sent_at.push_back(s);
  EXPECT_EQ(sent_at, (std::vector<double>{0, 1, 3, 7, 15, 23, 31}));
}

class StopsDue : public testing::TestWithParam<Case> {};
TEST_P(StopsDue, ForTasksThatMayStillRun) {
  Leader leader;
  leader.cancel();
  GetParam().change(leader);
  const auto stops = take_due_stops(leader.state, 0, kNow, without_jitter);
  EXPECT_EQ(stops.contains(leader.machine->id), GetParam().expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StopsDue,
    testing::Values(
        Case{"assigned", [](Leader&) {}, true},
        Case{"ended",
             [](Leader& leader) {
               leader.state.fleet.observed_exits.insert({leader.job_id, leader.partition, 0, 7, false});
             },
             false},
        Case{"machine_deleted", [](Leader& leader) { leader.machine->deleted = true; }, false},
        Case{"no_heartbeat", [](Leader& leader) { leader.machine->has_heartbeat = false; }, false},
        Case{"no_longer_recorded", [](Leader& leader) { leader.assign(leader.job_id, {}); }, false}),
    kCaseName);

TEST(Stops, AreLimitedInFlight) {
  Leader leader;
  leader.cancel();
  EXPECT_TRUE(take_due_stops(leader.state, kMaxStopsInFlight, kNow, without_jitter).empty());
  EXPECT_EQ(take_due_stops(leader.state, kMaxStopsInFlight - 1, kNow, without_jitter).size(), 1u);
}

TEST(InFlight, CountsUntilTheSlotIsDestroyed) {
  auto counter = std::make_unique<core::InFlightCounter>();
  {
    const auto first = counter->acquire();
    EXPECT_EQ(counter->count(), 1u);
  }
  EXPECT_EQ(counter->count(), 0u);
  const auto outliving_slot = counter->acquire();
  counter.reset();
}

struct RefusalCase {
  const char* name;
  std::function<void(Leader&, wire::Heartbeat&)> change;
  std::optional<HeartbeatRefusal> expected;
};
void PrintTo(const RefusalCase& test_case, std::ostream* out) { *out << test_case.name; }
void set_leadership(Leader& leader, const char* record) {
  leader.state.cache.apply({"parts/a.0", boost::json::parse(record), 90});
}

class Refusals : public testing::TestWithParam<RefusalCase> {};
TEST_P(Refusals, GiveTheReasonWhyAHeartbeatIsNotAnswered) {
  Leader leader;
  auto heartbeat = leader.heartbeat();
  GetParam().change(leader, heartbeat);
  const auto refusal = find_refusal(leader.state, heartbeat, partition_of(leader.state, heartbeat), kNow);
  ASSERT_EQ(refusal.has_value(), GetParam().expected.has_value());
  if (refusal) {
    EXPECT_EQ(refusal->index(), GetParam().expected->index());
  }
}
using Heartbeat = wire::Heartbeat;
INSTANTIATE_TEST_SUITE_P(
    Table, Refusals,
    testing::Values(
        RefusalCase{"led_here", [](Leader&, Heartbeat&) {}, std::nullopt},
        RefusalCase{"zone_without_partition", [](Leader&, Heartbeat& heartbeat) { heartbeat.zone = "z"; },
                    OutsideDeployment{}},
        RefusalCase{"another_leader",
                    [](Leader& leader, Heartbeat&) {
                      set_leadership(leader, R"({"owner":"perch-1","inc":2})");
                      leader.state.cache.apply({"members/perch-1", boost::json::parse(R"({"inc":2})"), 91});
                    },
                    LedElsewhere{"perch-1"}},
        RefusalCase{
            "leader_is_not_a_member",
            [](Leader& leader, Heartbeat&) { set_leadership(leader, R"({"owner":"perch-1","inc":2})"); },
            NoLeader{}},
        RefusalCase{
            "led_by_an_earlier_process_of_this_label",
            [](Leader& leader, Heartbeat&) { set_leadership(leader, R"({"owner":"perch-0","inc":6})"); },
            NoLeader{}},
        // A controller without peers handles all cancellations itself.
        RefusalCase{"stale_state_without_peers",
                    [](Leader& leader, Heartbeat&) { leader.state.synchronized_at = ago(17); }, std::nullopt},
        RefusalCase{"cancellations_of_peers_unknown",
                    [](Leader& leader, Heartbeat&) {
                      leader.state.synchronized_at = ago(17), leader.state.settings.controller_count = 2;
                    },
                    CancellationsUnknown{}},
        RefusalCase{"cancellations_of_peers_known",
                    [](Leader& leader, Heartbeat&) {
                      leader.state.synchronized_at = ago(16), leader.state.settings.controller_count = 2;
                    },
                    std::nullopt},
        RefusalCase{"deleted_machine",
                    [](Leader& leader, Heartbeat&) {
                      leader.state.fleet.deleted_machines.insert(leader.machine->id);
                    },
                    MachineDeleted{}}),
    kCaseName);

// With a heartbeat every 3 s, an agent that fails to reach the leader after a redirect returns within 17 s.
TEST(Forwarding, RelaysForAgentsThatCannotReachTheLeader) {
  const struct {
    const char* name;
    double redirected_s_ago;
    std::uint64_t agent_token;
    bool relayed_without_redirect;
    Forwarding expected;
  } cases[] = {
      {"does not know the leader", 100, kToken - 1, false, Forwarding::redirect},
      {"returned after a redirect", 16, kToken - 1, false, Forwarding::relay_after_redirect},
      {"redirected long ago", 18, kToken - 1, false, Forwarding::redirect},
      {"obeys the leader", 100, kToken, false, Forwarding::relay_without_redirect},
      {"obeys a raised token of the leader", 100, kToken + 5, false, Forwarding::relay_without_redirect},
      {"obeys the leader, last heartbeat relayed", 100, kToken, true, Forwarding::redirect},
      {"obeys the leader, returned after a redirect", 1, kToken, false, Forwarding::relay_after_redirect},
  };
  for (const auto& c : cases) {
    Leader leader;
    leader.machine->redirected_at = ago(c.redirected_s_ago);
    leader.machine->relayed_without_redirect = c.relayed_without_redirect;
    auto heartbeat = leader.heartbeat();
    heartbeat.fencing_token = c.agent_token;
    EXPECT_EQ(decide_forwarding(*leader.machine, heartbeat, kToken, 3, kNow), c.expected) << c.name;
  }
}

}  // namespace
}  // namespace finchrun::gateway
