// Records that were written under larger limits of the key-value store, and writes under small limits.
#include <gtest/gtest.h>

#include "assignments/upgrade.hpp"
#include "core/case_names.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::assignments {

using scheduling::WaitingTasks;
namespace {

struct LimitCase {
  const char* name;
  double value_kb;
  int writes;
  std::uint32_t exited_each;  // one task in this many has exited when the limits change
};
class SmallLimits : public testing::TestWithParam<LimitCase> {
 protected:
  [[nodiscard]] static config::StoreLimits limits() {
    return {100, 20, GetParam().value_kb, GetParam().writes};
  }
  static constexpr std::uint32_t kTasks = 40;
  // Adds twelve jobs, req-0 and so on. The earlier release has placed all of their tasks.
  static void place_jobs(Upgrade& upgrade, std::vector<core::JobId>& ids) {
    for (int i = 0; i < 12; ++i) ids.push_back(upgrade.job("req-" + std::to_string(i), kTasks));
    for (const auto id : ids) {
      AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
      ASSERT_TRUE(writer.add(id, upgrade.before.assignments(kTasks, kAttempt)));
      upgrade.commit(writer);
    }
  }
  static void expect_within(const Upgrade& upgrade) {
    EXPECT_LE(static_cast<double>(upgrade.largest_value_bytes), GetParam().value_kb * 1024);
    EXPECT_LE(upgrade.writes, static_cast<std::size_t>(GetParam().writes));
  }
};

// Guards against tasks that are lost or counted twice when a shard is split, and against writes over the
// limits. After the last step all records are within the limits.
TEST_P(SmallLimits, SplitsLargerShardsStepByStep) {
  Upgrade upgrade(limits());
  std::vector<core::JobId> ids;
  ASSERT_NO_FATAL_FAILURE(place_jobs(upgrade, ids));
  ASSERT_GT(static_cast<double>(upgrade.largest_shard_bytes), GetParam().value_kb * 1024)
      << "without a shard over the limit there is nothing to split";
  const auto each = GetParam().exited_each;
  for (const auto id : ids) {
    AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
    for (std::uint32_t t = 0; t < kTasks; t += each)
      writer.record_exit({id, upgrade.before.partition, t, kAttempt, true});
    upgrade.commit(writer);
  }
  const std::uint32_t done = (kTasks + each - 1) / each;
  int steps = 0;
  for (; steps < 200; ++steps) {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    if (!writer.shrink()) break;
    upgrade.commit(writer);
    expect_within(upgrade);
    for (std::size_t i = 0; i < ids.size(); ++i) {
      EXPECT_EQ(upgrade.after.state.cache.done_tasks(ids[i]), done) << "step " << steps;
      EXPECT_EQ(upgrade.after.state.cache.placed_tasks(ids[i]), kTasks - done) << "step " << steps;
    }
    EXPECT_EQ(upgrade.done_and_placed("req-3"), std::pair(done, kTasks - done)) << "step " << steps;
  }
  EXPECT_GT(steps, 0);
  const AssignmentWriter last(upgrade.after.state, upgrade.after.partition);
  EXPECT_FALSE(last.tombstones_exceed_limit());
  for (const auto shard : upgrade.after.state.cache.shards(upgrade.after.partition))
    EXPECT_TRUE(last.is_within_limit(shard));
  // Placing more tasks of the same jobs, in any shard, does not count their done tasks again.
  for (std::size_t i = 0; i < ids.size(); ++i) {
    auto more = upgrade.after.assignments(1, kAttempt + 1);
    more[0].task = kTasks;
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    ASSERT_TRUE(writer.add(ids[i], more));
    upgrade.commit(writer);
    EXPECT_EQ(upgrade.done_and_placed("req-" + std::to_string(i)), std::pair(done, kTasks - done + 1));
  }
  for (const auto id : ids) {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    ASSERT_TRUE(writer.record_exit({id, upgrade.after.partition, kTasks, kAttempt + 1, false}));
    upgrade.commit(writer);
  }
  // The exits of all remaining tasks are recorded within the limits.
  for (std::uint32_t t = 0; t < kTasks; ++t)
    for (const auto id : ids) {
      AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
      ASSERT_TRUE(writer.record_exit({id, upgrade.after.partition, t, kAttempt, true}));
      if (writer.written_key_count() == 0) continue;
      upgrade.commit(writer);
      expect_within(upgrade);
    }
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(upgrade.done_and_placed("req-" + std::to_string(i)), std::pair(kTasks, 0u));
}

// While a controller of an earlier release may read the records, no step may make it count a done task twice,
// in whichever order it reads the keys. Once all controllers are upgraded, done tasks may move between
// shards.
TEST_P(SmallLimits, EarlierReleaseNeverCountsATaskTwice) {
  auto settings = Upgrade::settings_with(limits());
  settings.members = {{"perch-1", "a", {}}};
  Upgrade upgrade(settings);
  const auto member = [&](const char* record) {
    upgrade.after.state.cache.apply({"members/perch-1", boost::json::parse(record), ++upgrade.revision});
  };
  member(R"({"inc":3})");
  std::vector<core::JobId> ids;
  ASSERT_NO_FATAL_FAILURE(place_jobs(upgrade, ids));
  std::uint32_t done = 0;
  const auto shrink = [&] {
    for (int steps = 0; steps < 200; ++steps) {
      AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
      if (!writer.shrink()) return steps;
      upgrade.commit(writer);
      for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto name = "req-" + std::to_string(i);
        EXPECT_EQ(upgrade.shards_first_reader.done(name), done) << name << " step " << steps;
        EXPECT_EQ(upgrade.tombstones_first_reader.done(name), done) << name << " step " << steps;
      }
    }
    return 200;
  };
  for (std::uint32_t t = 0; t < kTasks; t += GetParam().exited_each, ++done)
    for (const auto id : ids) {
      AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
      ASSERT_TRUE(writer.record_exit({id, upgrade.before.partition, t, kAttempt, true}));
      upgrade.commit(writer);
    }
  const int steps = shrink();
  EXPECT_LT(steps, 200);
  member(R"({"inc":4,"level":2})");
  for (int left = 0; left < 200; ++left) {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    if (!writer.shrink()) break;
    upgrade.commit(writer);
  }
  const AssignmentWriter last(upgrade.after.state, upgrade.after.partition);
  EXPECT_FALSE(last.tombstones_exceed_limit());
  for (const auto shard : upgrade.after.state.cache.shards(upgrade.after.partition))
    EXPECT_TRUE(last.is_within_limit(shard));
  for (std::size_t i = 0; i < ids.size(); ++i)
    EXPECT_EQ(upgrade.done_and_placed("req-" + std::to_string(i)), std::pair(done, kTasks - done));
}

