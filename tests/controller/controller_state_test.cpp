#include "controller/controller_state.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"

namespace finchrun::controller {

using assignments::single_partition_settings;
using assignments::SinglePartition;
namespace {

config::Settings settings() {
  auto s = single_partition_settings();
  s.teams = {{"red", 0, 0, 4, 8}};
  s.lease_s = 10;
  s.cancel_s = 30;
  return s;
}

struct MemberCase {
  const char* name;
  std::vector<const char*> members;  // their records
  bool known;
};
class AllMembersKnow : public testing::TestWithParam<MemberCase> {};
// A controller of the version in production says nothing of what it can read.
TEST_P(AllMembersKnow, OnlyIfEveryListedMemberSaysSo) {
  ControllerState state(settings(), {});
  std::uint64_t revision = 0;
  for (const auto* record : GetParam().members) {
    ++revision;
    state.cache.apply({"members/perch-" + std::to_string(revision), boost::json::parse(record), revision});
  }
  EXPECT_EQ(state.all_members_know(state::kServicesLevel), GetParam().known);
}
INSTANTIATE_TEST_SUITE_P(
    Table, AllMembersKnow,
    testing::Values(MemberCase{"nobody_listed", {}, false},
                    MemberCase{"all_new", {R"({"inc":1,"level":1})", R"({"inc":2,"level":2})"}, true},
                    MemberCase{"one_of_production", {R"({"inc":1,"level":1})", R"({"inc":2})"}, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, SilenceTowardsAnEarlierLeaderDoesNotCount) {
  ControllerState state(settings(), {});
  auto& m = state.fleet.intern(state.names, "host-1");
  m.partition = core::PartitionId{0};
  m.first_seen = core::TimePoint(core::to_duration(10));
  state.leading_since[0] = core::TimePoint(core::to_duration(200));
  EXPECT_DOUBLE_EQ(state.silent_s(m, core::TimePoint(core::to_duration(203))), 3);
  m.last_heartbeat = core::TimePoint(core::to_duration(202));
  EXPECT_DOUBLE_EQ(state.silent_s(m, core::TimePoint(core::to_duration(203))), 1);
}

// An agent answered last keeps its tasks for a lease: 16.9 s in which cancellations may be unknown and then
// the lease of 10 s stay below cancel_s of 30 s. They are known by the newest read of the store, or from the
// answers of all other controllers.
struct RenewalCase {
  const char* name;
  double synchronized_s, confirmed_s[2], now_s;
  bool may_renew;
};
class LeaseRenewal : public testing::TestWithParam<RenewalCase> {};
TEST_P(LeaseRenewal, EndsBeforeAnUnknownCancellationCouldBeOverdue) {
  auto s = settings();
  s.members = {{"perch-1", "a", {}}, {"perch-2", "a", {}}};
  ControllerState state(s, {});
  const auto& c = GetParam();
  state.synchronized_at = core::TimePoint(core::to_duration(c.synchronized_s));
  for (std::size_t m = 0; m < 2; ++m)
    state.cancellations_confirmed_at[m] = core::TimePoint(core::to_duration(c.confirmed_s[m]));
  EXPECT_EQ(state.may_renew_leases(core::TimePoint(core::to_duration(c.now_s))), c.may_renew);
  state.settings.nodes = 4;  // one more than the settings name: only the store shows what it has confirmed
  EXPECT_EQ(state.may_renew_leases(core::TimePoint(core::to_duration(c.now_s))),
            c.may_renew && c.now_s < c.synchronized_s + 16.9);
}
INSTANTIATE_TEST_SUITE_P(
    Table, LeaseRenewal,
    testing::Values(RenewalCase{"store_alone", 100, {0, 0}, 116.8, true},
                    RenewalCase{"store_alone_too_old", 100, {0, 0}, 117, false},
                    RenewalCase{"all_have_answered", 100, {180, 190}, 196.8, true},
                    RenewalCase{"all_have_answered_too_long_ago", 100, {180, 190}, 197, false},
                    RenewalCase{"one_has_not_answered", 100, {0, 190}, 191, false},
                    RenewalCase{"one_answered_before_the_newest_read", 100, {50, 190}, 116.8, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, LeadsOnlyOnceItHasReadWhatEarlierLeadersRecorded) {
  ControllerState state(settings(), {});
  state.loaded = true;
  state.incarnation = 7;
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  EXPECT_TRUE(state.holds_leadership(core::PartitionId{0}));
  EXPECT_FALSE(state.leads(core::PartitionId{0}));
  state.cache.synchronized(40);
  EXPECT_TRUE(state.leads(core::PartitionId{0}));
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":8})"), 41});
  EXPECT_FALSE(state.holds_leadership(core::PartitionId{0}))
      << "a leadership record of another process of the same label";
}

struct UsableCase {
  const char* name;
  std::function<void(agent::Machine&)> change;
  bool usable;
};
class Usable : public testing::TestWithParam<UsableCase> {};
TEST_P(Usable, OnlyWhileItsAgentIsSeenToObey) {
  ControllerState state(settings(), {});
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  const core::TimePoint now(core::to_duration(100));
  auto& m = state.fleet.intern(state.names, "host-1");
  m.partition = core::PartitionId{0};
  m.has_heartbeat = true;
  m.fencing_token = 40;
  m.last_heartbeat = now;
  GetParam().change(m);
  EXPECT_EQ(state.usable(m, now), GetParam().usable);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Usable,
    testing::Values(UsableCase{"obeys", [](auto&) {}, true},
                    UsableCase{"under_an_older_token", [](auto& m) { m.fencing_token = 39; }, false},
                    UsableCase{"commands_may_not_reach_it",
                               [](auto& m) { m.mark_unreachable(core::TimePoint(core::to_duration(99))); }, false},
                    UsableCase{"was_deleted", [](auto& m) { m.gone = true; }, false},
                    UsableCase{"silent", [](auto& m) { m.last_heartbeat = {}; }, false},
                    UsableCase{"termination_notice", [](auto& m) { m.termination_notice_s = 10; }, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, NewLeaderUsesMachinesThatAnsweredItUntilTheyAreMissed) {
  ControllerState state(settings(), {});
  state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  state.leading_since[0] = core::TimePoint(core::to_duration(100));
  auto& m = state.fleet.intern(state.names, "host-1");
  m.partition = core::PartitionId{0};
  m.has_heartbeat = true;
  m.fencing_token = 40;
  EXPECT_TRUE(state.usable(m, core::TimePoint(core::to_duration(108))));
  EXPECT_FALSE(state.usable(m, core::TimePoint(core::to_duration(109))))
      << "its agent has sent no heartbeat by itself";
}

TEST(ControllerState, DeletedMachinesStayDeleted) {
  ControllerState state(settings(), {});
  state.fleet.deleted.insert(state.fleet.intern(state.names, "host-1").id);
  EXPECT_TRUE(state.fleet.was_deleted(state.names, "host-1"));
  EXPECT_FALSE(state.fleet.was_deleted(state.names, "host-2"));
}

struct DeadlineCase {
  const char* name;
  std::vector<config::Objective> objectives;
  std::optional<double> deadline_s;  // since submission; the task is expected to run for 100 s
  bool deferrable;
};
class Deferrable : public testing::TestWithParam<DeadlineCase> {};
// With an image of 10 GB and a heartbeat every 3 s: 150 s to run, 20 s to fetch, 12 s to start.
TEST_P(Deferrable, WhileOnlyADeadlineCountsAndThatIsFar) {
  auto s = settings();
  s.report_s = 3;
  s.objectives = GetParam().objectives;
  ControllerState state(s, {});
  jobs::JobSpec spec;
  spec.job_class = state.names.job_classes.intern("batch");
  spec.expected_run_s = 100;
  spec.image_gb = 10;
  spec.submitted_s = 1000;
  spec.deadline_s = GetParam().deadline_s;
  EXPECT_EQ(state.deferrable(spec, 1000), GetParam().deferrable);
}
const config::Objective kDeadlines{"deadline", "batch", 0, 0.9}, kWaits{"wait", "batch", 30, 0.9},
    kWaitsOfOthers{"wait", "interactive", 30, 0.9};
INSTANTIATE_TEST_SUITE_P(
    Table, Deferrable,
    testing::Values(DeadlineCase{"far", {kDeadlines}, 183, true},
                    DeadlineCase{"near", {kDeadlines}, 182, false},
                    DeadlineCase{"no_deadline", {kDeadlines}, {}, false},
                    DeadlineCase{"nothing_asked_of_the_class", {kWaitsOfOthers}, 183, false},
                    DeadlineCase{"other_classes_do_not_count", {kWaitsOfOthers, kDeadlines}, 183, true},
                    DeadlineCase{"short_waits_asked_too", {kDeadlines, kWaits}, 183, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, JobClassesFadeWhenTheirJobsAreOver) {
  SinglePartition p;
  const auto id = p.job("req", 50, jobs::Shape::array);
  p.state.observe_job_classes();
  ASSERT_EQ(p.state.job_classes.size(), 1u);
  EXPECT_DOUBLE_EQ(p.state.job_classes[0].tasks, 50);
  auto record = *p.state.cache.job(id);
  record.status = jobs::Status::cancelled;
  record.ranges.clear();
  p.state.cache.apply({"jobs/req", jobs::to_json(record, p.state.names), ++p.revision});
  p.state.observe_job_classes();
  EXPECT_DOUBLE_EQ(p.state.job_classes[0].tasks, 49);
}

}  // namespace
}  // namespace finchrun::controller
