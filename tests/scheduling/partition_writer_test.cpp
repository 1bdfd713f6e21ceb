#include "scheduling/partition_writer.hpp"

#include <gtest/gtest.h>

namespace finchrun::scheduling {
namespace {

// Three of five controllers lead partitions. Together they may write a little more than there is.
TEST(ShareOfWrites, LeadersShareAllAndTheOthersAQuarter) {
  EXPECT_DOUBLE_EQ(share_of_writes(3, 5, true), 1.0 / 3);
  EXPECT_DOUBLE_EQ(share_of_writes(3, 5, false), 0.125);
  EXPECT_DOUBLE_EQ(share_of_writes(5, 5, false), 0.25) << "one that the settings don't name";
  EXPECT_DOUBLE_EQ(share_of_writes(0, 5, false), 0.05) << "nobody leads yet";
}

}  // namespace
}  // namespace finchrun::scheduling
