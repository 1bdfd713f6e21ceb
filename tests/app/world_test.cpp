#include "app/world.hpp"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace finchrun::app
