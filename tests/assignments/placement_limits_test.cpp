// Planned transactions against the limits of the key-value store, counted here without the planners' own
// sums.
#include <gtest/gtest.h>

#include <random>

#include "assignments/exit_plan.hpp"
#include "assignments/placement_plan.hpp"
#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::assignments {
namespace {

constexpr std::uint64_t kFencingToken = 40;  // of SinglePartition
constexpr std::size_t kMaxBodyBytes = 64 * 1024;

std::size_t body_bytes(const PlannedTransaction& transaction) {
  boost::json::array when, then;
  for (const auto& compare : transaction.compares)
    when.push_back(boost::json::object{{"k", compare.key}, {"stamp", compare.revision}});
  for (const auto& write : transaction.writes)
    then.push_back(boost::json::object{{"set", write.key}, {"data", *write.value}});
  return boost::json::serialize(boost::json::object{{"when", when}, {"then", then}}).size();
}

void expect_within(const PlannedTransaction& transaction, const config::StoreLimits& limits) {
  const auto writes = static_cast<std::size_t>(limits.max_transaction_writes);
  EXPECT_LE(transaction.writes.size(), writes);
  EXPECT_LE(transaction.compares.size(), 4 * writes);
  EXPECT_LE(body_bytes(transaction), kMaxBodyBytes);
  EXPECT_LE(static_cast<double>(largest_value(transaction)), limits.max_value_kb * 1024);
}

/// A partition's leader under some limits, which places jobs as the recorder does.
struct LimitedLeader : SinglePartition {
  explicit LimitedLeader(const config::StoreLimits& limits) : SinglePartition(settings_with(limits)) {
    for (std::size_t i = 0; i < kMachines; ++i) state.fleet.find_or_add(state.names, machine_name(i), {});
  }
  static config::Settings settings_with(const config::StoreLimits& limits) {
    auto settings = single_partition_settings();
    settings.store_limits = limits;
    return settings;
  }
  static std::string machine_name(std::size_t i) { return "host-" + std::to_string(100000 + i); }
  // Adds all tasks of the job, on this many machines, in batches as a round makes them.
  void plan_job(core::JobId id, std::size_t machines, std::vector<PlannedPlacement>& placements) const {
    const auto& job = *state.cache.job(id);
    const auto max_tasks = AssignmentWriter::max_assignments(state.settings.store_limits);
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
      if (task % max_tasks == 0) placements.push_back({partition, kFencingToken, id, job.revision, 0.5, {}});
      const auto machine = *state.names.machines.find(machine_name(task % machines));
      placements.back().tasks.emplace_back(task, machine);
    }
  }
  // Records the placements; returns the number of transactions.
  std::size_t place(const std::vector<PlannedPlacement>& placements, std::uint64_t attempt) {
    std::size_t transactions = 0;
    for (std::size_t next = 0; next < placements.size();) {
      const auto batch = plan_placements(state, placements, next, attempt);
      EXPECT_GT(batch.next, next);
      if (batch.next <= next) break;
      next = batch.next;
      if (batch.transaction.writes.empty()) continue;
      expect_within(batch.transaction, state.settings.store_limits);
      apply(batch.transaction);
      ++transactions;
    }
    return transactions;
  }
  // Records the observed exits and completed jobs; returns the number of transactions.
  std::size_t record_exits() {
    constexpr std::size_t kMaxTransactions = 2000;
    std::size_t transactions = 0;
    for (; transactions < kMaxTransactions; ++transactions) {
      state.drop_recorded_exits();
      const auto transaction = plan_next_transaction(state, partition);
      if (transaction.writes.empty()) break;
      expect_within(transaction, state.settings.store_limits);
      apply(transaction);
    }
    EXPECT_LT(transactions, kMaxTransactions);
    return transactions;
  }
  static constexpr std::size_t kMachines = 40;
};

// Guards against a batch over the limit on compares, which the store refuses for good: an array that opens
// several shards behind many jobs of one task.
TEST(PlacementLimits, ArrayBehindManyJobsIsPlacedInTransactionsWithinTheLimits) {
  LimitedLeader leader({100, 35, 2, 5});
  std::vector<PlannedPlacement> placements;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 13; ++i) ids.push_back(leader.job("req-" + std::to_string(100000 + i), 1, false));
  ids.push_back(leader.job("req-200000", 120, false));
  for (const auto id : ids) leader.plan_job(id, 1, placements);
  EXPECT_LE(leader.place(placements, 9), 2u);
  for (const auto id : ids)
    EXPECT_EQ(leader.state.cache.placed_tasks(id), leader.state.cache.job(id)->spec.tasks);
}

// Guards against shards that a placement which does not fit leaves open, and so in the transaction.
TEST(PlacementLimits, APlacementThatDoesNotFitAddsNothing) {
  LimitedLeader leader({100, 35, 2, 5});
  std::vector<PlannedPlacement> placements;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 6; ++i) ids.push_back(leader.job("req-" + std::to_string(100000 + i), 4, false));
  ids.push_back(leader.job("req-200000", 136, true));
  for (const auto id : ids) leader.plan_job(id, LimitedLeader::kMachines, placements);
  const auto first = plan_placements(leader.state, placements, 0, 9);
  ASSERT_EQ(first.next, 6u) << "the gang needs a transaction of its own";
  const auto tasks = 6u * 4u;
  std::size_t assignments = 0;
  for (const auto& write : first.transaction.writes) {
    for (const auto& [job, recorded] : state::decode_shard(*write.value, leader.state.names))
      assignments += recorded.assignments.size();
    EXPECT_FALSE(write.value->at("jobs").as_object().empty()) << write.key << " is written for nothing";
  }
  EXPECT_EQ(assignments, tasks);
}

