#include "controller/quota_usage.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::controller {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

void apply_job(SinglePartition& p, const std::string& name, jobs::JobRecord record) {
  p.state.cache.apply({"jobs/" + name, jobs::to_json(record, p.state.names), ++p.revision});
}

// A job of four tasks of two accelerators each, of which three are on machines.
struct ExitCase {
  const char* name;
  std::vector<agent::ObservedExit> exits;  // the job and the partition are filled in
  double used;
};
class UsedByPartition : public testing::TestWithParam<ExitCase> {};
TEST_P(UsedByPartition, CountsWhatMayStillRun) {
  SinglePartition p;
  const auto id = p.job("req", 4, jobs::Shape::array);
  auto record = *p.state.cache.job(id);
  record.spec.need = {0, 2, 0};
  apply_job(p, "req", record);
  assignments::AssignmentWriter writer(p.state, p.partition);
  ASSERT_TRUE(writer.add(id, p.assignments(3, 9)));
  assignments::PlannedTransaction transaction;
  writer.write_to(transaction);
  p.apply(transaction);
  for (auto exit : GetParam().exits) {
    exit.job = id;
    exit.partition = p.partition;
    p.state.fleet.observed_exits.insert(exit);
  }
  EXPECT_DOUBLE_EQ(used_by_partition(p.state.settings, p.state.cache, p.state.fleet)[0][0].gpus,
                   GetParam().used);
  EXPECT_DOUBLE_EQ(p.state.used_by_team()[0].gpus, GetParam().used);
  // A job that is over still uses what its tasks hold until they are gone.
  record.status = jobs::Status::cancelled;
  record.ranges.clear();
  apply_job(p, "req", record);
  EXPECT_DOUBLE_EQ(used_by_partition(p.state.settings, p.state.cache, p.state.fleet)[0][0].gpus,
                   GetParam().used);
}
INSTANTIATE_TEST_SUITE_P(
    Table, UsedByPartition,
    testing::Values(ExitCase{"none_ended", {}, 6}, ExitCase{"one_done", {{{}, {}, 1, 9, true}}, 4},
                    ExitCase{"one_gone", {{{}, {}, 1, 9, false}}, 4},
                    ExitCase{"one_done_and_gone", {{{}, {}, 1, 9, true}, {{}, {}, 1, 9, false}}, 4},
                    ExitCase{"an_earlier_attempt", {{{}, {}, 1, 8, true}}, 6}),
    [](const auto& info) { return std::string(info.param.name); });

// Three jobs of one team, in order of submission.
struct GuaranteeCase {
  const char* name;
  config::Team team;
  core::Resources need[3];  // of each of their two tasks
  bool within[3];
};
class WithinGuarantee : public testing::TestWithParam<GuaranteeCase> {};
TEST_P(WithinGuarantee, OlderJobsComeFirst) {
  const auto& c = GetParam();
  auto settings = single_partition_settings();
  settings.teams = {c.team};
  SinglePartition p(settings);
  for (int i : {2, 0, 1}) {  // read in another order than submitted
    const auto name = "req-" + std::to_string(i);
    auto record = *p.state.cache.job(p.job(name, 2, jobs::Shape::array));
    record.spec.need = c.need[i];
    record.spec.submitted_s = 1000 + i;
    apply_job(p, name, record);
  }
  const auto within = within_guarantee(p.state.settings, p.state.cache);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(within.contains(*p.state.names.jobs.find("req-" + std::to_string(i))), c.within[i]) << i;
}
INSTANTIATE_TEST_SUITE_P(
    Table, WithinGuarantee,
    testing::Values(
        GuaranteeCase{"no_guarantee", {"red", 0, 8, 0, 8}, {{1}, {1}, {1}}, {false, false, false}},
        GuaranteeCase{"processors", {"red", 8, 0, 0, 0}, {{2}, {2}, {1}}, {true, true, false}},
        GuaranteeCase{"accelerators", {"red", 0, 0, 4, 0}, {{9, 1}, {9, 1}, {9, 0}}, {true, true, true}},
        GuaranteeCase{"a_job_beyond_it_counts_for_later_ones",
                      {"red", 0, 0, 4, 0},
                      {{0, 1}, {0, 4}, {0, 1}},
                      {true, false, false}},
        GuaranteeCase{"accelerators_not_guaranteed",
                      {"red", 8, 0, 0, 0},
                      {{1, 1}, {1, 0}, {1, 0}},
                      {false, true, true}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace finchrun::controller
