#include "app/edits.hpp"

#include <gtest/gtest.h>

#include "app/waiting.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;

config::Settings settings() {
  config::Settings s;
  s.label = "perch-0";
  s.zone = "a";
  s.zones = {"a"};
  s.teams = {{"red", 0, 0, 400, 800}};
  return s;
}

// One part that we own, machines m0, m1, ...
struct Bed {
  explicit Bed() : w(settings(), {}) {
    w.loaded = true;
    w.incarnation = 7;
    w.mirror.apply({"parts/a.0", json::parse(R"({"owner":"perch-0","inc":7})"), 40});
    w.mirror.synced(40);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang) {
    jobs::JobRecord r;
    r.spec.lane = w.names.lanes.intern("lane");
    r.spec.team = core::TeamId{0};
    r.spec.image = w.names.images.intern("img");
    r.spec.gang = gang;
    r.spec.tasks = tasks;
    r.ranges = {{0, tasks, part}};
    w.mirror.apply({"jobs/" + name, jobs::to_json(r, w.names), ++stamp});
    return *w.names.jobs.find(name);
  }
  std::vector<jobs::Entry> entries(std::uint32_t n, std::uint64_t attempt) {
    std::vector<jobs::Entry> out;
    for (std::uint32_t i = 0; i < n; ++i)
      out.push_back({i, attempt, w.names.machines.intern("host-" + std::to_string(100000 + i)), 1});
    return out;
  }
  void apply(const Edit& e) {
    ++stamp;
    for (const auto& c : e.then) w.mirror.apply({c.key, c.value, stamp});
  }
  World w;
  core::PartId part{0};
  std::uint64_t stamp = 50;
};

std::size_t largest_value(const Edit& e) {
  std::size_t most = 0;
  for (const auto& c : e.then) most = std::max(most, json::serialize(*c.value).size());
  return most;
}

// A round of many jobs once cost a change for each job, and most of it was never recorded.
TEST(PartWriter, ManyJobsCostFewChanges) {
  Bed b;
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
  Bed b;
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
  Bed b;
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
  Bed b;
  const auto id = b.job("req-1", 1, false);
  b.w.mirror.apply({"fence/a.0", json::value(1), 44});
  PartWriter writer(b.w, b.part);
  writer.add(id, b.entries(1, 9));
  Edit e;
  writer.finish(e);
  std::map<std::string, std::uint64_t> when;
  for (const auto& c : e.when) when[c.key] = c.stamp;
  EXPECT_EQ(when,
            (std::map<std::string, std::uint64_t>{{"parts/a.0", 40}, {"fence/a.0", 44}, {"runs/a.0/0", 0}}));
}

// A scale case: what a report and a round's choice of room look at follows the machine, not the fleet.
TEST(Scale, AMachineIsFoundAmongThousands) {
  Bed b;
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
