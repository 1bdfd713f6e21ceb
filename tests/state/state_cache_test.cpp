#include "state/state_cache.hpp"

#include <gtest/gtest.h>

namespace finchrun::state {
namespace {

struct CacheFixture {
  CacheFixture() : cache(prepare(names), 1, 1) {}
  static jobs::Names& prepare(jobs::Names& prepared) {
    prepared.teams.intern("red");
    prepared.partitions.intern("a.0");
    return prepared;
  }
  jobs::Names names;
  StateCache cache;
};
json::value parse(const char* text) { return json::parse(text); }
// One shard of partition a.0, with an entry of req-1.
json::value shard(const char* entry) {
  return json::parse(std::string(R"({"jobs":{"req-1":)") + entry + "}}");
}
constexpr const char* kPlaced = R"({"p":[[7,[["m",1,[0]]]]],"d":[]})";
constexpr const char* kPlacedAgain = R"({"p":[[9,[["m",1,[0]]]]],"d":[]})";
constexpr const char* kDone = R"({"p":[],"d":[[0,1]]})";

TEST(StateCache, IgnoresRepeatedAndOlderChanges) {
  CacheFixture fixture;
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  fixture.cache.apply({"runs/a.0/0", shard(kDone), 12});
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  EXPECT_EQ(fixture.cache.done_tasks(core::JobId{0}), 1u);
  EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 0u);
}

TEST(StateCache, OlderValueDoesNotRestoreDeletedKey) {
  CacheFixture fixture;
  fixture.cache.synchronized(5);
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  fixture.cache.apply({"runs/a.0/0", std::nullopt, 12});
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 11});
  EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 0u);
  fixture.cache.synchronized(12);
  fixture.cache.apply({"runs/a.0/0", shard(kPlacedAgain), 13});
  EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 1u);
}

// The result does not depend on which of the two records is read first, and a job is listed only while it
// has an assignment.
TEST(StateCache, ListsCancelledJobsWithTasksOnMachines) {
  const KeyUpdate placed{"runs/a.0/0", shard(kPlaced), 10};
  const KeyUpdate cancelled{"jobs/req-1",
                            json::parse(R"({"st":"cancelled","n":1,"team":"red","need":[1,0,1]})"), 11};
  for (const bool job_first : {false, true}) {
    CacheFixture fixture;
    fixture.cache.apply(job_first ? cancelled : placed);
    EXPECT_TRUE(fixture.cache.cancelled_with_tasks().empty());
    fixture.cache.apply(job_first ? placed : cancelled);
    EXPECT_EQ(fixture.cache.cancelled_with_tasks().size(), 1u);
    fixture.cache.apply({"runs/a.0/0", shard(R"({"p":[],"d":[]})"), 12});
    EXPECT_TRUE(fixture.cache.cancelled_with_tasks().empty());
  }
}

TEST(StateCache, ListsJobsCancelledAfterRevision) {
  CacheFixture fixture;
  const auto job = [&](int i, const char* status, std::uint64_t revision) {
    fixture.cache.apply(
        {"jobs/req-" + std::to_string(i),
         json::parse(std::string(R"({"n":1,"team":"red","need":[1,0,1],"st":")") + status + "\"}"),
         revision});
  };
  job(1, "cancelled", 10);
  job(2, "done", 11);
  job(3, "cancelled", 12);
  EXPECT_EQ(fixture.cache.cancelled_after(9)->size(), 2u);
  ASSERT_EQ(fixture.cache.cancelled_after(10)->size(), 1u);
  EXPECT_EQ(fixture.names.jobs.name(fixture.cache.cancelled_after(10)->front()), "req-3");
  EXPECT_TRUE(fixture.cache.cancelled_after(12)->empty());
  // Only the newest 4096 are kept; a controller that lacks older ones must read the store.
  for (int i = 0; i < 4096; ++i) job(10 + i, "cancelled", 20 + static_cast<std::uint64_t>(i));
  EXPECT_FALSE(fixture.cache.cancelled_after(9));
  EXPECT_EQ(fixture.cache.cancelled_after(19)->size(), 4096u);
}

// Guards against an answer to a ping that counts as complete although it lacks dropped cancellations: all
// records are read in the order of their keys.
TEST(StateCache, KnowsWhichCancellationsItHasDroppedIfTheyAreReadInAnyOrder) {
  constexpr std::uint64_t kKept = 4096, kNewest = 10000;
  CacheFixture fixture;
  const auto cancel = [&](std::uint64_t revision) {
    fixture.cache.apply({"jobs/req-" + std::to_string(revision),
                         parse(R"({"st":"cancelled","n":1,"team":"red","need":[1,0,1]})"), revision});
  };
  for (std::uint64_t revision = kNewest - kKept; revision <= kNewest; ++revision) cancel(revision);
  cancel(5);
  EXPECT_FALSE(fixture.cache.cancelled_after(6));
  EXPECT_FALSE(fixture.cache.cancelled_after(kNewest - kKept - 1));
  EXPECT_TRUE(fixture.cache.cancelled_after(kNewest - kKept));
}