// Guards against a shard that grows until no transaction can write it, where one value may be larger than a
// transaction.
TEST(PlacementLimits, ShardsFitIntoATransactionWhateverTheLimitOnValues) {
  LimitedLeader leader({100, 35, 256, 16});
  for (std::size_t i = 0; i < 40; ++i) {
    std::vector<PlannedPlacement> placements;
    const auto id = leader.job("req-" + std::to_string(100000 + i), 250, false);
    leader.plan_job(id, LimitedLeader::kMachines, placements);
    leader.place(placements, 1000000 + i);
    ASSERT_EQ(leader.state.cache.placed_tasks(id), 250u);
  }
}

// Guards against a body over 64 KiB where the limit on writes is high: the records of many completed jobs.
TEST(PlacementLimits, CompletionsOfManyJobsNeedSeveralTransactions) {
  constexpr std::size_t kJobs = 700;
  LimitedLeader leader({100, 35, 8, 1000});
  std::vector<PlannedPlacement> placements;
  std::vector<core::JobId> ids;
  for (std::size_t i = 0; i < kJobs; ++i) {
    ids.push_back(leader.job("req-" + std::to_string(100000 + i), 1, false));
    leader.plan_job(ids.back(), LimitedLeader::kMachines, placements);
  }
  leader.place(placements, 9);
  for (const auto id : ids)
    leader.state.fleet.observed_exits.insert({id, leader.partition, 0, 9, true, kFencingToken});
  leader.record_exits();
  for (const auto id : ids) EXPECT_EQ(leader.state.cache.job(id)->status, jobs::Status::done);
}

struct LimitsCase {
  const char* name;
  double value_kb;
  int writes;
};
class PlannedTransactions : public testing::TestWithParam<LimitsCase> {};
// Guards against planned transactions over any limit, and against placements that later ones or exits keep
// from being recorded: each transaction of a round records at least one batch.
TEST_P(PlannedTransactions, StayWithinTheLimitsAndPlaceEveryBatch) {
  constexpr std::uint32_t kSeeds = 12;
  constexpr int kRounds = 6;
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    LimitedLeader leader({100, 35, GetParam().value_kb, GetParam().writes});
    std::mt19937 random(seed);
    const auto draw = [&](std::uint32_t from, std::uint32_t to) {
      return std::uniform_int_distribution<std::uint32_t>(from, to)(random);
    };
    const auto max_gang =
        static_cast<std::uint32_t>(AssignmentWriter::max_assignments(leader.state.settings.store_limits));
    std::vector<core::JobId> ids;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<core::JobId> waiting;
      const auto add_job = [&](std::uint32_t tasks, bool gang) {
        const auto number = 100000 + ids.size();
        waiting.push_back(leader.job("req-" + std::to_string(number), tasks, gang));
        ids.push_back(waiting.back());
      };
      const auto singles = draw(0, 70);
      for (std::uint32_t i = 0; i < singles; ++i) add_job(1, false);
      for (auto arrays = draw(0, 3); arrays > 0; --arrays) add_job(draw(2, 250), false);
      if (draw(0, 1) == 1) add_job(draw(2, max_gang), true);
      if (draw(0, 3) == 0) add_job(max_gang, true);
      std::shuffle(waiting.begin(), waiting.end(), random);
      std::vector<PlannedPlacement> placements;
      for (const auto id : waiting)
        leader.plan_job(id, draw(1, static_cast<std::uint32_t>(LimitedLeader::kMachines)), placements);
      const auto attempt = 1000000u + static_cast<std::uint32_t>(round);
      EXPECT_LE(leader.place(placements, attempt), placements.size());
      for (const auto id : waiting) {
        const auto* job = leader.state.cache.job(id);
        ASSERT_EQ(leader.state.cache.placed_tasks(id), job->spec.tasks) << "job " << id.index;
      }
      // Some tasks have exited by the next round, which records their exits with its placements.
      for (const auto id : ids)
        for (const auto& recorded : leader.state.cache.shard_assignments(id))
          for (const auto& assignment : recorded.job_assignments.assignments)
            if (draw(0, 2) == 0)
              leader.state.fleet.observed_exits.insert(
                  {id, leader.partition, assignment.task, assignment.attempt, draw(0, 9) > 0, kFencingToken});
      if (draw(0, 1) == 1) leader.record_exits();
    }
    leader.record_exits();
    if (HasFailure()) return;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, PlannedTransactions,
    testing::Values(LimitsCase{"today", 8, 16}, LimitsCase{"announced", 2, 5}, LimitsCase{"smallest", 1, 4},
                    LimitsCase{"small_values", 1, 16}, LimitsCase{"few_writes", 8, 4},
                    LimitsCase{"large_values_few_writes", 64, 4}, LimitsCase{"values_over_a_body", 256, 16},
                    LimitsCase{"many_writes", 8, 1000}, LimitsCase{"small_values_many_writes", 1, 1000}),
    kCaseName);

}  // namespace
}  // namespace finchrun::assignments
