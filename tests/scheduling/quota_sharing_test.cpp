#include "scheduling/quota_sharing.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kOwnPartition{0};  // a.0, led here; b.0 has another leader
constexpr core::TeamId kTeam{0};
constexpr std::uint64_t kFencingToken = 40;
const core::TimePoint kNow(core::to_duration(100));

core::Resources gpus(double n) { return {0, n, 0}; }

struct DemandCase {
  const char* name;
  bool gang;
  std::size_t tasks;
  double used;  // of a share of 8
  double shortfall;
};
class Shortages : public testing::TestWithParam<DemandCase> {};
TEST_P(Shortages, CoverTasksThatCouldStartAtOnce) {
  const auto& c = GetParam();
  sched::Demand demand;
  demand.team = kTeam;
  demand.need = gpus(2);
  demand.gang = c.gang;
  demand.tasks.resize(c.tasks);
  sched::Plan plan;
  plan.unplaced = {0};
  plan.team_quotas = {{gpus(c.used), 0, 8}};
  const auto found = quota_shortages(kOwnPartition, plan, {demand}, {gpus(30)});
  ASSERT_EQ(found.size(), 1u);
  EXPECT_DOUBLE_EQ(found[0].shortfall.gpus, c.shortfall);
  EXPECT_DOUBLE_EQ(found[0].used.gpus, c.used);
  EXPECT_DOUBLE_EQ(found[0].team_used.gpus, 30);
}
INSTANTIATE_TEST_SUITE_P(Table, Shortages,
                         testing::Values(DemandCase{"array_waits_for_machines", false, 100, 6, 0},
                                         DemandCase{"array_over_its_share", false, 3, 7, 6},
                                         DemandCase{"large_array_requests_16_tasks", false, 100, 8, 32},
                                         DemandCase{"gang_waits_for_machines", true, 4, 0, 0},
                                         DemandCase{"gang_over_its_share", true, 4, 5, 5}),
                         kCaseName);

