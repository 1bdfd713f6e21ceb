// The plans of the exit recorder and the placement recorder, from a snapshot and without I/O.
#include <gtest/gtest.h>

#include "assignments/commit_refusal.hpp"
#include "assignments/exit_plan.hpp"
#include "assignments/placement_plan.hpp"
#include "assignments/single_partition.hpp"
#include "assignments/write_fences.hpp"
#include "core/case_names.hpp"

namespace finchrun::assignments {
namespace {

constexpr std::uint64_t kAttempt = 9;
constexpr std::uint64_t kFencingToken = 40;  // of SinglePartition

std::vector<std::string> written_keys(const PlannedTransaction& transaction) {
  std::vector<std::string> keys;
  for (const auto& write : transaction.writes) keys.push_back(write.key);
  return keys;
}

struct ExitCase {
  const char* name;
  jobs::Shape shape;
  std::uint32_t exited;  // of two tasks
  std::vector<std::string> keys;
};
class PlanExits : public testing::TestWithParam<ExitCase> {};
TEST_P(PlanExits, RecordsExitsAndCompletedJobs) {
  SinglePartition leader;
  const auto job = leader.job("req-1", 2, GetParam().shape);
  AssignmentWriter writer(leader.state, leader.partition);
  ASSERT_TRUE(writer.add(job, leader.assignments(2, kAttempt)));
  PlannedTransaction placed;
  writer.write_to(placed);
  leader.apply(placed);
  for (std::uint32_t task = 0; task < GetParam().exited; ++task)
    leader.state.fleet.observed_exits.insert({job, leader.partition, task, kAttempt, true});
  const auto transaction = plan_next_transaction(leader.state, leader.partition);
  EXPECT_EQ(written_keys(transaction), GetParam().keys);
  EXPECT_EQ(transaction.log_lines.size(), GetParam().keys.size() > 1 ? 1u : 0u);
}
INSTANTIATE_TEST_SUITE_P(
    Table, PlanExits,
    testing::Values(ExitCase{"nothing_exited", jobs::Shape::array, 0, {}},
                    ExitCase{"one_task_of_two", jobs::Shape::array, 1, {"ends/a.0"}},
                    ExitCase{"both_tasks", jobs::Shape::array, 2, {"ends/a.0", "jobs/req-1"}},
                    ExitCase{"gang_completes_with_one", jobs::Shape::gang, 1, {"ends/a.0", "jobs/req-1"}},
                    ExitCase{"service_never_completes", jobs::Shape::service, 2, {"ends/a.0"}}),
    kCaseName);

class PlanPlacements : public testing::Test {
 protected:
  PlanPlacements() {
    leader.state.fleet.find_or_add(leader.state.names, "host-100000", {}).agent_incarnation = 5;
    job = leader.job("req-1", 4, false);
  }
  PlannedPlacement placement(std::uint32_t task) {
    const auto machine = *leader.state.names.machines.find("host-100000");
    return {leader.partition, kFencingToken, job, leader.state.cache.job(job)->revision, 0.5,
            {{task, machine}}};
  }
  PlacementBatch plan(const std::vector<PlannedPlacement>& placements) {
    return plan_placements(leader.state, placements, 0, kAttempt);
  }
  SinglePartition leader;
  core::JobId job;
};

TEST_F(PlanPlacements, ComparesRecordsOfTheDecisionAndListsStarts) {
  const auto batch = plan({placement(0), placement(1)});
  EXPECT_EQ(batch.next, 2u);
  EXPECT_EQ(batch.partition, "a.0");
  EXPECT_EQ(written_keys(batch.transaction), std::vector<std::string>{"runs/a.0/0"});
  std::set<std::string> compared;
  for (const auto& compare : batch.transaction.compares) compared.insert(compare.key);
  EXPECT_EQ(compared,
            (std::set<std::string>{"jobs/req-1", "teams/red", "parts/a.0", "fence/a.0", "runs/a.0/0"}));
  ASSERT_EQ(batch.transaction.starts.size(), 1u);
  EXPECT_EQ(batch.transaction.starts.begin()->second,
            (std::vector<agent::TaskAttempt>{{job, 0, kAttempt}, {job, 1, kAttempt}}));
  EXPECT_EQ(batch.transaction.log_lines[0],
            "task placed job=req-1 task=0 attempt=9 machine=host-100000 agent_incarnation=5 partition=a.0 "
            "fencing_token=40 revision=40 weight=0.500 image=img image_cached=false");
}

TEST_F(PlanPlacements, SkipsPlacementsDecidedOnStaleRecords) {
  auto other_token = placement(0), other_record = placement(0);
  other_token.fencing_token = kFencingToken - 1;
  --other_record.job_revision;
  for (const auto& old : {other_token, other_record}) {
    const auto batch = plan({old});
    EXPECT_EQ(batch.next, 1u);
    EXPECT_TRUE(batch.transaction.writes.empty());
  }
  const auto mixed = plan({other_record, placement(1)});
  EXPECT_EQ(mixed.transaction.starts.size(), 1u) << "the other placement is not affected";
}

TEST_F(PlanPlacements, SkipsDeletedOrTerminatingMachines) {
  auto& machine = leader.state.fleet.find_or_add(leader.state.names, "host-100000", {});
  for (auto* flag : {&machine.deleted, &machine.terminating}) {
    *flag = true;
    EXPECT_TRUE(plan({placement(0)}).transaction.starts.empty());
    *flag = false;
  }
  EXPECT_FALSE(plan({placement(0)}).transaction.starts.empty());
}

TEST_F(PlanPlacements, RecordsExitThatFreedTheCapacity) {
  leader.apply(plan({placement(0)}).transaction);
  leader.state.fleet.observed_exits.insert({job, leader.partition, 0, kAttempt, true});
  leader.apply(plan({placement(1)}).transaction);
  EXPECT_EQ(leader.state.cache.done_tasks(job), 1u);
  EXPECT_EQ(leader.state.cache.placed_tasks(job), 1u);
}

struct FenceCase {
  const char* name;
  bool due, leads, moved;
};
class FenceMoves : public testing::TestWithParam<FenceCase> {};
TEST_P(FenceMoves, MoveOnlyDueFencesOfLedPartitions) {
  SinglePartition leader;
  leader.state.fences[0].unanswered_write_token = GetParam().due ? kFencingToken : 0;
  if (!GetParam().leads) leader.state.incarnation = 8;
  const auto moves = plan_fence_moves(leader.state);
  ASSERT_EQ(moves.size(), GetParam().moved ? 1u : 0u);
  if (moves.empty()) return;
  ASSERT_EQ(moves[0].transaction.compares.size(), 1u)
      << "the move must succeed whether or not the unanswered write was applied";
  EXPECT_EQ(moves[0].transaction.compares[0].key, "parts/a.0");
  EXPECT_EQ(moves[0].transaction.compares[0].revision, kFencingToken);
  EXPECT_EQ(moves[0].transaction.writes[0].key, "fence/a.0");
}
INSTANTIATE_TEST_SUITE_P(Table, FenceMoves,
                         testing::Values(FenceCase{"due", true, true, true},
                                         FenceCase{"not_due", false, true, false},
                                         FenceCase{"another_leader", true, false, false}),
                         kCaseName);

TEST(WriteFences, ComparesOfUnansweredCommitNameTheDueFences) {
  SinglePartition leader;
  EXPECT_TRUE(fenced_partitions(leader.state, {{"parts/a.0", 40}, {"jobs/req-1", 51}}).empty());
  EXPECT_EQ(fenced_partitions(leader.state, {{"parts/a.0", 40}, {"fence/a.0", 0}}),
            std::vector<core::PartitionId>{leader.partition});
}

struct RefusalCase {
  state::CommitStatus status;
  const char* name;
  spdlog::level::level_enum level;
};
class CommitRefusal : public testing::TestWithParam<RefusalCase> {};
TEST_P(CommitRefusal, LogLineNamesReasonAndFailedKey) {
  state::CommitResult result;
  result.outcome = GetParam().status;
  EXPECT_EQ(refusal_level(result.outcome), GetParam().level);
  const std::string reason = GetParam().name;
  EXPECT_EQ(refusal_line("exits not recorded", "a.0", result),
            "exits not recorded partition=a.0 reason=" + reason + " failed_key=-");
  result.failed_keys = {"runs/a.0/3", "parts/a.0"};
  EXPECT_EQ(refusal_line("exits not recorded", "a.0", result),
            "exits not recorded partition=a.0 reason=" + reason + " failed_key=runs/a.0/3");
}
INSTANTIATE_TEST_SUITE_P(
    Table, CommitRefusal,
    testing::Values(RefusalCase{state::CommitStatus::conflict, "conflict", spdlog::level::info},
                    RefusalCase{state::CommitStatus::lease_expired, "lease_expired", spdlog::level::warn},
                    RefusalCase{state::CommitStatus::refused, "refused", spdlog::level::warn},
                    RefusalCase{state::CommitStatus::too_large, "too_large", spdlog::level::warn},
                    RefusalCase{state::CommitStatus::malformed, "malformed", spdlog::level::err},
                    RefusalCase{state::CommitStatus::unknown, "unknown", spdlog::level::warn}),
    kCaseName);

}  // namespace
}  // namespace finchrun::assignments