// A gang of the largest accepted size must fit into one transaction: a placement is recorded entirely or not
// at all, so a larger gang would never start.
TEST_P(SmallLimits, RecordsLargestGangInOneTransaction) {
  Upgrade upgrade(limits());
  const auto max_assignments = static_cast<std::uint32_t>(AssignmentWriter::max_assignments(limits()));
  ASSERT_GE(max_assignments, 16u);
  const auto small = upgrade.job("req-1", 5), gang = upgrade.job("req-2", max_assignments, true);
  {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    ASSERT_TRUE(writer.add(small, upgrade.after.assignments(5, 8)));
    upgrade.commit(writer);
  }
  AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
  ASSERT_TRUE(writer.add(gang, upgrade.after.assignments(max_assignments, 9)));
  upgrade.commit(writer);
  expect_within(upgrade);
  EXPECT_EQ(upgrade.done_and_placed("req-2"), std::pair(0u, max_assignments));
}
INSTANTIATE_TEST_SUITE_P(Table, SmallLimits,
                         testing::Values(LimitCase{"two_kb_five_writes", 2, 5, 3},
                                         LimitCase{"two_kb_sixteen_writes", 2, 16, 3},
                                         LimitCase{"four_kb_four_writes", 4, 4, 3},
                                         LimitCase{"one_kb_sixteen_writes", 1, 16, 3},
                                         LimitCase{"two_kb_five_writes_few_exited", 2, 5, 20},
                                         LimitCase{"four_kb_sixteen_writes_few_exited", 4, 16, 20},
                                         LimitCase{"one_kb_sixteen_writes_few_exited", 1, 16, 20}),
                         kCaseName);

// The shard has more contents than one transaction of 1 KiB values can hold. Its split waits until enough
// tasks have exited, and no write exceeds the limits meanwhile.
TEST(SmallLimits, ShardTooLargeForOneTransactionWaitsForExits) {
  Upgrade upgrade({100, 20, 1, 4});
  const auto id = upgrade.job("req-1", 140);
  {
    AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
    ASSERT_TRUE(writer.add(id, upgrade.before.assignments(140, kAttempt)));
    upgrade.commit(writer);
  }
  {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    EXPECT_FALSE(writer.shrink());
    EXPECT_EQ(writer.written_key_count(), 0u);
  }
  for (std::uint32_t t = 0; t < 140; ++t) {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    if (!writer.shrink()) writer.record_exit({id, upgrade.after.partition, t, kAttempt, true});
    if (writer.written_key_count() == 0) continue;
    upgrade.commit(writer);
    EXPECT_LE(upgrade.largest_value_bytes, 1024u);
    EXPECT_LE(upgrade.writes, 4u);
  }
}

