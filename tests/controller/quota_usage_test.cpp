#include "controller/quota_usage.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::controller {
namespace {

using assignments::single_partition_settings;
using assignments::SinglePartition;

void apply_job(SinglePartition& fixture, const std::string& name, jobs::JobRecord record) {
  fixture.state.cache.apply({"jobs/" + name, jobs::to_json(record, fixture.state.names), ++fixture.revision});
}

// A job of four tasks with two accelerators each. Three of the tasks are assigned.
struct ExitCase {
  const char* name;
  std::vector<agent::ObservedExit> exits;  // the job and the partition are filled in
  double used;
};
class UsedByPartition : public testing::TestWithParam<ExitCase> {};
TEST_P(UsedByPartition, CountsAttemptsThatMayStillRun) {
  SinglePartition fixture;
  const auto id = fixture.job("req", 4, jobs::Shape::array);
  auto record = *fixture.state.cache.job(id);
  record.spec.need = {0, 2, 0};
  apply_job(fixture, "req", record);
  assignments::AssignmentWriter writer(fixture.state, fixture.partition);
  ASSERT_TRUE(writer.add(id, fixture.assignments(3, 9)));
  assignments::PlannedTransaction transaction;
  writer.write_to(transaction);
  fixture.apply(transaction);
  for (auto exit : GetParam().exits) {
    exit.job = id;
    exit.partition = fixture.partition;
    fixture.state.fleet.observed_exits.insert(exit);
  }
  EXPECT_DOUBLE_EQ(
      used_by_partition(fixture.state.settings, fixture.state.cache, fixture.state.fleet)[0][0].gpus,
      GetParam().used);
  EXPECT_DOUBLE_EQ(fixture.state.used_by_team()[0].gpus, GetParam().used);
  // A cancelled job still uses the resources of its tasks until they have ended.
  record.status = jobs::Status::cancelled;
  record.ranges.clear();
  apply_job(fixture, "req", record);
  EXPECT_DOUBLE_EQ(
      used_by_partition(fixture.state.settings, fixture.state.cache, fixture.state.fleet)[0][0].gpus,
      GetParam().used);
}
INSTANTIATE_TEST_SUITE_P(
    Table, UsedByPartition,
    testing::Values(ExitCase{"no_exit", {}, 6}, ExitCase{"one_done", {{{}, {}, 1, 9, true}}, 4},
                    ExitCase{"one_ended", {{{}, {}, 1, 9, false}}, 4},
                    ExitCase{"one_done_and_ended", {{{}, {}, 1, 9, true}, {{}, {}, 1, 9, false}}, 4},
                    ExitCase{"earlier_attempt", {{{}, {}, 1, 8, true}}, 6}),
    kCaseName);

// Three jobs of one team, in order of submission.
struct GuaranteeCase {
  const char* name;
  config::Team team;
  core::Resources need[3];  // of each of their two tasks
  bool within[3];
};
class WithinGuarantee : public testing::TestWithParam<GuaranteeCase> {};
TEST_P(WithinGuarantee, IsGrantedToOlderJobsFirst) {
  const auto& c = GetParam();
  auto settings = single_partition_settings();
  settings.teams = {c.team};
  SinglePartition fixture(settings);
  for (int i : {2, 0, 1}) {  // added in another order than submitted
    const auto name = "req-" + std::to_string(i);
    auto record = *fixture.state.cache.job(fixture.job(name, 2, jobs::Shape::array));
    record.spec.need = c.need[i];
    record.spec.submitted_s = 1000 + i;
    apply_job(fixture, name, record);
  }
  const auto within = jobs_within_guarantee(fixture.state.settings, fixture.state.cache);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(within.contains(*fixture.state.names.jobs.find("req-" + std::to_string(i))), c.within[i]) << i;
}
INSTANTIATE_TEST_SUITE_P(
    Table, WithinGuarantee,
    testing::Values(
        GuaranteeCase{"no_guarantee", {"red", 0, 8, 0, 8}, {{1}, {1}, {1}}, {false, false, false}},
        GuaranteeCase{"processors", {"red", 8, 0, 0, 0}, {{2}, {2}, {1}}, {true, true, false}},
        GuaranteeCase{"accelerators", {"red", 0, 0, 4, 0}, {{9, 1}, {9, 1}, {9, 0}}, {true, true, true}},
        GuaranteeCase{"job_beyond_guarantee_counts_against_later_jobs",
                      {"red", 0, 0, 4, 0},
                      {{0, 1}, {0, 4}, {0, 1}},
                      {true, false, false}},
        GuaranteeCase{"accelerators_not_guaranteed",
                      {"red", 8, 0, 0, 0},
                      {{1, 1}, {1, 0}, {1, 0}},
                      {false, true, true}}),
    kCaseName);

}  // namespace
}  // namespace finchrun::controller
