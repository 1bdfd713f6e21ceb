#include "sched/rank.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace finchrun::sched {
namespace {

using core::ImageId;
using core::TeamId;

// Calculated by hand from the paper's equations 4 to 8. The queue has 6 tasks:
//   3 of team 0 on image 0 with 4 cores, 1 of team 1 on image 1 with 8 cores, 2 of team 1 on image 2 with 2
//   cores.
// Grouping: the image with most tasks has 3. 3/3*100/6, 3/1*100/6, 3/2*100/6 = 16.667, 50, 25.
// Size: the largest task has 8 cores. Unscaled 8/4=2 (three times), 8/8=1, 8/2=4 (twice); the sum is 15.
// Scaled: 13.333, 6.667, 26.667. Usage: 30 and 10 decayed core-seconds, hence 75 and 25.
TEST(Rank, CostsMatchThePaper) {
  const std::vector<QueuedTasks> queue{
      {TeamId{0}, ImageId{0}, 4, 3}, {TeamId{1}, ImageId{1}, 8, 1}, {TeamId{1}, ImageId{2}, 2, 2}};
  const auto c = rank(queue, {2, 1}, {30, 10}, {0.5, 0.2, 0.3});
  const struct {
    double image, size, usage, total, weight;
  } want[] = {{16.6667, 13.3333, 75, 33.5, 2 / 33.5},
              {50, 6.6667, 25, 33.8333, 1 / 33.8333},
              {25, 26.6667, 25, 25.3333, 1 / 25.3333}};
  ASSERT_EQ(c.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_NEAR(c[i].image, want[i].image, 1e-3) << i;
    EXPECT_NEAR(c[i].size, want[i].size, 1e-3) << i;
    EXPECT_NEAR(c[i].usage, want[i].usage, 1e-3) << i;
    EXPECT_NEAR(c[i].total, want[i].total, 1e-3) << i;
    EXPECT_NEAR(c[i].weight, want[i].weight, 1e-5) << i;
  }
}

TEST(Rank, WeightIsProportionalToSharesAndUsageCostIsZeroWithoutUsage) {
  const std::vector<QueuedTasks> queue{{TeamId{0}, ImageId{0}, 4, 1}, {TeamId{1}, ImageId{0}, 4, 1}};
  const auto c = rank(queue, {3, 1}, {0, 0}, {0.3, 0.1, 0.6});
  EXPECT_DOUBLE_EQ(c[0].usage, 0);
  EXPECT_NEAR(c[0].weight / c[1].weight, 3, 1e-9);
}

TEST(Rank, HandlesEmptyQueueAndTaskWithoutCores) {
  EXPECT_TRUE(rank({}, {1}, {0}, {}).empty());
  const auto c = rank({{TeamId{0}, ImageId{0}, 0, 1}}, {1}, {0}, {});
  EXPECT_TRUE(std::isfinite(c[0].weight));
}

}  // namespace
}  // namespace finchrun::sched