// A shard may be split before its tombstones can leave the list. Reading these tombstones again must not
// change its counts.
TEST(SmallLimits, RemainingTombstonesAreHarmlessAndDroppedLater) {
  Upgrade upgrade({100, 20, 2, 5});
  const auto id = upgrade.job("req-1", 100), other = upgrade.job("req-2", 100),
             third = upgrade.job("req-3", 100);
  for (const auto job : {id, other, third}) {
    AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
    ASSERT_TRUE(writer.add(job, upgrade.before.assignments(100, kAttempt)));
    upgrade.commit(writer);
  }
  {
    AssignmentWriter writer(upgrade.before.state, upgrade.before.partition);
    for (std::uint32_t t = 0; t < 98; t += 2)
      for (const auto job : {id, other, third})
        writer.record_exit({job, upgrade.before.partition, t, kAttempt, true});
    upgrade.commit(writer);
  }
  ASSERT_TRUE(AssignmentWriter(upgrade.after.state, upgrade.after.partition).tombstones_exceed_limit());
  for (int step = 0; step < 20; ++step) {
    AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
    if (!writer.shrink()) break;
    upgrade.commit(writer);
    EXPECT_EQ(upgrade.done_and_placed("req-1"), std::pair(49u, 51u));
    EXPECT_EQ(upgrade.done_and_placed("req-2"), std::pair(49u, 51u));
  }
  AssignmentWriter writer(upgrade.after.state, upgrade.after.partition);
  EXPECT_FALSE(writer.tombstones_exceed_limit());
  ASSERT_TRUE(writer.record_exit({id, upgrade.after.partition, 1, kAttempt, true}));
  upgrade.commit(writer);
  EXPECT_LE(upgrade.largest_value_bytes, 2048u);
  EXPECT_EQ(upgrade.done_and_placed("req-1"), std::pair(50u, 50u));
}

// A job has left a shard, but the tombstone list, which can't be rewritten yet, still names it there. New
// assignments must go elsewhere, or the tombstones would be applied to the job a second time.
TEST(SmallLimits, JobDoesNotReturnToShardWhoseTombstonesNameIt) {
  Upgrade upgrade({100, 20, 2, 5});
  auto& state = upgrade.after.state;
  const auto left = upgrade.job("req-1", 400);
  upgrade.job("req-2", 400);
  // Shard 0 is empty. The done tasks of req-1 fill shard 1. Shard 2 needs tombstones that exceed the value
  // limit.
  boost::json::array done, placed, tombstones;
  for (std::uint32_t t = 0; t < 300; t += 2) done.push_back(boost::json::array{t, t + 1});
  for (std::uint32_t t = 0; t < 400; t += 2) {
    placed.push_back(t);
    tombstones.push_back(boost::json::array{t, 7, t, t + 1});
  }
  using Object = boost::json::object;
  const auto shard = [](const char* job, Object run) {
    return Object{{"jobs", Object{{job, std::move(run)}}}};
  };
  const boost::json::array nothing, machine{"host-100000", 1, placed},
      attempt{7, boost::json::array{machine}};
  state.cache.apply({"runs/a.0/0", Object{{"jobs", Object{}}}, 300});
  state.cache.apply({"runs/a.0/1", shard("req-1", {{"p", nothing}, {"d", done}}), 300});
  state.cache.apply(
      {"runs/a.0/2", shard("req-2", {{"p", boost::json::array{attempt}}, {"d", nothing}}), 300});
  state.cache.apply({"ends/a.0",
                     Object{{"0", Object{{"req-1", boost::json::array{boost::json::array{0, 7, 0, 1}}}}},
                            {"2", Object{{"req-2", tombstones}}}},
                     300});
  AssignmentWriter writer(state, upgrade.after.partition);
  ASSERT_TRUE(writer.tombstones_exceed_limit());
  ASSERT_EQ(state.cache.done_tasks(left), 150u);
  auto more = upgrade.after.assignments(1, kAttempt);
  more[0].task = 399;
  ASSERT_TRUE(writer.add(left, more));
  PlannedTransaction transaction;
  writer.write_to(transaction);
  for (const auto& write : transaction.writes) state.cache.apply({write.key, write.value, 301});
  EXPECT_EQ(state.cache.done_tasks(left), 150u);
  EXPECT_EQ(state.cache.placed_tasks(left), 1u);
}

}  // namespace
}  // namespace finchrun::assignments
