#include "app/world.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace finchrun::app {
namespace {

config::Settings settings() {
  config::Settings s;
  s.label = "perch-0";
  s.zone = "a";
  s.zones = {"a"};
  s.teams = {{"red", 0, 0, 4, 8}};
  s.lease_s = 10;
  s.cancel_s = 30;
  return s;
}

TEST(World, NewOwnerDoesNotHoldOldSilenceAgainstMachines) {
  World w(settings(), {});
  auto& m = w.fleet.intern(w.names, "host-1");
  m.part = core::PartId{0};
  m.first_seen = core::TimePoint(core::secs(10));
  w.acting_since[0] = core::TimePoint(core::secs(200));
  EXPECT_DOUBLE_EQ(w.silent_s(m, core::TimePoint(core::secs(203))), 3);
  m.last_report = core::TimePoint(core::secs(202));
  EXPECT_DOUBLE_EQ(w.silent_s(m, core::TimePoint(core::secs(203))), 1);
}

TEST(World, AnswersWorkersWithoutNewsOnlyWhileCancellationsCanStillHold) {
  World w(settings(), {});
  w.synced_at = core::TimePoint(core::secs(100));
  EXPECT_TRUE(w.news_fresh(core::TimePoint(core::secs(115))));
  // 17 s of silence, then a worker's lease of 10 s, stay below cancel_s of 30 s.
  EXPECT_FALSE(w.news_fresh(core::TimePoint(core::secs(117))));
}

TEST(World, ActsOnlyOnceItHasReadWhatEarlierOwnersRecorded) {
  World w(settings(), {});
  w.loaded = true;
  w.incarnation = 7;
  w.mirror.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  EXPECT_TRUE(w.owns(core::PartId{0}));
  EXPECT_FALSE(w.acting(core::PartId{0}));
  w.mirror.synced(40);
  EXPECT_TRUE(w.acting(core::PartId{0}));
  w.mirror.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":8})"), 41});
  EXPECT_FALSE(w.owns(core::PartId{0})) << "a claim of another process of the same label";
}

struct UsableCase {
  const char* name;
  std::function<void(worker::Machine&)> change;
  bool usable;
};
class Usable : public testing::TestWithParam<UsableCase> {};
TEST_P(Usable, OnlyWhileItsWorkerIsSeenToObey) {
  World w(settings(), {});
  w.mirror.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  const core::TimePoint now(core::secs(100));
  auto& m = w.fleet.intern(w.names, "host-1");
  m.part = core::PartId{0};
  m.reported = true;
  m.token = 40;
  m.last_report = now;
  GetParam().change(m);
  EXPECT_EQ(w.usable(m, now), GetParam().usable);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Usable,
    testing::Values(UsableCase{"obeys", [](auto&) {}, true},
                    UsableCase{"under_an_older_token", [](auto& m) { m.token = 39; }, false},
                    UsableCase{"orders_may_not_reach_it",
                               [](auto& m) { m.doubt(core::TimePoint(core::secs(99))); }, false},
                    UsableCase{"was_deleted", [](auto& m) { m.gone = true; }, false},
                    UsableCase{"silent", [](auto& m) { m.last_report = {}; }, false},
                    UsableCase{"about_to_be_taken", [](auto& m) { m.notice_s = 10; }, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(World, NewOwnerUsesWhatHasAnsweredItUntilItIsMissed) {
  World w(settings(), {});
  w.mirror.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
  w.acting_since[0] = core::TimePoint(core::secs(100));
  auto& m = w.fleet.intern(w.names, "host-1");
  m.part = core::PartId{0};
  m.reported = true;
  m.token = 40;
  EXPECT_TRUE(w.usable(m, core::TimePoint(core::secs(108))));
  EXPECT_FALSE(w.usable(m, core::TimePoint(core::secs(109)))) << "its worker has not come by itself";
}

TEST(World, DeletedMachinesStayDeleted) {
  World w(settings(), {});
  w.fleet.deleted.insert(w.fleet.intern(w.names, "host-1").id);
  EXPECT_TRUE(w.fleet.was_deleted(w.names, "host-1"));
  EXPECT_FALSE(w.fleet.was_deleted(w.names, "host-2"));
}

}  // namespace
}  // namespace finchrun::app
