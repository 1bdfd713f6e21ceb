#include "app/edits.hpp"

#include <gtest/gtest.h>

#include "app/one_part.hpp"
#include "app/waiting.hpp"

namespace finchrun::app {
namespace {

// A round of many jobs once cost a change for each job, and most of it was never recorded.
TEST(PartWriter, ManyJobsCostFewChanges) {
  OnePart b;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 60; ++i) ids.push_back(b.job("req-" + std::to_string(i), 4, false));
  PartWriter writer(b.w, b.part);
  for (const auto id : ids) ASSERT_TRUE(writer.add(id, b.entries(4, 9)));
  Edit e;
  writer.finish(e);
  EXPECT_LE(e.then.size(), 4u);
  b.apply(e);
  for (const auto id : ids) EXPECT_EQ(b.w.mirror.placed(id), 4u);
}

struct SizeCase {
  const char* name;
  std::uint32_t tasks;
  bool gang;
};
class ShardSize : public testing::TestWithParam<SizeCase> {};
// However large the job: no value above the service's limit, nothing lost, and its ends still fit.
TEST_P(ShardSize, StaysWithinTheLimitOnValues) {
  OnePart b;
  const auto id = b.job("req-1", GetParam().tasks, GetParam().gang);
  {
    PartWriter writer(b.w, b.part);
    ASSERT_TRUE(writer.add(id, b.entries(GetParam().tasks, 9)));
    Edit e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
  }
  EXPECT_EQ(b.w.mirror.placed(id), GetParam().tasks);
  // Every second task ends: the intervals of what is done are as many as can be.
  for (std::uint32_t round = 0; round < 8; ++round) {
    PartWriter writer(b.w, b.part);
    for (std::uint32_t t = 0; t < GetParam().tasks; t += 2) writer.settle({id, b.part, t, 9, true});
    Edit e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
  }
  if (!GetParam().gang) {
    EXPECT_EQ(b.w.mirror.done(id), (GetParam().tasks + 1) / 2);
    EXPECT_EQ(WaitingTasks(b.w.mirror, id).count(b.part), 0u);
  }
  EXPECT_EQ(b.w.mirror.placed(id), GetParam().tasks / 2);
}
INSTANTIATE_TEST_SUITE_P(Table, ShardSize,
                         testing::Values(SizeCase{"one_task", 1, false},
                                         SizeCase{"a_gang_of_sixteen", 16, true},
                                         SizeCase{"an_array_of_250", 250, false},
                                         SizeCase{"a_gang_of_500", 500, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(PartWriter, JobsThatAreOverLeaveTheShardsThatAreWritten) {
  OnePart b;
  const auto over = b.job("req-1", 1, false), live = b.job("req-2", 1, false);
  {
    PartWriter writer(b.w, b.part);
    writer.add(over, b.entries(1, 9));
    Edit e;
    writer.finish(e);
    b.apply(e);
  }
  {
    PartWriter writer(b.w, b.part);
    writer.settle({over, b.part, 0, 9, true});
    EXPECT_EQ(writer.done(over), 1u);
    Edit e;
    writer.finish(e);
    b.apply(e);
  }
  b.w.mirror.apply({"jobs/req-1", jobs::to_json(finished(*b.w.mirror.job(over)), b.w.names), ++b.stamp});
  PartWriter writer(b.w, b.part);
  writer.add(live, b.entries(1, 12));
  Edit e;
  writer.finish(e);
  b.apply(e);
  EXPECT_TRUE(b.w.mirror.pieces(over).empty());
  EXPECT_EQ(b.w.mirror.placed(live), 1u);
}

TEST(PartWriter, IsConditionalOnTermFenceAndShards) {
  OnePart b;
  const auto id = b.job("req-1", 1, false);
  b.w.mirror.apply({"fence/a.0", boost::json::value(1), 44});
  PartWriter writer(b.w, b.part);
  writer.add(id, b.entries(1, 9));
  Edit e;
  writer.finish(e);
  std::map<std::string, std::uint64_t> when;
  for (const auto& c : e.when) when[c.key] = c.stamp;
  EXPECT_EQ(when,
            (std::map<std::string, std::uint64_t>{{"parts/a.0", 40}, {"fence/a.0", 44}, {"runs/a.0/0", 0}}));
}

// Ends that touch many shards: each was rewritten for them, which took most of the budget of changes.
TEST(PartWriter, EndsAcrossAllShardsCostOneChange) {
  OnePart b;
  std::vector<core::JobId> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(b.job("req-" + std::to_string(i), 100, false));
    PartWriter writer(b.w, b.part);
    ASSERT_TRUE(writer.add(ids.back(), b.entries(100, 9)));
    Edit e;
    writer.finish(e);
    b.apply(e);
  }
  ASSERT_GT(b.w.mirror.shards(b.part).size(), 10u);
  PartWriter writer(b.w, b.part);
  for (const auto id : ids) EXPECT_TRUE(writer.settle({id, b.part, 7, 9, true}));
  EXPECT_TRUE(writer.settle({ids[0], b.part, 8, 9, false}));  // told as gone, and as done after all
  EXPECT_TRUE(writer.settle({ids[0], b.part, 8, 9, true}));
  EXPECT_EQ(writer.done(ids[0]), 2u);
  Edit e;
  writer.finish(e);
  ASSERT_EQ(e.then.size(), 1u);
  EXPECT_EQ(e.then[0].key, "ends/a.0");
  b.apply(e);
  for (const auto id : ids) {
    EXPECT_EQ(b.w.mirror.done(id), id == ids[0] ? 2u : 1u);
    EXPECT_EQ(b.w.mirror.placed(id), id == ids[0] ? 98u : 99u);
    EXPECT_FALSE(b.w.mirror.has_entry(id, b.part, 7, 9));
  }
}

struct FoldCase {
  const char* name;
  bool shards_first;  // the order in which a reader sees the keys of one transaction
};
class Fold : public testing::TestWithParam<FoldCase> {};
// An end is dropped only together with the shard that named its task; else the task would be back, and would
// be started once more.
TEST_P(Fold, NoEndedTaskComesBack) {
  OnePart b;
  World reader(one_part_settings(), {});  // another controller, fed by the changes alone
  const auto id = b.job("req-1", 300, false);
  std::vector<state::Event> all{{"jobs/req-1", jobs::to_json(*b.w.mirror.job(id), b.w.names), b.stamp}};
  const auto commit = [&](PartWriter& writer) {
    Edit e;
    writer.finish(e);
    EXPECT_LE(largest_value(e), 8192u);
    b.apply(e);
    if (!GetParam().shards_first) std::reverse(e.then.begin(), e.then.end());
    for (const auto& c : e.then) all.push_back({c.key, c.value, b.stamp});
  };
  {
    PartWriter writer(b.w, b.part);
    ASSERT_TRUE(writer.add(id, b.entries(300, 9)));
    commit(writer);
  }
  // Many small writes, so that the ends outgrow their key and are folded into shards, some while new work is
  // placed in them.
  const auto other = b.job("req-2", 300, false);
  all.push_back({"jobs/req-2", jobs::to_json(*b.w.mirror.job(other), b.w.names), b.stamp});
  for (std::uint32_t t = 0; t < 300; t += 3) {
    PartWriter writer(b.w, b.part);
    for (std::uint32_t i = t; i < t + 3; ++i) EXPECT_TRUE(writer.settle({id, b.part, i, 9, i % 2 == 0}));
    if (t % 30 == 0) {
      auto entry = b.entries(t + 1, 20 + t);
      ASSERT_TRUE(writer.add(other, {entry.back()}));
    }
    commit(writer);
    for (std::uint32_t i = 0; i < 300; ++i)
      ASSERT_EQ(b.w.mirror.has_entry(id, b.part, i, 9), i >= t + 3) << "task " << i << " after " << t;
  }
  EXPECT_EQ(b.w.mirror.done(id), 150u);
  EXPECT_EQ(b.w.mirror.placed(other), 10u);
  for (const auto& e : all) reader.mirror.apply(e);
  const auto there = *reader.names.jobs.find("req-1");
  EXPECT_EQ(reader.mirror.done(there), 150u);
  EXPECT_EQ(reader.mirror.placed(there), 0u);
  EXPECT_EQ(reader.mirror.placed(*reader.names.jobs.find("req-2")), 10u);
}
INSTANTIATE_TEST_SUITE_P(Table, Fold,
                         testing::Values(FoldCase{"shards_before_ends", true},
                                         FoldCase{"ends_before_shards", false}),
                         [](const auto& info) { return std::string(info.param.name); });

// A late write of the ends must not undo a later one.
TEST(PartWriter, EndsAreConditionalOnThemselves) {
  OnePart b;
  const auto id = b.job("req-1", 4, false);
  {
    PartWriter writer(b.w, b.part);
    writer.add(id, b.entries(4, 9));
    Edit e;
    writer.finish(e);
    b.apply(e);
  }
  std::uint64_t seen = 0;
  for (std::uint32_t t = 0; t < 2; ++t) {
    PartWriter writer(b.w, b.part);
    writer.settle({id, b.part, t, 9, true});
    Edit e;
    writer.finish(e);
    const auto it =
        std::find_if(e.when.begin(), e.when.end(), [](const auto& c) { return c.key == "ends/a.0"; });
    ASSERT_NE(it, e.when.end());
    EXPECT_EQ(it->stamp, seen);
    b.apply(e);
    seen = b.stamp;
  }
}

// A scale case: what a report and a round's choice of room look at follows the machine, not the fleet.
TEST(Scale, AMachineIsFoundAmongThousands) {
  OnePart b;
  constexpr std::uint32_t kMachines = 2400;
  for (std::uint32_t i = 0; i < kMachines / 4; ++i) {
    const auto id = b.job("req-" + std::to_string(i), 8, false);
    PartWriter writer(b.w, b.part);
    std::vector<jobs::Entry> list;
    for (std::uint32_t t = 0; t < 8; ++t)
      list.push_back({t, 9, b.w.names.machines.intern("host-" + std::to_string(i * 4 + t / 2)), 1});
    ASSERT_TRUE(writer.add(id, list));
    EXPECT_LE(writer.touched(), 1u) << "one job's placement touches one shard, however many there are";
    Edit e;
    writer.finish(e);
    b.apply(e);
  }
  std::size_t entries = 0;
  b.w.mirror.each_named_machine([&](core::MachineId, const auto& list) {
    EXPECT_EQ(list.size(), 2u);
    entries += list.size();
  });
  EXPECT_EQ(entries, kMachines * 2u);
}

}  // namespace
}  // namespace finchrun::app
