#include "ledger/usage.hpp"

#include <gtest/gtest.h>

namespace finchrun::ledger {
namespace {

using core::TeamId;

// With 3 windows of 30 s and decay 0.5, usage i windows ago has weight 0.5^i, and the fourth window is
// dropped.
TEST(UsageWindows, DecayByAge) {
  UsageWindows usage(2, 30, 3, 0.5);
  usage.add(TeamId{0}, 8, 10);
  usage.add(TeamId{1}, 4, 29);
  usage.add(TeamId{0}, 2, 31);
  const struct {
    double now, team0, team1;
  } cases[] = {{31, 2 + 4, 2}, {65, 1 + 2, 1}, {91, 0.5, 0}, {1000, 0, 0}};
  for (const auto& c : cases) {
    usage.advance(c.now);
    EXPECT_DOUBLE_EQ(usage.decayed()[0], c.team0) << c.now;
    EXPECT_DOUBLE_EQ(usage.decayed()[1], c.team1) << c.now;
  }
}

TEST(UsageWindows, TolerateClockStepBackAndRestore) {
  UsageWindows usage(1, 30, 4, 0.5);
  usage.add(TeamId{0}, 1, 95);
  usage.add(TeamId{0}, 1, 85);  // the clock has stepped back; the newest window stays current
  EXPECT_EQ(usage.windows().size(), 1u);
  EXPECT_DOUBLE_EQ(usage.decayed()[0], 2);
  UsageWindows other(1, 30, 4, 0.5);
  other.restore(usage.index(), usage.windows());
  other.advance(125);
  EXPECT_DOUBLE_EQ(other.decayed()[0], 1);
}

}  // namespace
}  // namespace finchrun::ledger
