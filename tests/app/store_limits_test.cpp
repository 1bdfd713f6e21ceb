// Many placements in one round under small limits of the key-value store.
//
// FINCHRUN_LIMIT_DAYS="FIRST LAST" runs the seeds from FIRST to before LAST instead of the few of CI.
#include "app/fault_scenarios.hpp"
#include "app/seed_range.hpp"

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

// Guards against a batch that is planned again as it was after a refusal that no retry helps: here the store
// has lower limits than the settings say.
TEST(StoreLimits, RoundGoesOnWithSmallerBatchesAfterAPermanentRefusal) {
  Cluster cluster(4, 3, 0);
  cluster.store.max_transaction_writes = 3;
  cluster.after(8, [&cluster] {
    for (int i = 0; i < 40; ++i) cluster.submit(1, false, kSmallTaskGpus, 5, "red", "normal", false, kZone);
  });
  cluster.run(80);
  EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front();
  EXPECT_EQ(unfinished_jobs(cluster), 0u);
  EXPECT_GT(cluster.store.rejected_for_size, 0u) << "the store must refuse something";
}

SeedRange seeds() { return seeds_from("FINCHRUN_LIMIT_DAYS", {710, 716}); }

/// A day with limits drawn from the seed. Many jobs of one task, arrays and gangs wait for the first machines
/// at the same time, while controllers crash and the store is out for a while.
class LimitDay {
 public:
  explicit LimitDay(std::uint32_t seed) : cluster(seed, 3, 0), random_(seed * 7919) {
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(kFaultsOverS);
    enforce(cluster, {1000, 200, random_s(1, 3), static_cast<int>(4 + random_() % 4)});
    for (int wave = 0; wave < 3; ++wave) cluster.after(6 + 25 * wave, [this] { submit_wave(); });
    for (int i = 0; i < 2; ++i)
      cluster.after(random_s(8, 70), [this] { cluster.crash(random_() % 3, random_s(0.3, 5)); });
    cluster.after(random_s(8, 70), [this] {
      cluster.store.outage = true;
      cluster.after(random_s(1, 6), [this] { cluster.recover_store(); });
    });
  }
  Cluster cluster;
  static constexpr double kFaultsOverS = 80;

 private:
  double random_s(double from_s, double to_s) {
    return std::uniform_real_distribution<double>(from_s, to_s)(random_);
  }
  void submit_wave() {
    const auto submit = [&](int tasks, bool gang, const char* priority) {
      const char* team = random_() % 2 == 0 ? "red" : "blue";
      const char* zone = random_() % 4 == 0 ? "b" : kZone;
      cluster.submit(tasks, gang, kSmallTaskGpus, random_s(3, 12), team, priority, false, zone);
    };
    for (auto singles = 5 + random_() % 30; singles > 0; --singles) submit(1, false, "high");
    submit(static_cast<int>(50 + random_() % 150), false, "normal");
    submit(static_cast<int>(2 + random_() % 10), true, "normal");
  }
  std::mt19937 random_;
};

class LimitDays : public testing::TestWithParam<std::uint32_t> {};
TEST_P(LimitDays, KeepTheRulesAndTheLimitsAndLeaveNoJobWaiting) {
  LimitDay day(GetParam());
  day.cluster.run(LimitDay::kFaultsOverS + 95);
  expect_no_violations(day.cluster);
  EXPECT_EQ(unfinished_jobs(day.cluster), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, LimitDays, testing::Range(seeds().first, seeds().last));

}  // namespace
}  // namespace finchrun::sim
