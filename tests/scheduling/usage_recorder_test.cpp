#include "scheduling/usage_recorder.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kPartition{0};

// With windows of 30 s, wall time 65 s is in window 2.
SinglePartition with_usage(const config::Settings& settings) {
  SinglePartition deployment(settings);
  deployment.state.usage[0].add(core::TeamId{0}, 100.4, 5);
  deployment.state.usage[0].add(core::TeamId{0}, 7.6, 65);
  deployment.state.usage_fencing_tokens[0] = deployment.state.fencing_token(kPartition);
  return deployment;
}

TEST(UsageRecords, NextLeaderReadsRecordedUsage) {
  auto deployment = with_usage(single_partition_settings());
  const auto transactions = plan_usage_records(deployment.state);
  ASSERT_EQ(transactions.size(), 1u);
  ASSERT_EQ(transactions[0].compares.size(), 1u);
  EXPECT_EQ(transactions[0].compares[0].key, "parts/a.0");
  EXPECT_EQ(transactions[0].compares[0].revision, 40u);
  const auto& write = transactions[0].writes.at(0);
  EXPECT_EQ(write.key, "usage/a.0");
  deployment.state.cache.apply({write.key, write.value, 90});
  const auto& record = deployment.state.cache.usage(kPartition);
  EXPECT_EQ(record.index, 2);
  const std::deque<std::vector<double>> expected{{8}, {0}, {100}};
  EXPECT_EQ(record.windows, expected);
}

TEST(UsageRecords, NotWrittenUnderAnotherFencingToken) {
  auto deployment = with_usage(single_partition_settings());
  deployment.state.usage_fencing_tokens[0] = 39;
  EXPECT_TRUE(plan_usage_records(deployment.state).empty());
}

TEST(UsageRecords, OldestWindowsAreDroppedAtValueSizeLimit) {
  auto settings = single_partition_settings();
  settings.store_limits.max_value_kb = 55 / 1024.0 / 0.95;  // 48 bytes around [8],[0],[100]
  auto deployment = with_usage(settings);
  const auto transactions = plan_usage_records(deployment.state);
  ASSERT_EQ(transactions.size(), 1u);
  EXPECT_EQ(transactions[0].writes.at(0).value->at("w").as_array().size(), 1u);
}

}  // namespace
}  // namespace finchrun::scheduling
