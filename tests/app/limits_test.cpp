// Records written under larger limits of the state service, and what is written under small ones.
#include <gtest/gtest.h>

#include "app/one_part.hpp"
#include "app/waiting.hpp"

namespace finchrun::app {
namespace {

constexpr std::uint64_t kAttempt = 1234567;  // as long as they become in a few days

// Part a.0 as the version in production left it, and the same store seen with smaller limits.
struct Upgrade {
  explicit Upgrade(const config::StateLimits& limits) : after(with(limits)) {}
  static config::Settings with(const config::StateLimits& limits) {
    auto s = one_part_settings();
    s.state_limits = limits;
    return s;
  }
  // Makes the edit durable: whoever reads the store sees it, in the order of the keys or the reverse.
  void commit(PartWriter& writer) {
    Edit e;
    writer.finish(e);
    ++stamp;
    for (const auto& c : e.then) store[c.key] = {c.key, c.value, stamp};
    for (auto* world : {&before, &after})
      for (const auto& c : e.then) world->w.mirror.apply({c.key, c.value, stamp});
    changes = e.then.size();
    largest = largest_value(e);
    for (const auto& c : e.then)
      if (c.key.starts_with("runs/"))
        largest_shard = std::max(largest_shard, boost::json::serialize(*c.value).size());
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang = false) {
    before.stamp = after.stamp = ++stamp;
    after.job(name, tasks, gang);
    store["jobs/" + name] = {
        "jobs/" + name, jobs::to_json(*after.w.mirror.job(*after.w.names.jobs.find(name)), after.w.names),
        stamp};
    return before.job(name, tasks, gang);
  }
  // What a controller knows that starts now and reads the store.
  [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> done_and_placed(const std::string& name) const {
    World reader(one_part_settings(), {});
    for (const auto& [_, e] : store) reader.mirror.apply(e);
    const auto id = *reader.names.jobs.find(name);
    return {reader.mirror.done(id), reader.mirror.placed(id)};
  }
  OnePart before, after;
  std::map<std::string, state::Event> store;
  std::uint64_t stamp = 100;
  std::size_t changes = 0, largest = 0;  // of the last edit
  std::size_t largest_shard = 0;         // of all
};

struct LimitCase {
  const char* name;
  double value_kb;
  int changes;
};
class SmallLimits : public testing::TestWithParam<LimitCase> {
 protected:
  [[nodiscard]] static config::StateLimits limits() {
    return {100, 20, GetParam().value_kb, GetParam().changes};
  }
  static void expect_within(const Upgrade& u) {
    EXPECT_LE(static_cast<double>(u.largest), GetParam().value_kb * 1024);
    EXPECT_LE(u.changes, static_cast<std::size_t>(GetParam().changes));
  }
};

// Nothing is lost or counted twice at any step, every write is within the limits, and in the end all is.
TEST_P(SmallLimits, LargerShardsAreSplitStepByStep) {
  Upgrade u(limits());
  constexpr std::uint32_t kTasks = 40;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 12; ++i) ids.push_back(u.job("req-" + std::to_string(i), kTasks));
  for (const auto id : ids) {
    PartWriter writer(u.before.w, u.before.part);
    ASSERT_TRUE(writer.add(id, u.before.entries(kTasks, kAttempt)));
    u.commit(writer);
  }
  ASSERT_GT(static_cast<double>(u.largest_shard), GetParam().value_kb * 1024)
      << "else there is nothing to split";
  // Every third task has ended; for the half of the jobs that is recorded ahead of the shards.
  for (const auto id : ids) {
    PartWriter writer(u.before.w, u.before.part);
    for (std::uint32_t t = 0; t < kTasks; t += 3) writer.settle({id, u.before.part, t, kAttempt, true});
    u.commit(writer);
  }
  const std::uint32_t done = (kTasks + 2) / 3;
  int steps = 0;
  for (; steps < 200; ++steps) {
    PartWriter writer(u.after.w, u.after.part);
    if (!writer.shrink()) break;
    u.commit(writer);
    expect_within(u);
    for (std::size_t i = 0; i < ids.size(); ++i) {
      EXPECT_EQ(u.after.w.mirror.done(ids[i]), done) << "step " << steps;
      EXPECT_EQ(u.after.w.mirror.placed(ids[i]), kTasks - done) << "step " << steps;
    }
    EXPECT_EQ(u.done_and_placed("req-3"), std::pair(done, kTasks - done)) << "step " << steps;
  }
  EXPECT_GT(steps, 0);
  const PartWriter last(u.after.w, u.after.part);
  EXPECT_FALSE(last.ends_too_long());
  for (const auto shard : u.after.w.mirror.shards(u.after.part)) EXPECT_TRUE(last.fits(shard));
  // More of the same jobs is placed: what is done of them is not counted again, wherever that goes.
  for (std::size_t i = 0; i < ids.size(); ++i) {
    auto more = u.after.entries(1, kAttempt + 1);
    more[0].task = kTasks;
    PartWriter writer(u.after.w, u.after.part);
    ASSERT_TRUE(writer.add(ids[i], more));
    u.commit(writer);
    EXPECT_EQ(u.done_and_placed("req-" + std::to_string(i)), std::pair(done, kTasks - done + 1));
  }
  for (const auto id : ids) {
    PartWriter writer(u.after.w, u.after.part);
    ASSERT_TRUE(writer.settle({id, u.after.part, kTasks, kAttempt + 1, false}));
    u.commit(writer);
  }
  // The rest ends too, and is recorded within the limits.
  for (std::uint32_t t = 0; t < kTasks; ++t)
    for (const auto id : ids) {
      PartWriter writer(u.after.w, u.after.part);
      ASSERT_TRUE(writer.settle({id, u.after.part, t, kAttempt, true}));
      if (writer.touched() == 0) continue;
      u.commit(writer);
      expect_within(u);
    }
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(u.done_and_placed("req-" + std::to_string(i)), std::pair(kTasks, 0u));
}

// A placement is recorded as a whole or not at all, within the limits; a gang that is accepted can be
// recorded.
TEST_P(SmallLimits, ALargestGangIsRecordedAsAWhole) {
  Upgrade u(limits());
  const auto most = static_cast<std::uint32_t>(PartWriter::most_entries(limits()));
  ASSERT_GE(most, 16u);
  const auto small = u.job("req-1", 5), gang = u.job("req-2", most, true);
  {
    PartWriter writer(u.after.w, u.after.part);
    ASSERT_TRUE(writer.add(small, u.after.entries(5, 8)));
    u.commit(writer);
  }
  PartWriter writer(u.after.w, u.after.part);
  ASSERT_TRUE(writer.add(gang, u.after.entries(most, 9)));
  u.commit(writer);
  expect_within(u);
  EXPECT_EQ(u.done_and_placed("req-2"), std::pair(0u, most));
}
INSTANTIATE_TEST_SUITE_P(Table, SmallLimits,
                         testing::Values(LimitCase{"two_kb_five_changes", 2, 5},
                                         LimitCase{"two_kb_sixteen_changes", 2, 16},
                                         LimitCase{"four_kb_four_changes", 4, 4},
                                         LimitCase{"one_kb_sixteen_changes", 1, 16}),
                         [](const auto& info) { return std::string(info.param.name); });

// More than one transaction can hold of 1 KiB values: it waits until enough of its tasks have ended, which
// the facts alone order meanwhile.
TEST(SmallLimits, AShardTooLargeForOneTransactionWaitsForEnds) {
  Upgrade u({100, 20, 1, 4});
  const auto id = u.job("req-1", 140);
  {
    PartWriter writer(u.before.w, u.before.part);
    ASSERT_TRUE(writer.add(id, u.before.entries(140, kAttempt)));
    u.commit(writer);
  }
  {
    PartWriter writer(u.after.w, u.after.part);
    EXPECT_FALSE(writer.shrink());
    EXPECT_EQ(writer.touched(), 0u);
  }
  for (std::uint32_t t = 0; t < 140; ++t) {
    PartWriter writer(u.after.w, u.after.part);
    if (!writer.shrink()) writer.settle({id, u.after.part, t, kAttempt, true});
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
    PartWriter writer(u.before.w, u.before.part);
    ASSERT_TRUE(writer.add(job, u.before.entries(100, kAttempt)));
    u.commit(writer);
  }
  {
    PartWriter writer(u.before.w, u.before.part);
    for (std::uint32_t t = 0; t < 98; t += 2)
      for (const auto job : {id, other, third}) writer.settle({job, u.before.part, t, kAttempt, true});
    u.commit(writer);
  }
  ASSERT_TRUE(PartWriter(u.after.w, u.after.part).ends_too_long());
  for (int step = 0; step < 20; ++step) {
    PartWriter writer(u.after.w, u.after.part);
    if (!writer.shrink()) break;
    u.commit(writer);
    EXPECT_EQ(u.done_and_placed("req-1"), std::pair(49u, 51u));
    EXPECT_EQ(u.done_and_placed("req-2"), std::pair(49u, 51u));
  }
  PartWriter writer(u.after.w, u.after.part);
  EXPECT_FALSE(writer.ends_too_long());
  ASSERT_TRUE(writer.settle({id, u.after.part, 1, kAttempt, true}));
  u.commit(writer);
  EXPECT_LE(u.largest, 2048u);
  EXPECT_EQ(u.done_and_placed("req-1"), std::pair(50u, 50u));
}

}  // namespace
}  // namespace finchrun::app
