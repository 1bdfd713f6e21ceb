#include "controller/controller_state.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::controller {

using assignments::single_partition_settings;
using assignments::SinglePartition;
namespace {

config::Settings settings() {
  auto settings = single_partition_settings();
  settings.teams = {{"red", 0, 0, 4, 8}};
  settings.agent_lease_s = 10;
  settings.cancel_s = 30;
  return settings;
}

struct MemberCase {
  const char* name;
  std::vector<const char*> members;  // member records
  bool supported;
};
class AllMembersSupport : public testing::TestWithParam<MemberCase> {};
// The member record of the version in production has no level.
TEST_P(AllMembersSupport, OnlyIfEveryListedMemberHasTheLevel) {
  ControllerState state(settings(), {});
  std::uint64_t revision = 0;
  for (const auto* record : GetParam().members) {
    ++revision;
    state.cache.apply({"members/perch-" + std::to_string(revision), boost::json::parse(record), revision});
  }
  EXPECT_EQ(state.all_members_support(state::kServicesLevel), GetParam().supported);
}
INSTANTIATE_TEST_SUITE_P(
    Table, AllMembersSupport,
    testing::Values(MemberCase{"no_members", {}, false},
                    MemberCase{
                        "all_have_a_level", {R"({"inc":1,"level":1})", R"({"inc":2,"level":2})"}, true},
                    MemberCase{"one_without_a_level", {R"({"inc":1,"level":1})", R"({"inc":2})"}, false}),
    kCaseName);

struct TokenCase {
  const char* name;
  std::function<void(SinglePartition&)> change;
  std::uint64_t of_partition, highest_available;
};
class FencingTokens : public testing::TestWithParam<TokenCase> {};
// Guards against two leaders that use one token: a leader's tokens end where it has read its own leadership
// record unchanged. The record has revision 40, and the cache has read up to 60.
TEST_P(FencingTokens, EndAtTheRevisionUpToWhichTheLeadershipRecordWasRead) {
  SinglePartition leader;
  leader.state.cache.synchronized(60);
  GetParam().change(leader);
  const auto tokens = leader.state.fencing_tokens(leader.partition);
  EXPECT_EQ(tokens.of_partition, GetParam().of_partition);
  EXPECT_EQ(tokens.highest_available, GetParam().highest_available);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FencingTokens,
    testing::Values(TokenCase{"leader", [](SinglePartition&) {}, 40, 60},
                    TokenCase{"own_write_is_newer_than_the_last_read",
                              [](SinglePartition& leader) {
                                leader.state.cache.apply({"fence/a.0", boost::json::parse("{}"), 70});
                              },
                              40, 60},
                    TokenCase{"records_are_being_read_anew",
                              [](SinglePartition& leader) { leader.state.cache_loaded = false; }, 40, 40},
                    TokenCase{"pages_of_the_new_read_are_older_than_the_record",
                              [](SinglePartition& leader) {
                                leader.state.cache.reset();
                                leader.state.cache.apply(
                                    {"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 66});
                                leader.state.cache.synchronized(63);
                              },
                              66, 66},
                    TokenCase{"transferred_by_an_own_write",
                              [](SinglePartition& leader) {
                                leader.state.cache.apply(
                                    {"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":9})"), 70});
                              },
                              70, 70},
                    TokenCase{"acquired_anew_but_not_read_up_to_that",
                              [](SinglePartition& leader) {
                                leader.state.cache.apply(
                                    {"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 70});
                              },
                              70, 70},
                    TokenCase{"led_by_an_earlier_process_of_this_label",
                              [](SinglePartition& leader) { leader.state.incarnation = 8; }, 40, 40}),
    kCaseName);

TEST(ControllerState, CommandTokenIsNeverBelowThePartitionsOwn) {
  SinglePartition leader;
  auto& machine = leader.state.fleet.find_or_add(leader.state.names, "host-1", {});
  machine.partition = leader.partition;
  EXPECT_EQ(leader.state.command_token(machine), 40u);
  leader.state.cache.synchronized(60);
  EXPECT_EQ(leader.state.command_token(machine), 40u) << "raised only where a start has to be void";
  EXPECT_TRUE(machine.raise_command_token(40, leader.state.fencing_tokens(leader.partition)));
  EXPECT_EQ(leader.state.command_token(machine), 41u) << "the lowest one above the start";
  EXPECT_FALSE(machine.raise_command_token(60, leader.state.fencing_tokens(leader.partition)));
  EXPECT_EQ(leader.state.command_token(machine), 41u) << "no token above 60 has been read";
  leader.state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 70});
  EXPECT_EQ(leader.state.command_token(machine), 70u);
}

TEST(ControllerState, SilenceIsCountedFromTheStartOfTheTerm) {
  ControllerState state(settings(), {});
  auto& machine = state.fleet.find_or_add(state.names, "host-1", {});
  machine.partition = core::PartitionId{0};
  machine.first_seen = core::TimePoint(core::to_duration(10));
  state.leading_since[0] = core::TimePoint(core::to_duration(200));
  EXPECT_DOUBLE_EQ(state.seconds_since_heartbeat(machine, core::TimePoint(core::to_duration(203))), 3);
  machine.last_heartbeat = core::TimePoint(core::to_duration(202));
  EXPECT_DOUBLE_EQ(state.seconds_since_heartbeat(machine, core::TimePoint(core::to_duration(203))), 1);
}

// An agent keeps its tasks for a lease after the last answer. The window of 16.9 s in which cancellations may
// be unknown plus the lease of 10 s stay below cancel_s of 30 s. Cancellations are known from the newest read
// of the store, or from the answers of all other controllers.
struct RenewalCase {
  const char* name;
  double synchronized_s, confirmed_s[2], now_s;
  bool may_renew;
};
class LeaseRenewal : public testing::TestWithParam<RenewalCase> {};
TEST_P(LeaseRenewal, EndsBeforeAnUnknownCancellationExceedsItsDeadline) {
  auto changed_settings = settings();
  changed_settings.members = {{"perch-1", "a", {}}, {"perch-2", "a", {}}};
  ControllerState state(changed_settings, {});
  const auto& c = GetParam();
  state.synchronized_at = core::TimePoint(core::to_duration(c.synchronized_s));
  for (std::size_t m = 0; m < 2; ++m)
    state.cancellations_confirmed_at[m] = core::TimePoint(core::to_duration(c.confirmed_s[m]));
  EXPECT_EQ(state.can_renew_leases(core::TimePoint(core::to_duration(c.now_s))), c.may_renew);
  state.settings.controller_count = 4;  // one controller is not named: only the store has its cancellations
  EXPECT_EQ(state.can_renew_leases(core::TimePoint(core::to_duration(c.now_s))),
            c.may_renew && c.now_s < c.synchronized_s + 16.9);
}
INSTANTIATE_TEST_SUITE_P(
    Table, LeaseRenewal,
    testing::Values(RenewalCase{"store_only", 100, {0, 0}, 116.8, true},
                    RenewalCase{"store_only_too_old", 100, {0, 0}, 117, false},
                    RenewalCase{"all_peers_answered", 100, {180, 190}, 196.8, true},
                    RenewalCase{"all_peers_answered_too_long_ago", 100, {180, 190}, 197, false},
                    RenewalCase{"one_peer_did_not_answer", 100, {0, 190}, 191, false},
                    RenewalCase{"one_peer_answered_before_the_newest_read", 100, {50, 190}, 116.8, true}),
    kCaseName);

// Guards against a bound on a lease that is counted from the time at which a cancellation was read again.
TEST(ControllerState, CancellationIsConfirmedAfterTheTimeBeforeWhichAllWereKnown) {
  auto changed_settings = settings();
  changed_settings.controller_count = 2;  // the other one is not named: only reads count
  SinglePartition leader(changed_settings);
  auto& state = leader.state;
  const auto at = [](double seconds) { return core::TimePoint(core::to_duration(seconds)); };
  const auto job = leader.job("req-1", 1, false);
  auto record = *state.cache.job(job);
  record.status = jobs::Status::cancelled;
  const auto value = jobs::to_json(record, state.names);
  state.synchronized_at = at(100);
  state.cache.apply({"jobs/req-1", value, 70});
  state.learn_cancellations(agent::CancellationSource::announcement, at(103));
  state.synchronized_at = at(200);
  state.cache.reset();
  state.cache.apply({"jobs/req-1", value, 70});
  state.learn_cancellations(agent::CancellationSource::load, at(203));
  const auto* known = state.fleet.cancellations.find(job);
  ASSERT_TRUE(known);
  EXPECT_EQ(known->confirmed_after, at(100));
  EXPECT_EQ(known->learned_at, at(103));
  EXPECT_EQ(known->source, agent::CancellationSource::announcement);
}

TEST(ControllerState, LeadsOnlyAfterReadingTheRecordsOfEarlierLeaders) {
  ControllerState state(settings(), {});
  state.cache_loaded = true;
  state.incarnation = 7;
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  EXPECT_TRUE(state.holds_leadership(core::PartitionId{0}));
  EXPECT_FALSE(state.leads(core::PartitionId{0}));
  state.cache.synchronized(40);
  EXPECT_TRUE(state.leads(core::PartitionId{0}));
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":8})"), 41});
  EXPECT_FALSE(state.holds_leadership(core::PartitionId{0}))
      << "leadership record of another process with the same label";
}

