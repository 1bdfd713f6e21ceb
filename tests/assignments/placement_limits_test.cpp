// Planned transactions against the limits of the key-value store, counted here without the planners' own
// sums.
#include <gtest/gtest.h>

#include "assignments/placement_plan.hpp"
#include "assignments/single_partition.hpp"

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

}  // namespace
}  // namespace finchrun::assignments
