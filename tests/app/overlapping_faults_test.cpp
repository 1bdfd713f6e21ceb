// Pairs of faults that overlap, each pair in one scenario. The rules are checked after every step, and after
// the faults no job may starve and no user may stay without a response.
#include "app/fault_scenarios.hpp"
#include "core/case_names.hpp"

namespace finchrun::sim {
namespace {

// The two agent timings that deployments use, and one with short leases.
constexpr AgentTiming kShortLeases{1, 10, 30}, kMediumLeases{2.5, 15.25, 35.25}, kLongLeases{10, 45, 70};

std::size_t another_controller(std::size_t controller) { return (controller + 1) % 3; }

// Submits long arrays, which can be cancelled while they run.
void submit_long_arrays(Cluster& cluster, double run_s) {
  for (int i = 0; i < 6; ++i)
    cluster.after(5 + 0.5 * i, [&cluster, i, run_s] {
      cluster.submit(3, false, 1, run_s, i % 2 ? "red" : "blue", "normal");
    });
}

// Cancels unfinished jobs whose cancellation was not requested yet.
void cancel_running_jobs(Cluster& cluster, std::size_t max_count) {
  for (auto& [id, job] : cluster.jobs)
    if (max_count > 0 && job.accepted && !job.cancellation_requested && job.completed.size() < job.tasks)
      cluster.cancel(id), --max_count;
}

void suspend_agents_with_tasks(Cluster& cluster, std::size_t max_count, double duration_s) {
  for (auto& [_, agent] : cluster.agents)
    if (max_count > 0 && !agent.tasks.empty() && !agent.suspended)
      cluster.suspend(agent, duration_s), --max_count;
}

// Makes the key-value store reject only the leader's requests, while other controllers confirm cancellations,
// and then fail for all controllers.
void reject_leader_then_fail(Cluster& cluster, double rejected_at, double outage_at, double outage_s) {
  cluster.after(rejected_at, [&cluster] { cluster.refused_by_store.insert(cluster.busiest_leader()); });
  for (double time_s = rejected_at; time_s < outage_at; time_s += 0.25)
    cluster.after(time_s, [&cluster] { cancel_running_jobs(cluster, 1); });
  cluster.after(outage_at, [&cluster] { cluster.store.outage = true; });
  cluster.after(rejected_at + 14, [&cluster] { cluster.refused_by_store.clear(); });
  cluster.after(outage_at + outage_s, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
}

// Tests the check for starvation: a job waits while machines that no controller reaches have free capacity.
TEST(OverlappingFaults, ReportsAJobThatStarvesBesideFreeCapacity) {
  Cluster cluster(4);
  cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(10);
  cluster.after(8, [&cluster] {
    for (std::size_t n = 0; n < 3; ++n)
      for (const char* zone : {"zone a", "zone b"}) cluster.blocked_links.insert({n, zone});
  });
  cluster.after(9, [&cluster] { cluster.submit(2, false, 1, 5, "red", "normal"); });
  cluster.run(110);
  ASSERT_FALSE(cluster.violations.empty());
  EXPECT_EQ(cluster.violations.front(), "left waiting req-000000");
}

struct FaultScenario {
  const char* name;
  AgentTiming timing;
  double faults_over_s;  // time at which the faults are over
  std::function<void(Cluster&)> inject_faults;
};
class OverlappingFaults : public testing::TestWithParam<FaultScenario> {};
TEST_P(OverlappingFaults, KeepsTheRulesAndFinishes) {
  const auto& scenario = GetParam();
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster cluster(seed, 3, 3, scenario.timing);
    submit_mixed_jobs(cluster, 9, 25);
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(scenario.faults_over_s);
    scenario.inject_faults(cluster);
    cluster.run(scenario.faults_over_s + 150);
    expect_no_violations(cluster);
    for (const auto& [id, job] : cluster.jobs)
      EXPECT_TRUE(!job.accepted || job.reported_done || job.reported_cancelled_at) << id << " seed " << seed;
    // A start command in flight may still be executed, but no new one may be sent.
    EXPECT_LE(cluster.starts_after_cancellation, 1u) << "seed " << seed;
  }
}

FaultScenario reject_leader_then_fail_scenario(const char* name, AgentTiming timing, bool cut_off_peers) {
  const double outage_s = timing.cancel_s + 12;
  return {
      name, timing, 24 + outage_s, [=](Cluster& cluster) {
        submit_long_arrays(cluster, outage_s + 10);
        reject_leader_then_fail(cluster, 20, 22, outage_s);
        if (!cut_off_peers) return;
        cluster.after(20, [&cluster, controller = std::make_shared<std::size_t>()] {
          *controller = cluster.busiest_leader();
          cluster.blocked_links.insert({*controller, "peers"});
          cluster.after(14, [&cluster, controller] { cluster.blocked_links.erase({*controller, "peers"}); });
        });
      }};
}

// Tasks of jobs that are not cancelled survive a store outage while every controller reports its confirmed
// cancellations to the leader. A controller that cannot report may have confirmed another cancellation, so
// leases must expire then.
struct OutageCase {
  const char* name;
  std::function<void(Cluster&)> extra_fault;
  bool tasks_survive;
};
class LongStoreOutage : public testing::TestWithParam<OutageCase> {};
TEST_P(LongStoreOutage, KillsTasksOnlyIfAControllerCannotReportItsCancellations) {
  Cluster cluster(7, 3, 3, kMediumLeases);
  submit_long_arrays(cluster, 120);
  submit_long_arrays(cluster, 120);  // more jobs than are cancelled
  reject_leader_then_fail(cluster, 20, 22, 60);
  cluster.after(23, [&cluster, extra_fault = GetParam().extra_fault] { extra_fault(cluster); });
  cluster.run(90);
  expect_no_violations(cluster);
  if (GetParam().tasks_survive) {
    EXPECT_EQ(cluster.tasks_killed_by_lease, 0u);
  } else {
    EXPECT_GT(cluster.tasks_killed_by_lease, 0u);
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, LongStoreOutage,
    testing::Values(
        OutageCase{"all_controllers_up", [](Cluster&) {}, true},
        OutageCase{"one_controller_cut_off",
                   [](Cluster& cluster) {
                     cluster.blocked_links.insert({another_controller(cluster.busiest_leader()), "peers"});
                   },
                   false},
        OutageCase{"one_controller_restarts_in_the_outage",
                   [](Cluster& cluster) { cluster.crash(another_controller(cluster.busiest_leader()), 0.3); },
                   false}),
    kCaseName);

// Guards against expired agent leases when a leader gets no heartbeats but reaches everything else: its
// agents waited for each timeout, and every other controller redirected them to the leader again.
TEST(LeaderCutOffFromAgents, KillsNoTasksWhileAnotherControllerRelays) {
  for (const std::uint32_t seed : {21u, 22u, 23u}) {
    Cluster cluster(seed);
    for (int i = 0; i < 8; ++i)
      cluster.after(5, [&cluster] { cluster.submit(1, false, 1, 60, "blue", "normal"); });
    cluster.after(20, [&cluster] {
      const auto leader = cluster.busiest_leader();
      for (const char* zone : {"zone a", "zone b"}) cluster.blocked_links.insert({leader, zone});
    });
    cluster.after(50, [&cluster] { cluster.blocked_links.clear(); });
    cluster.run(120);
    expect_no_violations(cluster);
    EXPECT_EQ(cluster.tasks_killed_by_lease, 0u) << "seed " << seed;
    EXPECT_EQ(finished_job_count(cluster), 8u) << "seed " << seed;
  }
}

// The leader is cut off from agents while jobs arrive. Guards against a new fencing token for each start
// command without a response. Each of the two partitions may take one token, for the start commands that were
// in flight.
TEST(LeaderCutOffFromAgents, TakesAtMostOneFencingTokenPerPartitionWhileTasksStart) {
  for (const std::uint32_t seed : {24u, 25u}) {
    Cluster cluster(seed);
    for (int i = 0; i < 60; ++i)
      cluster.after(5 + i,
                    [&cluster, i] { cluster.submit(1, false, 1, 4, i % 2 ? "red" : "blue", "normal"); });
    std::size_t before = 0;
    cluster.after(20, [&] {
      const auto leader = cluster.busiest_leader();
      for (const char* zone : {"zone a", "zone b"}) cluster.blocked_links.insert({leader, zone});
      before = cluster.store.change_count("parts/");
    });
    cluster.after(80, [&] {
      EXPECT_LE(cluster.store.change_count("parts/") - before, 2u) << "seed " << seed;
      cluster.blocked_links.clear();
    });
    cluster.run(140);
    expect_no_violations(cluster);
    EXPECT_EQ(finished_job_count(cluster), 60u) << "seed " << seed;
  }
}

// Invalid submissions and the status with which every controller rejects them.
struct Rejection {
  const char* name;
  const char *field, *value;  // replaced in a valid submission; a null value removes the field
  int status;
};
class InvalidSubmission : public testing::TestWithParam<Rejection> {};
TEST_P(InvalidSubmission, IsRejectedByEveryController) {
  Cluster cluster(5);
  auto body = json::parse(
                  R"({"nameId":"req-900001","lane":"work","crew":"red","shape":"ensemble","urgency":"normal",
      "pieces":2,"vcpus":1.0,"gpus":1.0,"ramGb":1.0,"plate":"img","imageGb":1.0,"together":false,
      "scatter":true,"loaners":false,"expectS":5.0,"snapshotS":5.0,"flushS":1.0})")
                  .as_object();
  const auto& rejection = GetParam();
  body.erase(rejection.field);
  if (rejection.value) body[rejection.field] = json::parse(rejection.value);
  int answered = 0;
  cluster.after(8, [&] {
    for (std::size_t n = 0; n < 3; ++n)
      cluster.request_once(n, "POST", "/submissions", json::serialize(body),
                           [&](int status, const std::string&) {
                             EXPECT_EQ(status, rejection.status);
                             ++answered;
                           });
  });
  cluster.run(12);
  EXPECT_EQ(answered, 3);
}
INSTANTIATE_TEST_SUITE_P(Table, InvalidSubmission,
                         testing::Values(Rejection{"unknown_team", "crew", R"("green")", 422},
                                         Rejection{"task_too_large", "gpus", "5.0", 422},
                                         Rejection{"more_memory_than_any", "ramGb", "300.0", 422},
                                         Rejection{"gang_beyond_the_limit", "pieces", "13", 422},
                                         Rejection{"no_such_type", "racks", R"(["h9"])", 422},
                                         Rejection{"no_type_allowed", "racks", "[]", 422},
                                         Rejection{"no_such_zone", "hall", R"("c")", 422},
                                         Rejection{"scatter_in_one_zone", "hall", R"("a")", 422},
                                         Rejection{"scatter_and_together", "together", "true", 422},
                                         Rejection{"a_field_is_missing", "plate", nullptr, 400},
                                         Rejection{"a_field_of_the_wrong_kind", "pieces", R"("2")", 400}),
                         kCaseName);

// A finished job keeps its state after repeated requests of any kind; an unknown job is not found.
TEST(OverlappingFaults, RepeatedSubmissionsAndCancellationsOfFinishedJobsReturnTheirStatus) {
  Cluster cluster(6);
  cluster.after(5, [&cluster] { cluster.submit(1, false, 1, 3, "red", "normal"); });
  cluster.after(5, [&cluster] { cluster.submit(1, false, 1, 60, "red", "normal"); });
  cluster.after(15, [&cluster] { cluster.cancel("req-000001"); });
  cluster.run(20);
  ASSERT_TRUE(cluster.jobs.at("req-000000").reported_done);
  ASSERT_TRUE(cluster.jobs.at("req-000001").reported_cancelled_at);
  int answered = 0;
  const auto expect = [&](const char* method, const std::string& target, const std::string& body, int status,
                          const char* state) {
    for (std::size_t n = 0; n < 3; ++n)
      cluster.request_once(n, method, target, body,
                           [&, target, status, state](int actual_status, const std::string& text) {
                             EXPECT_EQ(actual_status, status) << target;
                             if (state) {
                               EXPECT_EQ(json::parse(text).at("status").as_string(), state) << target;
                             }
                             ++answered;
                           });
  };
  for (const auto& [id, state] : {std::pair{"req-000000", "done"}, std::pair{"req-000001", "cancelled"}}) {
    const std::string path = std::string("/submissions/") + id;
    expect("POST", "/submissions", json::serialize(cluster.jobs.at(id).spec), 200, state);
    expect("POST", path + "/abort", "", 200, state);
    expect("GET", path, "", 200, state);
  }
  expect("POST", "/submissions/req-777777/abort", "", 404, nullptr);
  expect("GET", "/submissions/req-777777", "", 404, nullptr);
  cluster.run(5);
  EXPECT_EQ(answered, 24);
  expect_no_violations(cluster);
}

INSTANTIATE_TEST_SUITE_P(
    Table, OverlappingFaults,
    testing::Values(
        FaultScenario{"cancellations_queries_and_repeated_submissions_at_the_end_of_the_last_task",
                      kShortLeases, 60,
                      [](Cluster& cluster) {
                        cluster.on_task_completed = [&cluster](const std::string& id) {
                          if (cluster.jobs.at(id).completed.size() < cluster.jobs.at(id).tasks) return;
                          if (cluster.random() % 2 && !cluster.jobs.at(id).cancellation_requested)
                            cluster.cancel(id);
                          for (std::size_t n = 0; n < 3; ++n) {
                            const auto& job = cluster.jobs.at(id);
                            cluster.request_once(n, "POST", "/submissions", json::serialize(job.spec),
                                                 [&cluster, id](int status, const std::string&) {
                                                   if (status != 200 && status < 500)
                                                     cluster.violations.push_back("repeated submission of " +
                                                                                  id + " returned " +
                                                                                  std::to_string(status));
                                                 });
                          }
                        };
                      }},
        FaultScenario{"team_at_its_limit_with_leader_crash_suspended_agents_and_cancellations", kShortLeases,
                      90,
                      [](Cluster& cluster) {
                        for (int i = 0; i < 8; ++i)
                          cluster.after(5, [&cluster] { cluster.submit(4, false, 1, 40, "red", "normal"); });
                        cluster.after(14, [&cluster] {
                          suspend_agents_with_tasks(cluster, 2, 25);
                          cluster.crash(cluster.busiest_leader(), 20);
                        });
                        cluster.after(15, [&cluster] { cancel_running_jobs(cluster, 3); });
                      }},
        FaultScenario{"leader_crashes_while_machines_with_long_tasks_are_unreachable", kShortLeases, 110,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 60);
                        cluster.after(15, [&cluster] {
                          int n = 0;
                          for (auto& [_, agent] : cluster.agents)
                            if (!agent.tasks.empty() && n++ < 3) {
                              agent.inbound_blocked = true;
                              cluster.after(18, [&agent] { agent.inbound_blocked = false; });
                            }
                          cluster.crash(cluster.busiest_leader(), 15);
                        });
                      }},
        FaultScenario{"heartbeats_delayed_until_after_a_failover", kShortLeases, 100,
                      [](Cluster& cluster) {
                        cluster.faults.max_duplicate_delay_s = 25;
                        cluster.after(13, [&cluster] { cluster.faults.duplicate_heartbeat_probability = 1; });
                        cluster.after(15, [&cluster] { cluster.crash(cluster.busiest_leader(), 10); });
                        cluster.after(16, [&cluster] { cluster.faults.duplicate_heartbeat_probability = 0; });
                      }},
        FaultScenario{"late_heartbeats_of_earlier_incarnations_and_attempts", kShortLeases, 120,
                      [](Cluster& cluster) {
                        cluster.faults.duplicate_heartbeat_probability = 0.5;
                        for (int i = 0; i < 3; ++i)
                          cluster.after(13 + 16 * i,
                                        [&cluster] { suspend_agents_with_tasks(cluster, 3, 12); });
                        cluster.after(70, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"more_jobs_than_capacity_over_slow_links", kShortLeases, 100,
                      [](Cluster& cluster) {
                        cluster.faults.max_delay_s = 0.4;
                        submit_mixed_jobs(cluster, 20, 20);
                        cluster.after(100, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"all_controllers_crash_after_a_leadership_transfer_and_one_restarts_within_a_second",
                      kShortLeases, 90,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 30);
                        cluster.after(14, [&cluster] { cluster.crash(0, 5); });
                        cluster.after(28, [&cluster] {
                          for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, n == 1 ? 0.4 : 12);
                        });
                      }},
        FaultScenario{"tasks_of_a_job_end_far_apart_across_a_failover", kShortLeases, 100,
                      [](Cluster& cluster) {
                        for (int i = 0; i < 6; ++i)
                          cluster.after(6, [&cluster, i] {
                            cluster.submit(2 + i % 2, false, 1, 5, "blue", "normal", false, {}, 18);
                          });
                        cluster.after(20, [&cluster] { cluster.crash(cluster.busiest_leader(), 4); });
                        cluster.after(40, [&cluster] { cluster.crash(cluster.busiest_leader(), 0.3); });
                      }},
        FaultScenario{"leader_cut_off_from_store_and_peers_while_its_successor_cancels_jobs", kShortLeases,
                      100,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 70);
                        cluster.after(16, [&cluster] {
                          const auto controller = cluster.busiest_leader();
                          cluster.blocked_links.insert({controller, "state"});
                          cluster.blocked_links.insert({controller, "peers"});
                          cluster.after(1, [&cluster] { cancel_running_jobs(cluster, 2); });
                          cluster.after(8, [&cluster] { cancel_running_jobs(cluster, 2); });
                          cluster.after(40, [&cluster] { cluster.blocked_links.clear(); });
                        });
                      }},
        FaultScenario{"zone_with_agents_and_a_controller_cut_off_past_the_lease", kMediumLeases, 110,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 60);
                        cluster.after(15, [&cluster] {
                          for (const char* target : {"state", "cloud", "peers", "zone a"})
                            cluster.blocked_links.insert({1, target});
                          for (const std::size_t n : {0, 2}) cluster.blocked_links.insert({n, "zone b"});
                        });
                        cluster.after(18, [&cluster] { cancel_running_jobs(cluster, 3); });
                        cluster.after(45, [&cluster] { cluster.blocked_links.clear(); });
                      }},
        FaultScenario{"ten_failovers_one_of_them_in_an_outage", kShortLeases, 140,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 50);
                        for (int i = 0; i < 10; ++i)
                          cluster.after(12 + 11 * i, [&cluster, i] {
                            cluster.crash(cluster.busiest_leader(), i % 3 == 0 ? 0.3 : 5);
                          });
                        cluster.after(55, [&cluster] { cluster.store.outage = true; });
                        cluster.after(63, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
                        cluster.after(40, [&cluster] { cancel_running_jobs(cluster, 2); });
                      }},
        FaultScenario{"store_slow_while_users_cancel_and_query", kShortLeases, 100,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 40);
                        cluster.after(12, [&cluster] { cluster.faults.store_delay_s = 0.5; });
                        for (int i = 0; i < 6; ++i)
                          cluster.after(14 + i, [&cluster] { cancel_running_jobs(cluster, 1); });
                        cluster.after(60, [&cluster] { cluster.faults.store_delay_s = 0; });
                      }},
        FaultScenario{"agents_reach_no_controller_while_commands_reach_them", kShortLeases, 100,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 60);
                        cluster.after(15, [&cluster] {
                          int n = 0;
                          for (auto& [_, agent] : cluster.agents)
                            if (n++ % 2 == 0) {
                              agent.outbound_blocked = true;
                              cluster.after(30, [&cluster, name = agent.name] {
                                if (const auto found = cluster.agents.find(name);
                                    found != cluster.agents.end())
                                  found->second.outbound_blocked = false;
                              });
                            }
                        });
                        cluster.after(16, [&cluster] { cancel_running_jobs(cluster, 3); });
                      }},
        reject_leader_then_fail_scenario("store_rejects_leader_then_fails_short_leases", kShortLeases, false),
        reject_leader_then_fail_scenario("store_rejects_leader_then_fails_medium_leases", kMediumLeases,
                                         false),
        reject_leader_then_fail_scenario("store_rejects_leader_then_fails_long_leases", kLongLeases, false),
        reject_leader_then_fail_scenario("store_rejects_leader_cut_off_from_peers_then_fails_short_leases",
                                         kShortLeases, true),
        reject_leader_then_fail_scenario("store_rejects_leader_cut_off_from_peers_then_fails_medium_leases",
                                         kMediumLeases, true),
        reject_leader_then_fail_scenario("store_rejects_leader_cut_off_from_peers_then_fails_long_leases",
                                         kLongLeases, true),
        FaultScenario{
            "cancellations_as_the_store_rejects_the_leader_one_second_before_an_outage", kMediumLeases, 85,
            [](Cluster& cluster) {
              submit_long_arrays(cluster, 60);
              cluster.after(20, [&cluster] {
                cluster.refused_by_store.insert(cluster.busiest_leader());
                cancel_running_jobs(cluster, 4);
              });
              cluster.after(21, [&cluster] { cluster.store.outage = true; });
              cluster.after(21 + 47, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
              cluster.after(34, [&cluster] { cluster.refused_by_store.clear(); });
            }},
        FaultScenario{"cancellations_while_all_agents_of_a_partition_are_suspended_past_cancel_s",
                      kMediumLeases, 100,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 70);
                        cluster.after(18, [&cluster] {
                          for (auto& [_, agent] : cluster.agents)
                            if (agent.zone == "a") cluster.suspend(agent, 60);
                          cancel_running_jobs(cluster, 5);
                        });
                      }},
        FaultScenario{"jobs_of_one_zone_lose_all_machines", kShortLeases, 80,
                      [](Cluster& cluster) {
                        for (int i = 0; i < 4; ++i)
                          cluster.after(6, [&cluster, i] {
                            cluster.submit(2 + i, i % 2 == 0, 1, 20, "blue", "normal", false, "a");
                          });
                        cluster.after(14, [&cluster] {
                          for (auto& [name, agent] : cluster.agents)
                            if (agent.zone == "a") agent.dead = true, cluster.cloud.hosts[name].dead = true;
                        });
                      }},
        FaultScenario{"all_controllers_down_past_the_agent_lease", kShortLeases, 70,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 40);
                        cluster.after(20, [&cluster] {
                          for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, 14 + static_cast<double>(n));
                        });
                      }},
        FaultScenario{"late_writes_executed_after_newer_ones", kShortLeases, 110,
                      [](Cluster& cluster) {
                        submit_long_arrays(cluster, 30);
                        cluster.after(8, [&cluster] { cluster.faults.late_write_probability = 0.1; });
                        cluster.after(30, [&cluster] { cluster.crash(cluster.busiest_leader(), 0.5); });
                        for (int i = 0; i < 5; ++i)
                          cluster.after(15 + 4 * i, [&cluster] { cancel_running_jobs(cluster, 1); });
                        cluster.after(80, [&cluster] { cluster.faults = {}; });
                      }},
        FaultScenario{"commands_delayed_on_agents_that_resume", kMediumLeases, 100,
                      [](Cluster& cluster) {
                        for (int i = 0; i < 12; ++i)
                          cluster.after(8 + 2 * i, [&cluster, i] {
                            cluster.submit(3, false, 1, 40, i % 2 ? "red" : "blue", "normal");
                          });
                        for (int i = 0; i < 5; ++i)
                          cluster.after(11 + 5 * i, [&cluster] {
                            suspend_agents_with_tasks(cluster, 2, 9);
                            cluster.after(2.5, [&cluster] { cancel_running_jobs(cluster, 2); });
                          });
                      }}),
    kCaseName);