// Another controller led the partition in between, and may have started the attempt again.
TEST(ControllerState, ForgetsAnUnrecordedExitOfAnEarlierTermOfItsOwn) {
  SinglePartition leader;
  auto& state = leader.state;
  const auto job = leader.job("req-1", 1, false);
  jobs::JobAssignments assigned;
  assigned.assignments = leader.assignments(1, 7);
  state.cache.apply(
      {"runs/a.0/0",
       boost::json::object{{"jobs", boost::json::object{{"req-1", jobs::to_json(assigned, state.names)}}}},
       55});
  state.fleet.observed_exits.insert(
      {job, leader.partition, 0, 7, false, state.fencing_token(leader.partition)});
  state.drop_recorded_exits();
  EXPECT_EQ(state.fleet.observed_exits.size(), 1u) << "of the present term";
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":3})"), 60});
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 70});
  state.cache.synchronized(70);
  ASSERT_TRUE(state.leads(leader.partition));
  state.drop_recorded_exits();
  EXPECT_TRUE(state.fleet.observed_exits.empty());
}

struct SchedulableCase {
  const char* name;
  std::function<void(agent::Machine&)> change;
  bool is_schedulable;
};
class Schedulable : public testing::TestWithParam<SchedulableCase> {};
TEST_P(Schedulable, OnlyWhileItsAgentObeysAndIsReachable) {
  ControllerState state(settings(), {});
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  const core::TimePoint now(core::to_duration(100));
  auto& machine = state.fleet.find_or_add(state.names, "host-1", {});
  machine.partition = core::PartitionId{0};
  machine.has_heartbeat = true;
  machine.fencing_token = 40;
  machine.last_heartbeat = now;
  GetParam().change(machine);
  EXPECT_EQ(state.is_schedulable(machine, now), GetParam().is_schedulable);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Schedulable,
    testing::Values(
        SchedulableCase{"obeys", [](auto&) {}, true},
        SchedulableCase{"knows_an_older_token", [](auto& machine) { machine.fencing_token = 39; }, false},
        SchedulableCase{
            "unreachable",
            [](auto& machine) { machine.mark_unreachable(core::TimePoint(core::to_duration(99))); }, false},
        SchedulableCase{"deleted", [](auto& machine) { machine.deleted = true; }, false},
        SchedulableCase{"silent", [](auto& machine) { machine.last_heartbeat = {}; }, false},
        SchedulableCase{"termination_notice", [](auto& machine) { machine.termination_notice_s = 10; },
                        false}),
    kCaseName);

