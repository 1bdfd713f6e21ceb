#include "state/state_cache.hpp"

#include <gtest/gtest.h>

namespace finchrun::state {
namespace {

struct Bed {
  Bed() : cache(prepare(names), 1, 1) {}
  static jobs::Names& prepare(jobs::Names& n) {
    n.teams.intern("red");
    n.partitions.intern("a.0");
    return n;
  }
  jobs::Names names;
  StateCache cache;
};
json::value run(const char* text) { return json::parse(text); }
// One shard of partition a.0, holding something of req-1.
json::value shard(const char* piece) {
  return json::parse(std::string(R"({"jobs":{"req-1":)") + piece + "}}");
}
constexpr const char* kPlaced = R"({"p":[[7,[["m",1,[0]]]]],"d":[]})";
constexpr const char* kPlacedAgain = R"({"p":[[9,[["m",1,[0]]]]],"d":[]})";
constexpr const char* kDone = R"({"p":[],"d":[[0,1]]})";

TEST(StateCache, RepeatsAndOlderChangesDoNoHarm) {
  Bed b;
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  b.cache.apply({"runs/a.0/0", shard(kDone), 12});
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  EXPECT_EQ(b.cache.done(core::JobId{0}), 1u);
  EXPECT_EQ(b.cache.placed(core::JobId{0}), 0u);
}

TEST(StateCache, OwnDeletionIsNotUndoneByAnOlderValue) {
  Bed b;
  b.cache.synchronized(5);
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  b.cache.apply({"runs/a.0/0", std::nullopt, 12});
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 11});
  EXPECT_EQ(b.cache.placed(core::JobId{0}), 0u);
  b.cache.synchronized(12);
  b.cache.apply({"runs/a.0/0", shard(kPlacedAgain), 13});
  EXPECT_EQ(b.cache.placed(core::JobId{0}), 1u);
}

// Whichever of the two records is read first; and no longer once the assignment is gone.
TEST(StateCache, NamesCancelledJobsOfWhichATaskMayBeThere) {
  const KeyUpdate placed{"runs/a.0/0", shard(kPlaced), 10};
  const KeyUpdate cancelled{"jobs/req-1",
                            json::parse(R"({"st":"cancelled","n":1,"team":"red","need":[1,0,1]})"), 11};
  for (const bool job_first : {false, true}) {
    Bed b;
    b.cache.apply(job_first ? cancelled : placed);
    EXPECT_TRUE(b.cache.cancelled_with_tasks().empty());
    b.cache.apply(job_first ? placed : cancelled);
    EXPECT_EQ(b.cache.cancelled_with_tasks().size(), 1u);
    b.cache.apply({"runs/a.0/0", shard(R"({"p":[],"d":[]})"), 12});
    EXPECT_TRUE(b.cache.cancelled_with_tasks().empty());
  }
}

TEST(StateCache, ListsWhatWasCancelledAfterARevision) {
  Bed b;
  const auto job = [&](int i, const char* status, std::uint64_t revision) {
    b.cache.apply({"jobs/req-" + std::to_string(i),
                   json::parse(std::string(R"({"n":1,"team":"red","need":[1,0,1],"st":")") + status + "\"}"),
                   revision});
  };
  job(1, "cancelled", 10);
  job(2, "done", 11);
  job(3, "cancelled", 12);
  EXPECT_EQ(b.cache.cancelled_after(9)->size(), 2u);
  ASSERT_EQ(b.cache.cancelled_after(10)->size(), 1u);
  EXPECT_EQ(b.names.jobs.name(b.cache.cancelled_after(10)->front()), "req-3");
  EXPECT_TRUE(b.cache.cancelled_after(12)->empty());
  // Of very many only the newest are kept; who lacks older ones must read them.
  for (int i = 0; i < 4096; ++i) job(10 + i, "cancelled", 20 + static_cast<std::uint64_t>(i));
  EXPECT_FALSE(b.cache.cancelled_after(9));
  EXPECT_EQ(b.cache.cancelled_after(19)->size(), 4096u);
}