// Random overlapping faults with cancellations. No rule may be violated.
class RandomOverlappingFaults : public testing::TestWithParam<std::uint32_t> {};
TEST_P(RandomOverlappingFaults, KeepsTheRules) {
  const AgentTiming timings[] = {kShortLeases, kMediumLeases, kLongLeases};
  Cluster cluster(GetParam(), 3, 3, timings[GetParam() % 3]);
  std::mt19937 rng(GetParam() * 104729);
  const auto random_time_s = [&] { return 8.0 + rng() % 80; };
  const auto random_duration_s = [&] { return 2.0 + rng() % 30; };
  submit_mixed_jobs(cluster, 12, 40);
  submit_long_arrays(cluster, 60);
  const auto agent_at = [&cluster](std::uint32_t pick) -> Agent* {
    if (cluster.agents.empty()) return nullptr;
    auto it = cluster.agents.begin();
    std::advance(it, pick % cluster.agents.size());
    return &it->second;
  };
  const std::vector<std::function<void(double, std::uint32_t)>> faults{
      [&](double duration_s, std::uint32_t) {
        cluster.faults.late_write_probability = 0.15;
        cluster.after(duration_s, [&cluster] { cluster.faults.late_write_probability = 0; });
      },
      [&](double duration_s, std::uint32_t) {
        cluster.faults.duplicate_heartbeat_probability = 0.3;
        cluster.after(duration_s, [&cluster] { cluster.faults.duplicate_heartbeat_probability = 0; });
      },
      [&](double duration_s, std::uint32_t) {
        const auto controller = cluster.busiest_leader();
        cluster.refused_by_store.insert(controller);
        cluster.after(duration_s, [&cluster, controller] { cluster.refused_by_store.erase(controller); });
      },
      [&](double duration_s, std::uint32_t) {
        cluster.store.outage = true;
        cluster.after(duration_s, [&cluster] { cluster.store.recover(core::SteadyClock::now()); });
      },
      [&](double duration_s, std::uint32_t) {
        const auto controller = cluster.busiest_leader();
        for (const char* target : {"state", "peers"}) {
          cluster.blocked_links.insert({controller, target});
          cluster.after(duration_s, [&cluster, controller, target] {
            cluster.blocked_links.erase({controller, target});
          });
        }
      },
      [&](double duration_s, std::uint32_t) {
        cluster.crash(cluster.busiest_leader(), duration_s < 10 ? 0.2 : 5);
      },
      [&](double duration_s, std::uint32_t pick) {
        for (std::uint32_t i = 0; i < 2; ++i)
          if (auto* agent = agent_at(pick + i); agent && !agent->suspended)
            cluster.suspend(*agent, duration_s);
      },
      [&](double duration_s, std::uint32_t pick) {
        for (std::uint32_t i = 0; i < 2; ++i) {
          auto* agent = agent_at(pick + i);
          if (!agent) continue;
          (pick % 2 ? agent->inbound_blocked : agent->outbound_blocked) = true;
          cluster.after(duration_s, [&cluster, name = agent->name] {
            if (const auto found = cluster.agents.find(name); found != cluster.agents.end())
              found->second.inbound_blocked = found->second.outbound_blocked = false;
          });
        }
      },
      [&](double duration_s, std::uint32_t) {
        cluster.faults.store_delay_s = 0.4;
        cluster.after(duration_s, [&cluster] { cluster.faults.store_delay_s = 0; });
      }};
  for (int i = 0; i < 7; ++i) {
    const auto pick = rng();
    const double start_s = random_time_s(), duration_s = random_duration_s();
    cluster.after(start_s,
                  [&faults, pick, duration_s] { faults[pick % faults.size()](duration_s, pick / 16); });
    cluster.after(start_s + 0.2 * (pick % 10), [&cluster] { cancel_running_jobs(cluster, 2); });
  }
  cluster.run(170);
  expect_no_violations(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomOverlappingFaults, testing::Range(300u, 312u));

}  // namespace
}  // namespace finchrun::sim
