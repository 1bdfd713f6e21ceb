// Standing jobs, and limits of the key-value store that fall in the middle of a day.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

// The share of replica time that was not served.
double missed(const Cluster& c) { return 1 - c.replica_s_served / c.replica_s_due; }

void services(Cluster& c, int jobs) {
  for (int i = 0; i < jobs; ++i)
    c.at(8 + i, [&c, i] { c.submit_standing(2 + i % 3, i % 2 ? "red" : "blue"); });
}

TEST(Standing, RunsUntilItIsCancelled) {
  Cluster c(3);
  std::string id;
  c.at(8, [&] { id = c.submit_standing(3, "red"); });
  c.run(60);
  std::string body;
  c.ask_once(0, "GET", "/submissions/" + id, "", [&](int, std::string b) { body = std::move(b); });
  c.run(2);
  EXPECT_NE(body.find(R"("status":"running","done":0,"running":3)"), std::string::npos) << body;
  EXPECT_LT(missed(c), 0.01);
  c.cancel(id);
  c.run(40);
  expect_rules(c);
  for (const auto& [_, w] : c.agents) EXPECT_TRUE(w.tasks.empty());
}

struct Request {
  const char* name;
  const char* field;
  json::value value;
  int status;
};
class StandingRequest : public testing::TestWithParam<Request> {};
TEST_P(StandingRequest, IsAnswered) {
  Cluster c(3);
  std::string id;
  c.at(8, [&] { id = c.submit_standing(3, "red"); });
  c.run(20);
  auto spec = c.jobs.at(id).spec;
  spec["nameId"] = "req-999999";
  spec[GetParam().field] = GetParam().value;
  int status = 0;
  c.ask_once(1, "POST", "/submissions", json::serialize(spec),
             [&](int s, const std::string&) { status = s; });
  c.run(2);
  EXPECT_EQ(status, GetParam().status);
}
INSTANTIATE_TEST_SUITE_P(Table, StandingRequest,
                         testing::Values(Request{"all_replicas_over_the_team_limit", "gpus", 4.0 + 0.01, 422},
                                         Request{"a_replica_that_fits_nowhere", "ramGb", 1e6, 422},
                                         Request{"together_and_scatter", "together", true, 422},
                                         Request{"scatter_with_one_zone", "hall", "a", 422},
                                         Request{"unknown_team", "crew", "green", 422},
                                         Request{"unknown_shape", "shape", "serving", 400},
                                         Request{"no_estimate", "expectS", nullptr, 400},
                                         Request{"known_already", "nameId", "req-000000", 200}),
                         [](const auto& info) { return std::string(info.param.name); });

// Half of the replicas, rounded up, may be in one zone: of three, one of the two that are lost runs again
// there.
TEST(Standing, AReplicaMovesToAZoneThatMayTakeIt) {
  Cluster c(5);
  std::string id;
  c.at(8, [&] { id = c.submit_standing(3, "red"); });
  const auto running = [&] {
    std::map<std::string, int> by_zone;
    for (const auto& [_, w] : c.agents)
      for (const auto& [key, t] : w.tasks)
        by_zone[w.zone] += !w.dead && key.first == id && t.state == "running";
    return by_zone;
  };
  c.run(30);
  const std::string lost = running()["a"] == 2 ? "a" : "b";
  ASSERT_EQ(running()[lost], 2);
  c.cloud.capacity = 0;
  for (auto& [name, w] : c.agents)
    if (w.zone == lost) w.dead = c.cloud.hosts[name].dead = true;
  c.run(150);
  expect_rules(c);
  EXPECT_EQ(running()[lost], 0);
  EXPECT_EQ(running()[lost == "a" ? "b" : "a"], 2);
}