TEST(StateCache, FindsAssignmentsByMachineAsRecordsChange) {
  Bed b;
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  const auto m = *b.names.machines.find("m");
  ASSERT_EQ(b.cache.on_machine(m).size(), 1u);
  EXPECT_EQ(b.cache.on_machine(m)[0].assignment.attempt, 7u);
  // Another shard of the partition holds more of the job; both count.
  b.cache.apply({"runs/a.0/1", shard(R"({"p":[[8,[["m",1,[1,2]]]]],"d":[[3,5]]})"), 11});
  EXPECT_EQ(b.cache.on_machine(m).size(), 3u);
  EXPECT_EQ(b.cache.placed(core::JobId{0}), 3u);
  EXPECT_EQ(b.cache.done(core::JobId{0}), 2u);
  b.cache.apply({"runs/a.0/0", run(R"({"jobs":{}})"), 12});
  EXPECT_EQ(b.cache.on_machine(m).size(), 2u);
}

// A task ends, with a tombstone ahead of its shard; then what is done moves to another shard and the
// tombstone goes, in one transaction. Read shard first, the tombstone was applied to the shard once more, and
// the task counted as done twice.
TEST(StateCache, HoldsTheSameInWhicheverOrderATransactionIsRead) {
  std::vector<KeyUpdate> moved{{"runs/a.0/0", shard(R"({"p":[[7,[["m",1,[1]]]]],"d":[]})"), 12},
                               {"runs/a.0/1", shard(R"({"p":[],"d":[[0,1]]})"), 12},
                               {"ends/a.0", run("{}"), 12}};
  const auto by_key = [](const KeyUpdate& a, const KeyUpdate& b) { return a.key < b.key; };
  std::sort(moved.begin(), moved.end(), by_key);
  do {
    Bed b;
    b.cache.apply({"runs/a.0/0", shard(R"({"p":[[7,[["m",1,[0,1]]]]],"d":[]})"), 10});
    b.cache.apply({"ends/a.0", run(R"({"0":{"req-1":[[0,7,0,1]]}})"), 11});
    EXPECT_EQ(b.cache.done(core::JobId{0}), 1u);
    EXPECT_EQ(b.cache.placed(core::JobId{0}), 1u);
    for (const auto& e : moved) b.cache.apply(e);
    EXPECT_EQ(b.cache.done(core::JobId{0}), 1u) << "read first: " << moved.front().key;
    EXPECT_EQ(b.cache.placed(core::JobId{0}), 1u);
    EXPECT_FALSE(b.cache.shard(core::ShardId{0}).needs_tombstones());
  } while (std::next_permutation(moved.begin(), moved.end(), by_key));
}

TEST(StateCache, UnreadableRecordsAreNeverTakenForAbsence) {
  Bed b;
  b.cache.apply({"runs/a.0/0", shard(kPlaced), 10});
  EXPECT_TRUE(b.cache.readable(core::PartitionId{0}));
  b.cache.apply({"runs/a.0/0", shard(R"({"p":"?"})"), 11});
  EXPECT_EQ(b.cache.placed(core::JobId{0}), 1u);
  EXPECT_FALSE(b.cache.readable(core::PartitionId{0})) << "what runs there is not known any more";
  b.cache.apply({"jobs/req-7", run(R"({"st":"live"})"), 12});
  EXPECT_EQ(b.cache.job(*b.names.jobs.find("req-7")), nullptr);
  EXPECT_TRUE(b.cache.unreadable(*b.names.jobs.find("req-7")));
}

TEST(StateCache, SenselessRecordsAreLeftOut) {
  Bed b;
  for (const char* text : {"3", "{}", R"({"st":"live"})"}) b.cache.apply({"jobs/req-2", run(text), 10});
  EXPECT_TRUE(b.cache.live().empty());
}

}  // namespace
}  // namespace finchrun::state
