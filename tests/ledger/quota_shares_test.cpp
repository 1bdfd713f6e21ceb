#include "ledger/quota_shares.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"

namespace finchrun::ledger {
namespace {

using core::PartitionId;

double total(const QuotaShares& shares, std::uint32_t partitions) {
  double sum = 0;
  for (std::uint32_t p = 0; p < partitions; ++p) sum += shares.share(PartitionId{p}).gpus;
  return sum;
}

struct Case {
  const char* name;
  double requested;  // by partition 0
  double used[3];    // by partition
  double share[3];
};
class GrantSurplus : public testing::TestWithParam<Case> {};
TEST_P(GrantSurplus, MovesOnlyUnusedAndRequestedAmounts) {
  const auto& c = GetParam();
  QuotaShares shares({0, 30, 0}, 3);
  shares.request(PartitionId{0}, {0, c.requested, 0});
  for (std::uint32_t p = 1; p < 3; ++p) shares.grant_surplus(PartitionId{p}, {0, c.used[p], 0});
  for (std::uint32_t p = 0; p < 3; ++p) EXPECT_DOUBLE_EQ(shares.share(PartitionId{p}).gpus, c.share[p]) << p;
  EXPECT_DOUBLE_EQ(total(shares, 3), 30);
}
INSTANTIATE_TEST_SUITE_P(Table, GrantSurplus,
                         testing::Values(Case{"no_request", 0, {0, 0, 0}, {10, 10, 10}},
                                         Case{"one_partition_grants_all", 4, {0, 2, 0}, {14, 6, 10}},
                                         Case{"two_partitions_grant", 16, {0, 2, 0}, {26, 2, 2}},
                                         Case{"used_amounts_are_kept", 20, {0, 9, 10}, {11, 9, 10}},
                                         Case{"request_is_capped_by_the_limit", 99, {0, 0, 0}, {30, 0, 0}}),
                         kCaseName);

TEST(QuotaShares, NothingIsGrantedWithoutLimit) {
  QuotaShares shares({0, 0, 0}, 2);
  shares.request(PartitionId{0}, {8, 1, 0});
  EXPECT_FALSE(shares.grant_surplus(PartitionId{1}, {}));
}

}  // namespace
}  // namespace finchrun::ledger