struct FaultScenario {
  const char* name;
  std::function<void(Cluster&)> job_failures;
  double most_missed;
};
class ServiceFaults : public testing::TestWithParam<FaultScenario> {};
TEST_P(ServiceFaults, KeepsTheRulesAndServes) {
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster c(seed);
    load(c, 9, 30);
    services(c, 4);
    c.troubles_over = core::SteadyClock::now() + core::to_duration(120);
    GetParam().job_failures(c);
    c.run(200);
    expect_rules(c);
    EXPECT_EQ(finished(c), 9u) << "seed " << seed;
    EXPECT_LT(missed(c), GetParam().most_missed) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Table, ServiceFaults,
                         testing::Values(FaultScenario{"nothing_happens", [](Cluster&) {}, 0.01},
                                         FaultScenario{"rolling_restart",
                                                       [](Cluster& c) {
                                                         for (std::size_t n = 0; n < 3; ++n)
                                                           c.at(20 + 10 * static_cast<double>(n),
                                                                [&c, n] { c.crash(n, 3); });
                                                       },
                                                       0.02},
                                         FaultScenario{"all_controllers_crash",
                                                       [](Cluster& c) {
                                                         for (std::size_t n = 0; n < 3; ++n)
                                                           c.at(25, [&c, n] { c.crash(n, 3); });
                                                       },
                                                       0.02},
                                         FaultScenario{"store_outage",
                                                       [](Cluster& c) {
                                                         c.at(25, [&c] { c.state.outage = true; });
                                                         c.at(45,
                                                              [&c] { c.state.recover(core::SteadyClock::now()); });
                                                       },
                                                       0.02},
                                         FaultScenario{"a_machine_dies",
                                                       [](Cluster& c) {
                                                         c.at(30, [&c] {
                                                           for (auto& [name, w] : c.agents) {
                                                             if (w.tasks.empty()) continue;
                                                             w.dead = c.cloud.hosts[name].dead = true;
                                                             return;
                                                           }
                                                         });
                                                       },
                                                       0.12}),
                         [](const auto& info) { return std::string(info.param.name); });

struct Fall {
  const char* name;
  double at_s;
  std::function<void(Cluster&)> job_failures;
};
class LimitsFall : public testing::TestWithParam<Fall> {};
// Old controllers know the present limits only; new ones, restarted one by one, obey those announced, and the
// service begins to enforce them at some moment after the last has come back.
TEST_P(LimitsFall, InTheMiddleOfADay) {
  for (const std::uint32_t seed : {21u}) {
    Cluster c(seed, 3, 5);
    load(c, 24, 60);
    c.at(10, [&c] { c.submit(60, false, 0.1, 40, "red", "normal"); });
    c.troubles_over = core::SteadyClock::now() + core::to_duration(140);
    c.at(20, [&c] { c.announce({1000, 200, 1, 5}); });
    for (std::size_t n = 0; n < 3; ++n) c.at(21 + 5 * static_cast<double>(n), [&c, n] { c.crash(n, 1); });
    c.at(GetParam().at_s, [&c] {
      c.state.value_bytes = 1024;
      c.state.transaction_writes = 5;
    });
    GetParam().job_failures(c);
    services(c, 0);
    c.at(40, [&c] { services(c, 3); });
    c.run(200);
    expect_rules(c);
    EXPECT_EQ(finished(c), 25u) << "seed " << seed;
    EXPECT_EQ(c.state.refused_for_size, 0u) << "seed " << seed;
    EXPECT_LT(missed(c), 0.05) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Table, LimitsFall,
                         testing::Values(Fall{"right_after_the_roll", 33, [](Cluster&) {}},
                                         Fall{"later", 60, [](Cluster&) {}},
                                         Fall{"with_late_writes", 40,
                                              [](Cluster& c) {
                                                c.faults.late_write = 0.1;
                                                c.at(100, [&c] { c.faults.late_write = 0; });
                                              }},
                                         Fall{"with_a_crash_of_all", 36,
                                              [](Cluster& c) {
                                                for (std::size_t n = 0; n < 3; ++n)
                                                  c.at(37, [&c, n] { c.crash(n, 2); });
                                              }}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace finchrun::sim
