// Many placements in one round under small limits of the key-value store.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

constexpr double kSmallTaskGpus = 0.02;  // a machine has room for 200
constexpr const char* kZone = "a";

// From now on all controllers know the limits, and the store enforces them.
void enforce(Cluster& cluster, const config::StoreLimits& limits) {
  cluster.announce_store_limits(limits);
  for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, 0.1);
  cluster.store.max_value_bytes = limits.enforced_value_bytes();
  cluster.store.max_transaction_writes = limits.max_writes();
}

std::size_t unfinished_jobs(const Cluster& cluster) {
  return cluster.jobs.size() - finished_job_count(cluster);
}

// Guards against placements that never start because one batch of them is over the limit on compares.
TEST(StoreLimits, ArrayBehindManyJobsStartsUnderTheAnnouncedLimits) {
  Cluster cluster(3, 3, 0);
  enforce(cluster, {1000, 35, 2, 5});
  cluster.after(8, [&cluster] {
    for (int i = 0; i < 13; ++i) cluster.submit(1, false, kSmallTaskGpus, 5, "red", "high", false, kZone);
    cluster.submit(120, false, kSmallTaskGpus, 5, "red", "normal", false, kZone);
  });
  cluster.run(80);
  expect_no_violations(cluster);
  EXPECT_EQ(unfinished_jobs(cluster), 0u);
}

}  // namespace
}  // namespace finchrun::sim