TEST(ControllerState, NewLeaderUsesMachinesUntilTheirFirstHeartbeatIsOverdue) {
  ControllerState state(settings(), {});
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  state.leading_since[0] = core::TimePoint(core::to_duration(100));
  auto& machine = state.fleet.find_or_add(state.names, "host-1", {});
  machine.partition = core::PartitionId{0};
  machine.has_heartbeat = true;
  machine.fencing_token = 40;
  EXPECT_TRUE(state.is_schedulable(machine, core::TimePoint(core::to_duration(108))));
  EXPECT_FALSE(state.is_schedulable(machine, core::TimePoint(core::to_duration(109))))
      << "its agent has sent no heartbeat except answers";
}

TEST(ControllerState, DeletedMachinesStayDeleted) {
  ControllerState state(settings(), {});
  state.fleet.deleted_machines.insert(state.fleet.find_or_add(state.names, "host-1", {}).id);
  EXPECT_TRUE(state.fleet.was_deleted(state.names, "host-1"));
  EXPECT_FALSE(state.fleet.was_deleted(state.names, "host-2"));
}

struct DeadlineCase {
  const char* name;
  std::vector<config::Objective> objectives;
  std::optional<double> deadline_s;  // after submission; the task is expected to run for 100 s
  bool deferrable;
};
class Deferrable : public testing::TestWithParam<DeadlineCase> {};
// With an image of 10 GB and a heartbeat every 3 s: 150 s to run, 20 s to fetch, 12 s to start.
TEST_P(Deferrable, WhileOnlyADeadlineAppliesAndIsFarAway) {
  auto changed_settings = settings();
  changed_settings.heartbeat_interval_s = 3;
  changed_settings.objectives = GetParam().objectives;
  ControllerState state(changed_settings, {});
  jobs::JobSpec spec;
  spec.job_class = state.names.job_classes.intern("batch");
  spec.expected_run_s = 100;
  spec.image_gb = 10;
  spec.submitted_s = 1000;
  spec.deadline_s = GetParam().deadline_s;
  EXPECT_EQ(state.is_deferrable(spec, 1000), GetParam().deferrable);
}
const config::Objective kDeadline{"deadline", "batch", 0, 0.9}, kWait{"wait", "batch", 30, 0.9},
    kWaitOfOtherClass{"wait", "interactive", 30, 0.9};
