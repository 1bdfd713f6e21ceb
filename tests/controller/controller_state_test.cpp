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

struct ListedMachine {
  const char* name;
  std::vector<const char*> members;  // their records
  bool known;
};
class StandingJobs : public testing::TestWithParam<ListedMachine> {};
// A controller of the version in production says nothing of what it can read.
TEST_P(StandingJobs, NeedEveryListedMemberToKnowThem) {
  ControllerState w(settings(), {});
  std::uint64_t revision = 0;
  for (const auto* record : GetParam().members) {
    ++revision;
    w.cache.apply({"members/perch-" + std::to_string(revision), boost::json::parse(record), revision});
  }
  EXPECT_EQ(w.all_members_know(state::kStandingJobs), GetParam().known);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StandingJobs,
    testing::Values(ListedMachine{"nobody_listed", {}, false},
                    ListedMachine{"all_new", {R"({"inc":1,"level":1})", R"({"inc":2,"level":2})"}, true},
                    ListedMachine{"one_of_production", {R"({"inc":1,"level":1})", R"({"inc":2})"}, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, NewOwnerDoesNotHoldOldSilenceAgainstMachines) {
  ControllerState w(settings(), {});
  auto& m = w.fleet.intern(w.names, "host-1");
  m.partition = core::PartitionId{0};
  m.first_seen = core::TimePoint(core::secs(10));
  w.leading_since[0] = core::TimePoint(core::secs(200));
  EXPECT_DOUBLE_EQ(w.silent_s(m, core::TimePoint(core::secs(203))), 3);
  m.last_heartbeat = core::TimePoint(core::secs(202));
  EXPECT_DOUBLE_EQ(w.silent_s(m, core::TimePoint(core::secs(203))), 1);
}

// An agent answered last keeps its tasks for a lease: 16.9 s without news of cancellations and then the lease
// of 10 s stay below cancel_s of 30 s. News is the newest read of the store, or what all other controllers
// have told.
struct News {
  const char* name;
  double synced_s, told_s[2], now_s;
  bool fresh;
};
class NewsFresh : public testing::TestWithParam<News> {};
TEST_P(NewsFresh, AnswersWorkersOnlyWhileCancellationsCanStillHold) {
  auto s = settings();
  s.members = {{"perch-1", "a", {}}, {"perch-2", "a", {}}};
  ControllerState w(s, {});
  const auto& c = GetParam();
  w.synchronized_at = core::TimePoint(core::secs(c.synced_s));
  for (std::size_t m = 0; m < 2; ++m)
    w.cancellations_confirmed_at[m] = core::TimePoint(core::secs(c.told_s[m]));
  EXPECT_EQ(w.may_renew_leases(core::TimePoint(core::secs(c.now_s))), c.fresh);
  w.settings.nodes = 4;  // one more than the settings name: only the store tells what it has confirmed
  EXPECT_EQ(w.may_renew_leases(core::TimePoint(core::secs(c.now_s))), c.fresh && c.now_s < c.synced_s + 16.9);
}
INSTANTIATE_TEST_SUITE_P(Table, NewsFresh,
                         testing::Values(News{"store_alone", 100, {0, 0}, 116.8, true},
                                         News{"store_alone_too_old", 100, {0, 0}, 117, false},
                                         News{"all_have_told", 100, {180, 190}, 196.8, true},
                                         News{"all_have_told_too_long_ago", 100, {180, 190}, 197, false},
                                         News{"one_has_not_told", 100, {0, 190}, 191, false},
                                         News{
                                             "one_told_before_the_newest_read", 100, {50, 190}, 116.8, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, ActsOnlyOnceItHasReadWhatEarlierOwnersRecorded) {
  ControllerState w(settings(), {});
  w.loaded = true;
  w.incarnation = 7;
  w.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  EXPECT_TRUE(w.holds_leadership(core::PartitionId{0}));
  EXPECT_FALSE(w.leads(core::PartitionId{0}));
  w.cache.synchronized(40);
  EXPECT_TRUE(w.leads(core::PartitionId{0}));
  w.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":8})"), 41});
  EXPECT_FALSE(w.holds_leadership(core::PartitionId{0})) << "a claim of another process of the same label";
}

struct UsableCase {
  const char* name;
  std::function<void(agent::Machine&)> change;
  bool usable;
};
class Usable : public testing::TestWithParam<UsableCase> {};
TEST_P(Usable, OnlyWhileItsWorkerIsSeenToObey) {
  ControllerState w(settings(), {});
  w.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  const core::TimePoint now(core::secs(100));
  auto& m = w.fleet.intern(w.names, "host-1");
  m.partition = core::PartitionId{0};
  m.has_heartbeat = true;
  m.fencing_token = 40;
  m.last_heartbeat = now;
  GetParam().change(m);
  EXPECT_EQ(w.usable(m, now), GetParam().usable);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Usable,
    testing::Values(UsableCase{"obeys", [](auto&) {}, true},
                    UsableCase{"under_an_older_token", [](auto& m) { m.fencing_token = 39; }, false},
                    UsableCase{"orders_may_not_reach_it",
                               [](auto& m) { m.mark_unreachable(core::TimePoint(core::secs(99))); }, false},
                    UsableCase{"was_deleted", [](auto& m) { m.gone = true; }, false},
                    UsableCase{"silent", [](auto& m) { m.last_heartbeat = {}; }, false},
                    UsableCase{"about_to_be_taken", [](auto& m) { m.termination_notice_s = 10; }, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ControllerState, NewOwnerUsesWhatHasAnsweredItUntilItIsMissed) {
  ControllerState w(settings(), {});
  w.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  w.leading_since[0] = core::TimePoint(core::secs(100));
  auto& m = w.fleet.intern(w.names, "host-1");
  m.partition = core::PartitionId{0};
  m.has_heartbeat = true;
  m.fencing_token = 40;
  EXPECT_TRUE(w.usable(m, core::TimePoint(core::secs(108))));
  EXPECT_FALSE(w.usable(m, core::TimePoint(core::secs(109)))) << "its worker has not come by itself";
}

TEST(ControllerState, DeletedMachinesStayDeleted) {
  ControllerState w(settings(), {});
  w.fleet.deleted.insert(w.fleet.intern(w.names, "host-1").id);
  EXPECT_TRUE(w.fleet.was_deleted(w.names, "host-1"));
  EXPECT_FALSE(w.fleet.was_deleted(w.names, "host-2"));
}

}  // namespace
}  // namespace finchrun::controller
