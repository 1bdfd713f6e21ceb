#include "scheduling/partition_writer.hpp"

#include <gtest/gtest.h>

namespace finchrun::scheduling {
namespace {

// Three of five controllers lead partitions. The shares add up to more than 1, since controllers seldom
// use all of them.
TEST(WriteShare, LeadersShareAllAndOthersShareAQuarter) {
  EXPECT_DOUBLE_EQ(write_share(3, 5, true), 1.0 / 3);
  EXPECT_DOUBLE_EQ(write_share(3, 5, false), 0.125);
  EXPECT_DOUBLE_EQ(write_share(5, 5, false), 0.25) << "a controller that is not in the settings";
  EXPECT_DOUBLE_EQ(write_share(0, 5, false), 0.05) << "no partition has a leader yet";
}

}  // namespace
}  // namespace finchrun::scheduling
