// Records written under larger limits of the key-value store, and what is written under small ones.
#include <gtest/gtest.h>

#include "assignments/upgrade.hpp"
#include "scheduling/waiting_tasks.hpp"

namespace finchrun::assignments {

using scheduling::WaitingTasks;
namespace {

struct LimitCase {
  const char* name;
  double value_kb;
  int changes;
  std::uint32_t ended_each;  // one of so many tasks has ended when the limits are seen
};
class SmallLimits : public testing::TestWithParam<LimitCase> {
 protected:
  [[nodiscard]] static config::StateLimits limits() {
    return {100, 20, GetParam().value_kb, GetParam().changes};
  }
  static constexpr std::uint32_t kTasks = 40;
  // Twelve jobs, req-0 and so on, of which production has placed every task.
  static void place_jobs(Upgrade& u, std::vector<core::JobId>& ids) {
    for (int i = 0; i < 12; ++i) ids.push_back(u.job("req-" + std::to_string(i), kTasks));
    for (const auto id : ids) {
      AssignmentWriter writer(u.before.w, u.before.partition);
      ASSERT_TRUE(writer.add(id, u.before.assignments(kTasks, kAttempt)));
      u.commit(writer);
    }
  }
  static void expect_within(const Upgrade& u) {
    EXPECT_LE(static_cast<double>(u.largest), GetParam().value_kb * 1024);
    EXPECT_LE(u.changes, static_cast<std::size_t>(GetParam().changes));
  }
};

// Nothing is lost or counted twice at any step, every write is within the limits, and in the end all is.
TEST_P(SmallLimits, LargerShardsAreSplitStepByStep) {
  Upgrade u(limits());
  std::vector<core::JobId> ids;
  ASSERT_NO_FATAL_FAILURE(place_jobs(u, ids));
  ASSERT_GT(static_cast<double>(u.largest_shard), GetParam().value_kb * 1024)
      << "else there is nothing to split";
  const auto each = GetParam().ended_each;
  for (const auto id : ids) {
    AssignmentWriter writer(u.before.w, u.before.partition);
    for (std::uint32_t t = 0; t < kTasks; t += each)
      writer.apply_tombstones({id, u.before.partition, t, kAttempt, true});
    u.commit(writer);
  }
  const std::uint32_t done = (kTasks + each - 1) / each;
  int steps = 0;
  for (; steps < 200; ++steps) {
    AssignmentWriter writer(u.after.w, u.after.partition);
    if (!writer.shrink()) break;
    u.commit(writer);
    expect_within(u);
    for (std::size_t i = 0; i < ids.size(); ++i) {
      EXPECT_EQ(u.after.w.cache.done(ids[i]), done) << "step " << steps;
      EXPECT_EQ(u.after.w.cache.placed(ids[i]), kTasks - done) << "step " << steps;
    }
    EXPECT_EQ(u.done_and_placed("req-3"), std::pair(done, kTasks - done)) << "step " << steps;
  }
  EXPECT_GT(steps, 0);
  const AssignmentWriter last(u.after.w, u.after.partition);
  EXPECT_FALSE(last.tombstones_too_long());
  for (const auto shard : u.after.w.cache.shards(u.after.partition)) EXPECT_TRUE(last.fits(shard));
  // More of the same jobs is placed: what is done of them is not counted again, wherever that goes.
  for (std::size_t i = 0; i < ids.size(); ++i) {
    auto more = u.after.assignments(1, kAttempt + 1);
    more[0].task = kTasks;
    AssignmentWriter writer(u.after.w, u.after.partition);
    ASSERT_TRUE(writer.add(ids[i], more));
    u.commit(writer);
    EXPECT_EQ(u.done_and_placed("req-" + std::to_string(i)), std::pair(done, kTasks - done + 1));
  }
  for (const auto id : ids) {
    AssignmentWriter writer(u.after.w, u.after.partition);
    ASSERT_TRUE(writer.apply_tombstones({id, u.after.partition, kTasks, kAttempt + 1, false}));
    u.commit(writer);
  }
  // The rest ends too, and is recorded within the limits.
  for (std::uint32_t t = 0; t < kTasks; ++t)
    for (const auto id : ids) {
      AssignmentWriter writer(u.after.w, u.after.partition);
      ASSERT_TRUE(writer.apply_tombstones({id, u.after.partition, t, kAttempt, true}));
      if (writer.touched() == 0) continue;
      u.commit(writer);
      expect_within(u);
    }
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(u.done_and_placed("req-" + std::to_string(i)), std::pair(kTasks, 0u));
}

// While a controller of the version in production may still read the records, no step makes it count a task
// as done twice, whichever key it is told of first. Afterwards what is done may move.
TEST_P(SmallLimits, TheVersionInProductionNeverCountsATaskTwice) {
  auto settings = Upgrade::with(limits());
  settings.members = {{"perch-1", "a", {}}};
  Upgrade u(settings);
  const auto member = [&](const char* record) {
    u.after.w.cache.apply({"members/perch-1", boost::json::parse(record), ++u.revision});
  };
  member(R"({"inc":3})");
  std::vector<core::JobId> ids;
  ASSERT_NO_FATAL_FAILURE(place_jobs(u, ids));
  std::uint32_t done = 0;
  const auto shrink = [&] {
    for (int steps = 0; steps < 200; ++steps) {
      AssignmentWriter writer(u.after.w, u.after.partition);
      if (!writer.shrink()) return steps;
      u.commit(writer);
      for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto name = "req-" + std::to_string(i);
        EXPECT_EQ(u.shards_first.done(name), done) << name << " step " << steps;
        EXPECT_EQ(u.ends_first.done(name), done) << name << " step " << steps;
      }
    }
    return 200;
  };
  for (std::uint32_t t = 0; t < kTasks; t += GetParam().ended_each, ++done)
    for (const auto id : ids) {
      AssignmentWriter writer(u.before.w, u.before.partition);
      ASSERT_TRUE(writer.apply_tombstones({id, u.before.partition, t, kAttempt, true}));
      u.commit(writer);
    }
  const int steps = shrink();
  EXPECT_LT(steps, 200);
  member(R"({"inc":4,"level":2})");
  for (int left = 0; left < 200; ++left) {
    AssignmentWriter writer(u.after.w, u.after.partition);
    if (!writer.shrink()) break;
    u.commit(writer);
  }
  const AssignmentWriter last(u.after.w, u.after.partition);
  EXPECT_FALSE(last.tombstones_too_long());
  for (const auto shard : u.after.w.cache.shards(u.after.partition)) EXPECT_TRUE(last.fits(shard));
  for (std::size_t i = 0; i < ids.size(); ++i)
    EXPECT_EQ(u.done_and_placed("req-" + std::to_string(i)), std::pair(done, kTasks - done));
}

// A placement is recorded as a whole or not at all, within the limits; a gang that is accepted can be
// recorded.
TEST_P(SmallLimits, ALargestGangIsRecordedAsAWhole) {
  Upgrade u(limits());
  const auto most = static_cast<std::uint32_t>(AssignmentWriter::most_assignments(limits()));
  ASSERT_GE(most, 16u);
  const auto small = u.job("req-1", 5), gang = u.job("req-2", most, true);
  {
    AssignmentWriter writer(u.after.w, u.after.partition);
    ASSERT_TRUE(writer.add(small, u.after.assignments(5, 8)));
    u.commit(writer);
  }
  AssignmentWriter writer(u.after.w, u.after.partition);
  ASSERT_TRUE(writer.add(gang, u.after.assignments(most, 9)));
  u.commit(writer);
  expect_within(u);
  EXPECT_EQ(u.done_and_placed("req-2"), std::pair(0u, most));
}
INSTANTIATE_TEST_SUITE_P(Table, SmallLimits,
                         testing::Values(LimitCase{"two_kb_five_changes", 2, 5, 3},
                                         LimitCase{"two_kb_sixteen_changes", 2, 16, 3},
                                         LimitCase{"four_kb_four_changes", 4, 4, 3},
                                         LimitCase{"one_kb_sixteen_changes", 1, 16, 3},
                                         LimitCase{"two_kb_five_changes_few_ended", 2, 5, 20},
                                         LimitCase{"four_kb_sixteen_changes_few_ended", 4, 16, 20},
                                         LimitCase{"one_kb_sixteen_changes_few_ended", 1, 16, 20}),
                         [](const auto& info) { return std::string(info.param.name); });

// More than one transaction can hold of 1 KiB values: it waits until enough of its tasks have ended, which
// the facts alone order meanwhile.
TEST(SmallLimits, AShardTooLargeForOneTransactionWaitsForEnds) {
  Upgrade u({100, 20, 1, 4});
  const auto id = u.job("req-1", 140);
  {
    AssignmentWriter writer(u.before.w, u.before.partition);
    ASSERT_TRUE(writer.add(id, u.before.assignments(140, kAttempt)));
    u.commit(writer);
  }
  {
    AssignmentWriter writer(u.after.w, u.after.partition);
    EXPECT_FALSE(writer.shrink());
    EXPECT_EQ(writer.touched(), 0u);
  }
  for (std::uint32_t t = 0; t < 140; ++t) {
    AssignmentWriter writer(u.after.w, u.after.partition);
    if (!writer.shrink()) writer.apply_tombstones({id, u.after.partition, t, kAttempt, true});
    if (writer.touched() == 0) continue;
    u.commit(writer);
    EXPECT_LE(u.largest, 1024u);
    EXPECT_LE(u.changes, 4u);
  }
}

// An end of a shard that was split before it could be taken out of the list changes nothing when read again.
TEST(SmallLimits, EndsThatStayBehindAreHarmlessAndThenDropped) {
  Upgrade u({100, 20, 2, 5});
  const auto id = u.job("req-1", 100), other = u.job("req-2", 100), third = u.job("req-3", 100);
  for (const auto job : {id, other, third}) {
    AssignmentWriter writer(u.before.w, u.before.partition);
    ASSERT_TRUE(writer.add(job, u.before.assignments(100, kAttempt)));
    u.commit(writer);
  }
  {
    AssignmentWriter writer(u.before.w, u.before.partition);
    for (std::uint32_t t = 0; t < 98; t += 2)
      for (const auto job : {id, other, third})
        writer.apply_tombstones({job, u.before.partition, t, kAttempt, true});
    u.commit(writer);
  }
  ASSERT_TRUE(AssignmentWriter(u.after.w, u.after.partition).tombstones_too_long());
  for (int step = 0; step < 20; ++step) {
    AssignmentWriter writer(u.after.w, u.after.partition);
    if (!writer.shrink()) break;
    u.commit(writer);
    EXPECT_EQ(u.done_and_placed("req-1"), std::pair(49u, 51u));
    EXPECT_EQ(u.done_and_placed("req-2"), std::pair(49u, 51u));
  }
  AssignmentWriter writer(u.after.w, u.after.partition);
  EXPECT_FALSE(writer.tombstones_too_long());
  ASSERT_TRUE(writer.apply_tombstones({id, u.after.partition, 1, kAttempt, true}));
  u.commit(writer);
  EXPECT_LE(u.largest, 2048u);
  EXPECT_EQ(u.done_and_placed("req-1"), std::pair(50u, 50u));
}

// A job has left a shard of which ends that can't be rewritten yet still name it. More of it is placed where
// there is room: not there, or the ends would be taken for its own once more.
TEST(SmallLimits, AJobThatHasLeftAShardStaysAwayWhileEndsNameItThere) {
  Upgrade u({100, 20, 2, 5});
  auto& w = u.after.w;
  const auto left = u.job("req-1", 400);
  u.job("req-2", 400);
  // Shard 0 is empty; what is done of req-1 fills shard 1; shard 2 needs ends that are too long for one
  // value.
  boost::json::array done, placed, ended;
  for (std::uint32_t t = 0; t < 300; t += 2) done.push_back(boost::json::array{t, t + 1});
  for (std::uint32_t t = 0; t < 400; t += 2) {
    placed.push_back(t);
    ended.push_back(boost::json::array{t, 7, t, t + 1});
  }
  using Object = boost::json::object;
  const auto shard = [](const char* job, Object run) {
    return Object{{"jobs", Object{{job, std::move(run)}}}};
  };
  const boost::json::array nothing, machine{"host-100000", 1, placed},
      attempt{7, boost::json::array{machine}};
  w.cache.apply({"runs/a.0/0", Object{{"jobs", Object{}}}, 300});
  w.cache.apply({"runs/a.0/1", shard("req-1", {{"p", nothing}, {"d", done}}), 300});
  w.cache.apply({"runs/a.0/2", shard("req-2", {{"p", boost::json::array{attempt}}, {"d", nothing}}), 300});
  w.cache.apply({"ends/a.0",
                 Object{{"0", Object{{"req-1", boost::json::array{boost::json::array{0, 7, 0, 1}}}}},
                        {"2", Object{{"req-2", ended}}}},
                 300});
  AssignmentWriter writer(w, u.after.partition);
  ASSERT_TRUE(writer.tombstones_too_long());
  ASSERT_EQ(w.cache.done(left), 150u);
  auto more = u.after.assignments(1, kAttempt);
  more[0].task = 399;
  ASSERT_TRUE(writer.add(left, more));
  PlannedTransaction e;
  writer.finish(e);
  for (const auto& c : e.writes) w.cache.apply({c.key, c.value, 301});
  EXPECT_EQ(w.cache.done(left), 150u);
  EXPECT_EQ(w.cache.placed(left), 1u);
}

}  // namespace
}  // namespace finchrun::assignments