// Team red has a limit of 800. Shares and requests of a.0 (led here) and b.0.
struct Record {
  double own_share, own_request, other_share, other_request;
  bool operator==(const Record&) const = default;
};
struct ShareCase {
  const char* name;
  Record before;
  double used, shortfall, team_used;
  std::optional<Record> after;  // nullopt: the record does not change
  double withdrawn_s = 0;       // time of this controller's last withdrawal; now is 100
  bool fence_due = false;
};
class PlanQuotaSharing : public testing::TestWithParam<ShareCase> {
 protected:
  static config::Settings settings() {
    auto settings = single_partition_settings();
    settings.zones = {"a", "b"};
    return settings;
  }
  static boost::json::value to_json(const Record& record) {
    return {{"parts",
             {{"a.0", {0., record.own_share, 0., record.own_request}},
              {"b.0", {0., record.other_share, 0., record.other_request}}}}};
  }
};
TEST_P(PlanQuotaSharing, ChangesOnlyPartitionsLedHere) {
  const auto& c = GetParam();
  SinglePartition deployment(settings());
  deployment.state.cache.apply({"teams/red", to_json(c.before), 51});
  deployment.state.cache.apply({"fence/a.0", boost::json::value(1), 52});
  deployment.state.fences[kOwnPartition.index].unanswered_write_token = c.fence_due ? 40 : 0;
  const core::TimePoint withdrawn_at(core::to_duration(c.withdrawn_s));
  const std::vector<QuotaShortage> shortages{
      {kOwnPartition, kTeam, gpus(c.used), gpus(c.shortfall), gpus(c.team_used)},
      {core::PartitionId{1}, kTeam, gpus(0), gpus(700), gpus(c.team_used)}};  // not led here
  const auto plan = plan_quota_sharing(deployment.state, shortages, withdrawn_at, kNow);
  const bool withdrawn = c.after && c.before.own_request > 0 && c.after->own_request == 0;
  EXPECT_EQ(plan.request_withdrawn_at, withdrawn ? kNow : withdrawn_at);
  ASSERT_EQ(plan.transactions.size(), c.after ? 1u : 0u);
  if (!c.after) return;
  const auto& transaction = plan.transactions[0];
  ASSERT_EQ(transaction.writes.size(), 1u);
  EXPECT_EQ(transaction.writes[0].key, "teams/red");
  EXPECT_EQ(*transaction.writes[0].value, to_json(*c.after));
  std::map<std::string, std::uint64_t> compares;
  for (const auto& compare : transaction.compares) compares[compare.key] = compare.revision;
  const std::map<std::string, std::uint64_t> expected{
      {"parts/a.0", 40}, {"fence/a.0", 52}, {"teams/red", 51}};
  EXPECT_EQ(compares, expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, PlanQuotaSharing,
    testing::Values(
        ShareCase{"no_shortage", {400, 0, 400, 0}, 50, 0, 90, {}},
        ShareCase{"request", {400, 0, 400, 0}, 400, 16, 450, Record{400, 16, 400, 0}},
        ShareCase{"request_within_the_limit", {400, 0, 400, 0}, 400, 600, 450, Record{400, 350, 400, 0}},
        ShareCase{"team_at_its_limit", {400, 0, 400, 0}, 400, 16, 800, {}},
        ShareCase{"request_increase_too_small", {400, 16, 400, 0}, 400, 20, 450, {}},
        ShareCase{"request_raised", {400, 16, 400, 0}, 400, 32, 450, Record{400, 32, 400, 0}},
        ShareCase{"request_withdrawn", {400, 16, 400, 0}, 400, 0, 450, Record{400, 0, 400, 0}, 97},
        ShareCase{"no_second_withdrawal_within_interval", {400, 16, 400, 0}, 400, 0, 450, {}, 99},
        ShareCase{"grant", {400, 0, 400, 100}, 50, 0, 450, Record{300, 0, 500, 0}},
        ShareCase{"grant_limited_to_unused", {400, 0, 400, 390}, 50, 0, 450, Record{50, 0, 750, 40}},
        ShareCase{"no_grant_while_a_fence_is_due", {400, 0, 400, 100}, 50, 0, 450, {}, 0, true}),
    kCaseName);

// Changes by a former leader would conflict with the decisions of the current one.
TEST(QuotaSharing, NoChangeWithoutLeadership) {
  auto settings = single_partition_settings();
  settings.zones = {"a", "b"};
  SinglePartition deployment(settings);
  const std::vector<QuotaShortage> shortages{{kOwnPartition, kTeam, gpus(400), gpus(16), gpus(450)}};
  EXPECT_EQ(plan_quota_sharing(deployment.state, shortages, {}, kNow).transactions.size(), 1u);
  deployment.state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":8})"), 60});
  EXPECT_TRUE(plan_quota_sharing(deployment.state, shortages, {}, kNow).transactions.empty());
}

// Guards against a transaction over the limit on compares, which the store refuses for good: a leader of many
// partitions, all of which request more.
TEST(QuotaSharing, RequestsOfManyPartitionsNeedSeveralTransactionsWithinTheLimits) {
  constexpr std::uint32_t kPartitions = 12;
  auto settings = single_partition_settings();
  settings.store_limits.max_transaction_writes = 5;
  config::Tuning tuning;
  tuning.partitions_per_zone = kPartitions;
  controller::ControllerState state(settings, tuning);
  state.cache_loaded = true;
  state.incarnation = 7;
  std::vector<QuotaShortage> shortages;
  for (std::uint32_t p = 0; p < kPartitions; ++p) {
    state.cache.apply({"parts/a." + std::to_string(p), boost::json::parse(R"({"owner":"perch-0","inc":7})"),
                       kFencingToken});
    shortages.push_back({core::PartitionId{p}, kTeam, gpus(800.0 / kPartitions), gpus(16), gpus(700)});
  }
  state.cache.synchronized(kFencingToken);
  std::size_t transactions = 0;
  for (std::uint64_t revision = 100;; ++revision) {
    const auto plan = plan_quota_sharing(state, shortages, {}, kNow);
    if (plan.transactions.empty()) break;
    ASSERT_LT(++transactions, kPartitions);
    const auto& planned = plan.transactions.at(0);
    EXPECT_LE(planned.compares.size(), settings.store_limits.max_compares());
    for (const auto& write : planned.writes) state.cache.apply({write.key, write.value, revision});
  }
  for (std::uint32_t p = 0; p < kPartitions; ++p)
    EXPECT_GT(state.quota_shares(kTeam).requested(core::PartitionId{p}).gpus, 0) << p;
}

}  // namespace
}  // namespace finchrun::scheduling
