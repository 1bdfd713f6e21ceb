// Tests of services, and of limits of the key-value store that are reduced while the controllers run.
#include "app/fault_scenarios.hpp"
#include "core/case_names.hpp"

namespace finchrun::sim {
namespace {

// Returns the share of replica time that was not served.
double missed_share(const Cluster& cluster) {
  return 1 - cluster.served_replica_s / cluster.expected_replica_s;
}

void submit_services(Cluster& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i)
    cluster.after(8 + i, [&cluster, i] { cluster.submit_service(2 + i % 3, i % 2 ? "red" : "blue"); });
}

TEST(Services, RunUntilCancelled) {
  Cluster cluster(3);
  std::string id;
  cluster.after(8, [&] { id = cluster.submit_service(3, "red"); });
  cluster.run(60);
  std::string body;
  cluster.request_once(0, "GET", "/submissions/" + id, "",
                       [&](int, std::string response) { body = std::move(response); });
  cluster.run(2);
  EXPECT_NE(body.find(R"("status":"running","done":0,"running":3)"), std::string::npos) << body;
  EXPECT_LT(missed_share(cluster), 0.01);
  cluster.cancel(id);
  cluster.run(40);
  expect_no_violations(cluster);
  for (const auto& [_, agent] : cluster.agents) EXPECT_TRUE(agent.tasks.empty());
}

struct SubmissionCase {
  const char* name;
  const char* field;
  json::value value;
  int status;
};
class ServiceSubmission : public testing::TestWithParam<SubmissionCase> {};
TEST_P(ServiceSubmission, ReturnsTheExpectedStatus) {
  Cluster cluster(3);
  std::string id;
  cluster.after(8, [&] { id = cluster.submit_service(3, "red"); });
  cluster.run(20);
  auto spec = cluster.jobs.at(id).spec;
  spec["nameId"] = "req-999999";
  spec[GetParam().field] = GetParam().value;
  int status = 0;
  cluster.request_once(1, "POST", "/submissions", json::serialize(spec),
                       [&](int response_status, const std::string&) { status = response_status; });
  cluster.run(2);
  EXPECT_EQ(status, GetParam().status);
}
INSTANTIATE_TEST_SUITE_P(
    Table, ServiceSubmission,
    testing::Values(SubmissionCase{"all_replicas_over_the_team_limit", "gpus", 4.0 + 0.01, 422},
                    SubmissionCase{"a_replica_that_fits_no_machine_type", "ramGb", 1e6, 422},
                    SubmissionCase{"together_and_scatter", "together", true, 422},
                    SubmissionCase{"scatter_with_one_zone", "hall", "a", 422},
                    SubmissionCase{"unknown_team", "crew", "green", 422},
                    SubmissionCase{"unknown_shape", "shape", "serving", 400},
                    SubmissionCase{"no_estimate", "expectS", nullptr, 400},
                    SubmissionCase{"existing_job", "nameId", "req-000000", 200}),
    kCaseName);

// At most half of the replicas, rounded up, may be in one zone. When a zone with two of three replicas fails,
// one of them moves to the other zone.
TEST(Services, MoveReplicasFromAFailedZoneUpToTheZoneMaximum) {
  Cluster cluster(5);
  std::string id;
  cluster.after(8, [&] { id = cluster.submit_service(3, "red"); });
  const auto running = [&] {
    std::map<std::string, int> by_zone;
    for (const auto& [_, agent] : cluster.agents)
      for (const auto& [key, task] : agent.tasks)
        by_zone[agent.zone] += !agent.dead && key.first == id && task.state == "running";
    return by_zone;
  };
  cluster.run(30);
  const std::string failed_zone = running()["a"] == 2 ? "a" : "b";
  ASSERT_EQ(running()[failed_zone], 2);
  cluster.cloud.capacity = 0;
  for (auto& [name, agent] : cluster.agents)
    if (agent.zone == failed_zone) agent.dead = cluster.cloud.hosts[name].dead = true;
  cluster.run(150);
  expect_no_violations(cluster);
  EXPECT_EQ(running()[failed_zone], 0);
  EXPECT_EQ(running()[failed_zone == "a" ? "b" : "a"], 2);
}

struct FaultScenario {
  const char* name;
  std::function<void(Cluster&)> inject_faults;
  double max_missed_share;
};
class ServiceFaults : public testing::TestWithParam<FaultScenario> {};
TEST_P(ServiceFaults, KeepsTheRulesAndServes) {
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster cluster(seed);
    submit_mixed_jobs(cluster, 9, 30);
    submit_services(cluster, 4);
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(120);
    GetParam().inject_faults(cluster);
    cluster.run(200);
    expect_no_violations(cluster);
    EXPECT_EQ(finished_job_count(cluster), 9u) << "seed " << seed;
    EXPECT_LT(missed_share(cluster), GetParam().max_missed_share) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, ServiceFaults,
    testing::Values(FaultScenario{"no_faults", [](Cluster&) {}, 0.01},
                    FaultScenario{"rolling_restart",
                                  [](Cluster& cluster) {
                                    for (std::size_t n = 0; n < 3; ++n)
                                      cluster.after(20 + 10 * static_cast<double>(n),
                                                    [&cluster, n] { cluster.crash(n, 3); });
                                  },
                                  0.02},
                    FaultScenario{"all_controllers_crash",
                                  [](Cluster& cluster) {
                                    for (std::size_t n = 0; n < 3; ++n)
                                      cluster.after(25, [&cluster, n] { cluster.crash(n, 3); });
                                  },
                                  0.02},
                    FaultScenario{"store_outage",
                                  [](Cluster& cluster) {
                                    cluster.after(25, [&cluster] { cluster.store.outage = true; });
                                    cluster.after(
                                        45, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
                                  },
                                  0.02},
                    FaultScenario{"a_machine_dies",
                                  [](Cluster& cluster) {
                                    cluster.after(30, [&cluster] {
                                      for (auto& [name, agent] : cluster.agents) {
                                        if (agent.tasks.empty()) continue;
                                        agent.dead = cluster.cloud.hosts[name].dead = true;
                                        return;
                                      }
                                    });
                                  },
                                  0.12}),
    kCaseName);

struct LimitReduction {
  const char* name;
  double enforced_at_s;
  std::function<void(Cluster&)> inject_faults;
};
class ReducedStoreLimits : public testing::TestWithParam<LimitReduction> {};
// Running controllers know only the current limits. They restart one by one and then obey the announced
// limits; the store enforces those some time after the last restart.
TEST_P(ReducedStoreLimits, KeepsTheRulesAndServes) {
  for (const std::uint32_t seed : {21u}) {
    Cluster cluster(seed, 3, 5);
    submit_mixed_jobs(cluster, 24, 60);
    cluster.after(10, [&cluster] { cluster.submit(60, false, 0.1, 40, "red", "normal"); });
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(140);
    cluster.after(20, [&cluster] { cluster.announce_store_limits({1000, 200, 1, 5}); });
    for (std::size_t n = 0; n < 3; ++n)
      cluster.after(21 + 5 * static_cast<double>(n), [&cluster, n] { cluster.crash(n, 1); });
    cluster.after(GetParam().enforced_at_s, [&cluster] {
      cluster.store.max_value_bytes = 1024;
      cluster.store.max_transaction_writes = 5;
    });
    GetParam().inject_faults(cluster);
    submit_services(cluster, 0);
    cluster.after(40, [&cluster] { submit_services(cluster, 3); });
    cluster.run(200);
    expect_no_violations(cluster);
    EXPECT_EQ(finished_job_count(cluster), 25u) << "seed " << seed;
    EXPECT_EQ(cluster.store.rejected_for_size, 0u) << "seed " << seed;
    EXPECT_LT(missed_share(cluster), 0.05) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, ReducedStoreLimits,
    testing::Values(LimitReduction{"right_after_the_rolling_restart", 33, [](Cluster&) {}},
                    LimitReduction{"long_after_the_rolling_restart", 60, [](Cluster&) {}},
                    LimitReduction{"with_late_writes", 40,
                                   [](Cluster& cluster) {
                                     cluster.faults.late_write_probability = 0.1;
                                     cluster.after(100,
                                                   [&cluster] { cluster.faults.late_write_probability = 0; });
                                   }},
                    LimitReduction{"with_a_crash_of_all_controllers", 36,
                                   [](Cluster& cluster) {
                                     for (std::size_t n = 0; n < 3; ++n)
                                       cluster.after(37, [&cluster, n] { cluster.crash(n, 2); });
                                   }}),
    kCaseName);

}  // namespace
}  // namespace finchrun::sim
