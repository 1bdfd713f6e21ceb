#include "ledger/usage.hpp"

#include <gtest/gtest.h>

namespace finchrun::ledger {
namespace {

using core::TeamId;

// Window 30 s, decay 0.5, 3 windows: usage of window i counts 0.5^i, the fourth is dropped.
TEST(UsageWindows, DecayByAge) {
  UsageWindows u(2, 30, 3, 0.5);
  u.add(TeamId{0}, 8, 10);
  u.add(TeamId{1}, 4, 29);
  u.add(TeamId{0}, 2, 31);
  const struct {
    double now, team0, team1;
  } cases[] = {{31, 2 + 4, 2}, {65, 1 + 2, 1}, {91, 0.5, 0}, {1000, 0, 0}};
  for (const auto& c : cases) {
    u.roll(c.now);
    EXPECT_DOUBLE_EQ(u.decayed()[0], c.team0) << c.now;
    EXPECT_DOUBLE_EQ(u.decayed()[1], c.team1) << c.now;
  }
}

TEST(UsageWindows, TimeStepsBackAndRestores) {
  UsageWindows u(1, 30, 4, 0.5);
  u.add(TeamId{0}, 1, 95);
  u.add(TeamId{0}, 1, 85);  // the time of day may step back a little: the newest window goes on
  EXPECT_EQ(u.windows().size(), 1u);
  EXPECT_DOUBLE_EQ(u.decayed()[0], 2);
  UsageWindows other(1, 30, 4, 0.5);
  other.restore(u.index(), u.windows());
  other.roll(125);
  EXPECT_DOUBLE_EQ(other.decayed()[0], 1);
}

}  // namespace
}  // namespace finchrun::ledger
