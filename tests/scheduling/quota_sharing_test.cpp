#include "scheduling/quota_sharing.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::scheduling {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

constexpr core::PartitionId kOurs{0};  // a.0; b.0 has another leader
constexpr core::TeamId kTeam{0};
const core::TimePoint kNow(core::to_duration(100));

core::Resources gpus(double n) { return {0, n, 0}; }

struct DemandCase {
  const char* name;
  bool gang;
  std::size_t tasks;
  double used;  // of a share of 8
  double lacking;
};
class Shortages : public testing::TestWithParam<DemandCase> {};
TEST_P(Shortages, AreWhatCouldStartAtOnce) {
  const auto& c = GetParam();
  sched::Demand demand;
  demand.team = kTeam;
  demand.need = gpus(2);
  demand.gang = c.gang;
  demand.tasks.resize(c.tasks);
  sched::Plan plan;
  plan.unplaced = {0};
  plan.teams = {{gpus(c.used), 0, 8}};
  const auto found = quota_shortages(kOurs, plan, {demand}, {gpus(30)});
  ASSERT_EQ(found.size(), 1u);
  EXPECT_DOUBLE_EQ(found[0].lacking.gpus, c.lacking);
  EXPECT_DOUBLE_EQ(found[0].used.gpus, c.used);
  EXPECT_DOUBLE_EQ(found[0].team_used.gpus, 30);
}
INSTANTIATE_TEST_SUITE_P(Table, Shortages,
                         testing::Values(DemandCase{"array_waits_for_machines", false, 100, 6, 0},
                                         DemandCase{"array_over_its_share", false, 3, 7, 6},
                                         DemandCase{"large_array_in_steps", false, 100, 8, 32},
                                         DemandCase{"gang_waits_for_machines", true, 4, 0, 0},
                                         DemandCase{"gang_over_its_share", true, 4, 5, 5}),
                         [](const auto& info) { return std::string(info.param.name); });

// Team red has a limit of 800. What a.0, ours, and b.0 have and request before and after.
struct Record {
  double our_share, our_request, other_share, other_request;
  bool operator==(const Record&) const = default;
};
struct ShareCase {
  const char* name;
  Record before;
  double used, lacking, team_used;
  std::optional<Record> after;  // nothing: the record stays
  double withdrawn_s = 0;       // when this controller last withdrew a request; now: 100
  bool fence_due = false;
};
class PlanQuotaSharing : public testing::TestWithParam<ShareCase> {
 protected:
  static config::Settings settings() {
    auto s = single_partition_settings();
    s.zones = {"a", "b"};
    return s;
  }
  static boost::json::value to_json(const Record& r) {
    return {
        {"parts",
         {{"a.0", {0., r.our_share, 0., r.our_request}}, {"b.0", {0., r.other_share, 0., r.other_request}}}}};
  }
};
TEST_P(PlanQuotaSharing, RequestsAndGrantsForOwnPartitionsOnly) {
  const auto& c = GetParam();
  SinglePartition p(settings());
  p.state.cache.apply({"teams/red", to_json(c.before), 51});
  p.state.cache.apply({"fence/a.0", boost::json::value(1), 52});
  p.state.fence_due[kOurs.index] = c.fence_due ? 1 : 0;
  const core::TimePoint withdrawn_at(core::to_duration(c.withdrawn_s));
  const std::vector<QuotaShortage> shortages{
      {kOurs, kTeam, gpus(c.used), gpus(c.lacking), gpus(c.team_used)},
      {core::PartitionId{1}, kTeam, gpus(0), gpus(700), gpus(c.team_used)}};  // not ours to change
  const auto plan = plan_quota_sharing(p.state, shortages, withdrawn_at, kNow);
  const bool withdrawn = c.after && c.before.our_request > 0 && c.after->our_request == 0;
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
        ShareCase{"nothing_lacks", {400, 0, 400, 0}, 50, 0, 90, {}},
        ShareCase{"request", {400, 0, 400, 0}, 400, 16, 450, Record{400, 16, 400, 0}},
        ShareCase{"request_within_the_limit", {400, 0, 400, 0}, 400, 600, 450, Record{400, 350, 400, 0}},
        ShareCase{"team_at_its_limit", {400, 0, 400, 0}, 400, 16, 800, {}},
        ShareCase{"request_hardly_larger", {400, 16, 400, 0}, 400, 20, 450, {}},
        ShareCase{"request_raised", {400, 16, 400, 0}, 400, 32, 450, Record{400, 32, 400, 0}},
        ShareCase{"request_withdrawn", {400, 16, 400, 0}, 400, 0, 450, Record{400, 0, 400, 0}, 97},
        ShareCase{"withdrawn_a_moment_ago", {400, 16, 400, 0}, 400, 0, 450, {}, 99},
        ShareCase{"grant", {400, 0, 400, 100}, 50, 0, 450, Record{300, 0, 500, 0}},
        ShareCase{"grant_no_more_than_unused", {400, 0, 400, 390}, 50, 0, 450, Record{50, 0, 750, 40}},
        ShareCase{"no_grant_while_a_fence_is_due", {400, 0, 400, 100}, 50, 0, 450, {}, 0, true}),
    [](const auto& info) { return std::string(info.param.name); });

// A partition that another controller leads by now.
TEST(QuotaSharing, NothingWithoutLeadership) {
  auto settings = single_partition_settings();
  settings.zones = {"a", "b"};
  SinglePartition p(settings);
  const std::vector<QuotaShortage> shortages{{kOurs, kTeam, gpus(400), gpus(16), gpus(450)}};
  EXPECT_EQ(plan_quota_sharing(p.state, shortages, {}, kNow).transactions.size(), 1u);
  p.state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-1","inc":8})"), 60});
  EXPECT_TRUE(plan_quota_sharing(p.state, shortages, {}, kNow).transactions.empty());
}

}  // namespace
}  // namespace finchrun::scheduling