TEST(StateCache, UpdatesAssignmentsByMachineWithEachRecord) {
  CacheFixture fixture;
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  const auto machine = *fixture.names.machines.find("m");
  ASSERT_EQ(fixture.cache.on_machine(machine).size(), 1u);
  EXPECT_EQ(fixture.cache.on_machine(machine)[0].assignment.attempt, 7u);
  // A second shard of the partition has another entry of the job; both count.
  fixture.cache.apply({"runs/a.0/1", shard(R"({"p":[[8,[["m",1,[1,2]]]]],"d":[[3,5]]})"), 11});
  EXPECT_EQ(fixture.cache.on_machine(machine).size(), 3u);
  EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 3u);
  EXPECT_EQ(fixture.cache.done_tasks(core::JobId{0}), 2u);
  fixture.cache.apply({"runs/a.0/0", parse(R"({"jobs":{}})"), 12});
  EXPECT_EQ(fixture.cache.on_machine(machine).size(), 2u);
}

// A tombstone marks a task as ended. Later one transaction moves the done task to another shard and removes
// the tombstone. Reading the shard first applied the tombstone a second time, and counted the task as done
// twice.
// Guards against running tasks that are stopped as not recorded once their shard is split.
TEST(StateCache, AssignmentThatMovesToAnotherShardStaysOnItsMachine) {
  for (const bool new_shard_first : {false, true}) {
    CacheFixture fixture;
    fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
    const auto machine = *fixture.names.machines.find("m");
    const KeyUpdate to{"runs/a.0/1", shard(kPlaced), 12};
    const KeyUpdate from{"runs/a.0/0", shard(R"({"p":[],"d":[]})"), 12};
    fixture.cache.apply(new_shard_first ? to : from);
    fixture.cache.apply(new_shard_first ? from : to);
    EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 1u);
    EXPECT_EQ(fixture.cache.on_machine(machine).size(), 1u) << "new shard first: " << new_shard_first;
    fixture.cache.apply({"runs/a.0/1", std::nullopt, 13});
    EXPECT_TRUE(fixture.cache.on_machine(machine).empty());
  }
}

TEST(StateCache, ContentsDoNotDependOnReadOrderOfTransaction) {
  std::vector<KeyUpdate> moved{{"runs/a.0/0", shard(R"({"p":[[7,[["m",1,[1]]]]],"d":[]})"), 12},
                               {"runs/a.0/1", shard(R"({"p":[],"d":[[0,1]]})"), 12},
                               {"ends/a.0", parse("{}"), 12}};
  const auto by_key = [](const KeyUpdate& a, const KeyUpdate& b) { return a.key < b.key; };
  std::sort(moved.begin(), moved.end(), by_key);
  do {
    CacheFixture fixture;
    fixture.cache.apply({"runs/a.0/0", shard(R"({"p":[[7,[["m",1,[0,1]]]]],"d":[]})"), 10});
    fixture.cache.apply({"ends/a.0", parse(R"({"0":{"req-1":[[0,7,0,1]]}})"), 11});
    EXPECT_EQ(fixture.cache.done_tasks(core::JobId{0}), 1u);
    EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 1u);
    for (const auto& update : moved) fixture.cache.apply(update);
    EXPECT_EQ(fixture.cache.done_tasks(core::JobId{0}), 1u) << "read first: " << moved.front().key;
    EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 1u);
    EXPECT_FALSE(fixture.cache.shard(core::ShardId{0}).needs_tombstones());
  } while (std::next_permutation(moved.begin(), moved.end(), by_key));
}

TEST(StateCache, UnreadableRecordIsNotTreatedAsAbsent) {
  CacheFixture fixture;
  fixture.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  EXPECT_TRUE(fixture.cache.is_readable(core::PartitionId{0}));
  fixture.cache.apply({"runs/a.0/0", shard(R"({"p":"?"})"), 11});
  EXPECT_EQ(fixture.cache.placed_tasks(core::JobId{0}), 1u);
  EXPECT_FALSE(fixture.cache.is_readable(core::PartitionId{0})) << "assignments of the partition are unknown";
  fixture.cache.apply({"jobs/req-7", parse(R"({"st":"live"})"), 12});
  EXPECT_EQ(fixture.cache.job(*fixture.names.jobs.find("req-7")), nullptr);
  EXPECT_TRUE(fixture.cache.is_unreadable(*fixture.names.jobs.find("req-7")));
}

TEST(StateCache, IgnoresMalformedJobRecords) {
  CacheFixture fixture;
  for (const char* text : {"3", "{}", R"({"st":"live"})"})
    fixture.cache.apply({"jobs/req-2", parse(text), 10});
  EXPECT_TRUE(fixture.cache.live_jobs().empty());
}

}  // namespace
}  // namespace finchrun::state
