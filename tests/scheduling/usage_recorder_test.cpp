#include "scheduling/usage_recorder.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kPartition{0};

// 30 s windows: time of day 65 s is in window 2.
SinglePartition with_usage(const config::Settings& settings) {
  SinglePartition p(settings);
  p.state.usage[0].add(core::TeamId{0}, 100.4, 5);
  p.state.usage[0].add(core::TeamId{0}, 7.6, 65);
  p.state.usage_from[0] = p.state.fencing_token(kPartition);
  return p;
}

TEST(UsageRecords, NextLeaderReadsWhatWasUsed) {
  auto p = with_usage(single_partition_settings());
  const auto transactions = plan_usage_records(p.state);
  ASSERT_EQ(transactions.size(), 1u);
  ASSERT_EQ(transactions[0].compares.size(), 1u);
  EXPECT_EQ(transactions[0].compares[0].key, "parts/a.0");
  EXPECT_EQ(transactions[0].compares[0].revision, 40u);
  const auto& write = transactions[0].writes.at(0);
  EXPECT_EQ(write.key, "usage/a.0");
  p.state.cache.apply({write.key, write.value, 90});
  const auto& record = p.state.cache.usage(kPartition);
  EXPECT_EQ(record.index, 2);
  const std::deque<std::vector<double>> expected{{8}, {0}, {100}};
  EXPECT_EQ(record.windows, expected);
}

TEST(UsageRecords, OnlyUnderTheTokenThatUsageWasTakenOverUnder) {
  auto p = with_usage(single_partition_settings());
  p.state.usage_from[0] = 39;
  EXPECT_TRUE(plan_usage_records(p.state).empty());
}

TEST(UsageRecords, OldestWindowsGiveWayToTheLimitOfValues) {
  auto settings = single_partition_settings();
  settings.store_limits.max_value_kb = 55 / 1024.0 / 0.95;  // 48 bytes around [8],[0],[100]
  auto p = with_usage(settings);
  const auto transactions = plan_usage_records(p.state);
  ASSERT_EQ(transactions.size(), 1u);
  EXPECT_EQ(transactions[0].writes.at(0).value->at("w").as_array().size(), 1u);
}

}  // namespace
}  // namespace finchrun::scheduling
