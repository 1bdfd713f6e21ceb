// Runs the whole service under a simulated clock with single faults; the rules are checked after every step.
#include "app/fault_scenarios.hpp"
#include "core/case_names.hpp"

namespace finchrun::sim {
namespace {

TEST(Cluster, FinishesEverythingWithoutFaults) {
  Cluster cluster(1);
  submit_mixed_jobs(cluster, 12, 20);
  cluster.run(90);
  expect_no_violations(cluster);
  EXPECT_EQ(finished_job_count(cluster), 12u);
}

struct FaultScenario {
  const char* name;
  std::function<void(Cluster&)> inject_faults;
};
class SingleFault : public testing::TestWithParam<FaultScenario> {};
TEST_P(SingleFault, KeepsTheRulesAndFinishes) {
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster cluster(seed);
    submit_mixed_jobs(cluster, 12, 30);
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(120);
    GetParam().inject_faults(cluster);
    cluster.run(220);
    expect_no_violations(cluster);
    EXPECT_EQ(finished_job_count(cluster), 12u) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, SingleFault,
    testing::Values(
        FaultScenario{"one_controller_crashes",
                      [](Cluster& cluster) { cluster.after(15, [&cluster] { cluster.crash(0, 3); }); }},
        FaultScenario{"all_controllers_crash",
                      [](Cluster& cluster) {
                        for (std::size_t n = 0; n < 3; ++n)
                          cluster.after(15, [&cluster, n] { cluster.crash(n, 3); });
                      }},
        FaultScenario{"controllers_restart_immediately",
                      [](Cluster& cluster) {
                        for (int i = 0; i < 6; ++i)
                          cluster.after(10 + 3 * i, [&cluster, i] {
                            cluster.crash(static_cast<std::size_t>(i % 3), 0.2);
                          });
                      }},
        FaultScenario{"one_controller_down_for_long",
                      [](Cluster& cluster) { cluster.after(12, [&cluster] { cluster.crash(1, 60); }); }},
        FaultScenario{"store_outage",
                      [](Cluster& cluster) {
                        cluster.after(15, [&cluster] { cluster.store.outage = true; });
                        cluster.after(30, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
                      }},
        FaultScenario{"one_controller_cut_off_from_store",
                      [](Cluster& cluster) {
                        cluster.after(12, [&cluster] { cluster.blocked_links.insert({0, "state"}); });
                        cluster.after(45, [&cluster] { cluster.blocked_links.clear(); });
                      }},
        FaultScenario{"one_controller_cut_off_from_agents",
                      [](Cluster& cluster) {
                        cluster.after(12, [&cluster] { cluster.blocked_links.insert({0, "zone a"}); });
                        cluster.after(40, [&cluster] { cluster.blocked_links.clear(); });
                      }},
        FaultScenario{"cloud_outage",
                      [](Cluster& cluster) {
                        cluster.after(6, [&cluster] { cluster.cloud.outage = true; });
                        cluster.after(40, [&cluster] { cluster.cloud.outage = false; });
                      }},
        FaultScenario{"machines_die",
                      [](Cluster& cluster) {
                        cluster.after(14, [&cluster] {
                          int n = 0;
                          for (auto& [name, agent] : cluster.agents)
                            if (n++ % 3 == 0) agent.dead = true, cluster.cloud.hosts[name].dead = true;
                        });
                      }},
        FaultScenario{"machines_removed_while_all_controllers_are_down",
                      [](Cluster& cluster) {
                        for (std::size_t n = 0; n < 3; ++n)
                          cluster.after(15, [&cluster, n] { cluster.crash(n, 8); });
                        cluster.after(16, [&cluster] {
                          // All machines with tasks.
                          std::erase_if(cluster.agents, [&cluster](const auto& agent) {
                            return !agent.second.tasks.empty() && cluster.cloud.hosts.erase(agent.first) > 0;
                          });
                        });
                      }},
        FaultScenario{"agents_suspended_and_resumed",
                      [](Cluster& cluster) {
                        cluster.after(14, [&cluster] {
                          for (auto& [_, agent] : cluster.agents) cluster.suspend(agent, 8);
                        });
                      }},
        FaultScenario{"controller_suspended_past_its_store_lease",
                      [](Cluster& cluster) {
                        // Its earlier decisions are invalid on resume: other controllers lead its partitions.
                        cluster.after(13, [&cluster] { cluster.suspended_controllers.insert(0); });
                        cluster.after(13 + 12, [&cluster] { cluster.suspended_controllers.clear(); });
                        cluster.after(34, [&cluster] { cluster.suspended_controllers.insert(1); });
                        cluster.after(34 + 3.3, [&cluster] { cluster.suspended_controllers.clear(); });
                      }},
        FaultScenario{"all_controllers_crash_in_a_store_outage",
                      [](Cluster& cluster) {
                        cluster.after(14, [&cluster] { cluster.store.outage = true; });
                        for (std::size_t n = 0; n < 3; ++n)
                          cluster.after(20, [&cluster, n] { cluster.crash(n, n == 0 ? 0.2 : 3); });
                        cluster.after(29, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
                      }},
        FaultScenario{"half_of_all_agents_suspended_past_their_lease_with_late_duplicates",
                      [](Cluster& cluster) {
                        cluster.faults.duplicate_heartbeat_probability = 0.3;
                        cluster.after(14, [&cluster] {
                          int n = 0;
                          for (auto& [_, agent] : cluster.agents)
                            if (n++ % 2 == 0) cluster.suspend(agent, 16);
                        });
                        cluster.after(80, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"zone_cut_off_while_the_controller_elsewhere_crashes",
                      [](Cluster& cluster) {
                        // Controllers 0 and 2 run in zone a, whose machines are cut off with them.
                        cluster.after(13, [&cluster] {
                          for (const std::size_t n : {0, 2})
                            for (const char* target : {"state", "cloud", "zone b"})
                              cluster.blocked_links.insert({n, target});
                          cluster.blocked_links.insert({1, "zone a"});
                          cluster.blocked_links.insert({1, "peers"});
                        });
                        cluster.after(18, [&cluster] { cluster.crash(1, 0.2); });
                        cluster.after(21.4, [&cluster] { cluster.crash(1, 0.1); });
                        cluster.after(45, [&cluster] { cluster.blocked_links.clear(); });
                      }},
        FaultScenario{"two_machines_unreachable_for_commands",
                      [](Cluster& cluster) {
                        cluster.after(14, [&cluster] {
                          // Two machines with tasks, for the rest of the test.
                          int n = 0;
                          for (auto& [_, agent] : cluster.agents)
                            if (!agent.tasks.empty() && n++ < 2) agent.inbound_blocked = true;
                        });
                      }},
        FaultScenario{"late_duplicate_heartbeats",
                      [](Cluster& cluster) {
                        cluster.faults.duplicate_heartbeat_probability = 0.3;
                        for (int i = 0; i < 4; ++i)
                          cluster.after(12 + 9 * i, [&cluster, i] {
                            cluster.crash(static_cast<std::size_t>(i % 3), i % 2 ? 0.2 : 5);
                          });
                        cluster.after(20, [&cluster] {
                          for (auto& [name, agent] : cluster.agents)
                            if (!agent.tasks.empty()) {
                              agent.dead = true;
                              cluster.cloud.hosts[name].dead = true;
                              break;
                            }
                        });
                        cluster.after(120, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"one_controller_cut_off_from_store_and_peers",
                      [](Cluster& cluster) {
                        cluster.after(12, [&cluster] {
                          cluster.blocked_links.insert({0, "state"});
                          cluster.blocked_links.insert({0, "peers"});
                        });
                        cluster.after(60, [&cluster] { cluster.blocked_links.clear(); });
                      }},
        FaultScenario{"controllers_restart_immediately_during_an_election",
                      [](Cluster& cluster) {
                        cluster.after(12, [&cluster] { cluster.crash(0, 3.4); });
                        for (int i = 0; i < 8; ++i)
                          cluster.after(14.6 + 0.3 * i, [&cluster, i] {
                            cluster.crash(static_cast<std::size_t>(1 + i % 2), 0.1);
                          });
                        cluster.after(30, [&cluster] { cluster.crash(1, 0.1); });
                      }},
        FaultScenario{"lost_and_late_messages",
                      [](Cluster& cluster) {
                        cluster.faults = {0.02, 0.03, 0.03, 0.3};
                        cluster.after(100, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"cancellations",
                      [](Cluster& cluster) {
                        cluster.faults.max_delay_s = 0.2;
                        for (int i = 0; i < 8; ++i)
                          cluster.after(14 + 2 * i, [&cluster, i] {
                            auto it = cluster.jobs.begin();
                            std::advance(it, std::min<std::size_t>(static_cast<std::size_t>(i),
                                                                   cluster.jobs.size() - 1));
                            if (it->second.accepted) cluster.cancel(it->first);
                          });
                      }}),
    kCaseName);

// Guards against a gang that starves: arrays that may use spot instances hold all on-demand machines and none
// of their tasks waits, so no spot instance was rented for them and the gang waited for one array after
// another.
TEST(Cluster, RentsSpotInstancesWhenAGangWaitsForOnDemandMachines) {
  Cluster cluster(5, 3, 1);
  cluster.cloud.capacity = 1;
  cluster.cloud.spot_capacity = 2;
  for (int i = 0; i < 2; ++i)
    cluster.after(8, [&cluster] { cluster.submit(4, false, 1, 60, "blue", "normal", true); });
  cluster.after(16, [&cluster] { cluster.submit(1, true, 4, 5, "red", "normal"); });
  cluster.run(16);
  const auto spot_instances = [&cluster] {
    return std::count_if(cluster.cloud.hosts.begin(), cluster.cloud.hosts.end(),
                         [](const auto& host) { return host.second.spot; });
  };
  EXPECT_EQ(spot_instances(), 0) << "no job waits yet";
  cluster.run(20);
  EXPECT_GT(spot_instances(), 0);
  EXPECT_LE(spot_instances(), 2) << "no more than the gang's tasks need";
  expect_no_violations(cluster);
}

// Guards against a long wait for a rented machine that never comes up: it counted as upcoming capacity for
// four times its usual boot time.
TEST(Cluster, RentsAnotherMachineWhenOneIsOverdue) {
  Cluster cluster(5, 3, 1);
  for (int i = 0; i < 2; ++i)
    cluster.after(8, [&cluster] { cluster.submit(1, true, 4, 200, "blue", "normal"); });
  cluster.after(14, [&cluster] {
    cluster.cloud.machines_never_ready = 1;
    cluster.submit(1, true, 4, 2, "red", "normal");
  });
  // The time of the submission, a round, twice the boot time until the machine is overdue, a round, the boot
  // of its replacement, and the job's run.
  constexpr double kRoundsAndBootsS = 14 + 2 + 2 * 5 + 2 + 5 + 4;
  cluster.run(kRoundsAndBootsS);
  EXPECT_EQ(cluster.cloud.hosts.size(), 4u) << "two initial machines, the overdue one and its replacement";
  EXPECT_EQ(finished_job_count(cluster), 1u);
  expect_no_violations(cluster);
}

// Tests the check of the rule `forgotten`: during a store outage no controller answers status requests.
TEST(Cluster, ReportsAJobWithoutResponsesAsForgotten) {
  Cluster cluster(3);
  submit_mixed_jobs(cluster, 3, 5);
  cluster.after(12, [&cluster] { cluster.store.outage = true; });
  cluster.run(12 + 85);
  ASSERT_FALSE(cluster.violations.empty());
  EXPECT_EQ(cluster.violations.front().substr(0, 10), "forgotten ");
}

// Random overlapping faults. No rule may be violated; the jobs need not finish.
class RandomFaults : public testing::TestWithParam<std::uint32_t> {};
TEST_P(RandomFaults, KeepsTheRules) {
  Cluster cluster(GetParam());
  std::mt19937 rng(GetParam() * 7919);
  const auto random_time_s = [&] { return 5.0 + rng() % 90; };
  submit_mixed_jobs(cluster, 16, 60);
  cluster.faults = {0.01, 0.02, 0.02, 0.1};
  for (int i = 0; i < 4; ++i)
    cluster.after(random_time_s(), [&cluster, n = rng() % 3, restart_after_s = rng() % 2 ? 0.3 : 4.0] {
      cluster.crash(n, restart_after_s);
    });
  for (int i = 0; i < 3; ++i) {
    const char* targets[] = {"state", "cloud", "zone a", "zone b"};
    const std::pair<std::size_t, std::string> link{rng() % 3, targets[rng() % 4]};
    const double start_s = random_time_s();
    cluster.after(start_s, [&cluster, link] { cluster.blocked_links.insert(link); });
    cluster.after(start_s + 5 + rng() % 25, [&cluster, link] { cluster.blocked_links.erase(link); });
  }
  const double outage_start_s = random_time_s();
  cluster.after(outage_start_s, [&cluster] { cluster.store.outage = true; });
  cluster.after(outage_start_s + 3 + rng() % 15,
                [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
  for (int i = 0; i < 4; ++i) {
    const double start_s = random_time_s();
    const auto pick = rng();
    cluster.after(start_s, [&cluster, pick] {
      if (cluster.agents.empty()) return;
      auto it = cluster.agents.begin();
      std::advance(it, pick % cluster.agents.size());
      cluster.suspend(it->second, 3 + pick % 20);
    });
    cluster.after(random_time_s(), [&cluster, pick] {
      if (cluster.jobs.empty()) return;
      auto it = cluster.jobs.begin();
      std::advance(it, pick % cluster.jobs.size());
      if (it->second.accepted) cluster.cancel(it->first);
    });
  }
  cluster.run(160);
  expect_no_violations(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range(100u, 116u));

}  // namespace
}  // namespace finchrun::sim