INSTANTIATE_TEST_SUITE_P(
    Table, Deferrable,
    testing::Values(DeadlineCase{"far", {kDeadline}, 183, true},
                    DeadlineCase{"near", {kDeadline}, 182, false},
                    DeadlineCase{"no_deadline", {kDeadline}, {}, false},
                    DeadlineCase{"no_objective_for_the_class", {kWaitOfOtherClass}, 183, false},
                    DeadlineCase{"objective_of_another_class", {kWaitOfOtherClass, kDeadline}, 183, true},
                    DeadlineCase{"wait_objective_too", {kDeadline, kWait}, 183, false}),
    kCaseName);

TEST(ControllerState, JobClassTaskCountsDecayAfterTheirJobsEnd) {
  SinglePartition partition;
  const auto id = partition.job("req", 50, jobs::Shape::array);
  partition.state.update_job_class_profiles();
  ASSERT_EQ(partition.state.job_class_profiles.size(), 1u);
  EXPECT_DOUBLE_EQ(partition.state.job_class_profiles[0].active_tasks, 50);
  auto record = *partition.state.cache.job(id);
  record.status = jobs::Status::cancelled;
  record.ranges.clear();
  partition.state.cache.apply(
      {"jobs/req", jobs::to_json(record, partition.state.names), ++partition.revision});
  partition.state.update_job_class_profiles();
  EXPECT_DOUBLE_EQ(partition.state.job_class_profiles[0].active_tasks, 49);
}

}  // namespace
}  // namespace finchrun::controller
