#include "scheduling/waiting_tasks.hpp"

#include <gtest/gtest.h>

namespace finchrun::scheduling {
namespace {

constexpr core::PartitionId kFirst{0}, kSecond{1};

// Tasks 0 to 5 belong to partition a.0, 6 to 9 to a.1.
struct Records {
  explicit Records(jobs::Shape shape) : cache(names, 2, 1) {
    for (const auto* partition : {"a.0", "a.1"}) names.partitions.intern(partition);
    names.teams.intern("red");
    jobs::JobRecord record;
    record.spec.job_class = names.job_classes.intern("batch");
    record.spec.team = core::TeamId{0};
    record.spec.image = names.images.intern("img");
    record.spec.shape = shape;
    record.spec.tasks = 10;
    record.ranges = {{0, 6, kFirst}, {6, 10, kSecond}};
    cache.apply({"jobs/req-1", jobs::to_json(record, names), 1});
    job = *names.jobs.find("req-1");
  }
  void record(const char* shard, const jobs::JobAssignments& job_assignments) {
    const boost::json::object by_job{{"req-1", jobs::to_json(job_assignments, names)}};
    cache.apply({std::string("runs/") + shard, boost::json::object{{"jobs", by_job}}, ++revision});
  }
  jobs::Names names;
  state::StateCache cache;
  core::JobId job;
  std::uint64_t revision = 1;
};

jobs::JobAssignments placed_and_done(Records& records, std::uint32_t placed, std::uint32_t done) {
  jobs::JobAssignments job_assignments;
  job_assignments.assignments = {{placed, 9, records.names.machines.intern("host-1"), 1}};
  job_assignments.done.add(done, done + 1);
  return job_assignments;
}

TEST(WaitingTasks, AreNeitherDoneNorPlacedInAnyPartition) {
  Records records(jobs::Shape::array);
  records.record("a.0/s1", placed_and_done(records, 0, 2));
  // A task that was moved to the first partition may still run on a machine of the second one.
  records.record("a.1/s1", placed_and_done(records, 4, 7));
  const WaitingTasks waiting(records.cache, records.job);
  EXPECT_TRUE(waiting.has_waiting());
  EXPECT_EQ(waiting.count(kFirst), 3u);
  EXPECT_EQ(waiting.first_tasks(kFirst, 100), (std::vector<std::uint32_t>{1, 3, 5}));
  EXPECT_EQ(waiting.first_tasks(kFirst, 2), (std::vector<std::uint32_t>{1, 3}));
  EXPECT_EQ(waiting.first_tasks(kSecond, 100), (std::vector<std::uint32_t>{6, 8, 9}));
}

TEST(WaitingTasks, EndedReplicaWaitsAgain) {
  Records records(jobs::Shape::service);
  records.record("a.0/s1", placed_and_done(records, 0, 2));
  EXPECT_EQ(WaitingTasks(records.cache, records.job).first_tasks(kFirst, 100),
            (std::vector<std::uint32_t>{1, 2, 3, 4, 5}));
}

TEST(WaitingTasks, NoneIfAllAreDone) {
  Records records(jobs::Shape::array);
  jobs::JobAssignments job_assignments;
  job_assignments.done.add(0, 10);
  records.record("a.0/s1", job_assignments);
  const WaitingTasks waiting(records.cache, records.job);
  EXPECT_FALSE(waiting.has_waiting());
  EXPECT_EQ(waiting.count(kFirst), 0u);
  EXPECT_TRUE(waiting.first_tasks(kFirst, 100).empty());
}

}  // namespace
}  // namespace finchrun::scheduling
