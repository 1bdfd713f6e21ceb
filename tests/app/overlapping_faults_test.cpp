// Two troubles that meet: the list of the operators' letter, each brought about once. Every rule is checked
// after each step, and once the troubles are over nobody may be left waiting or without an answer.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

// The two kinds of settings there are, and that of short leases.
constexpr Timing kShort{1, 10, 30}, kMiddle{2.5, 15.25, 35.25}, kLong{10, 45, 70};

std::size_t other(std::size_t node) { return (node + 1) % 3; }

// Arrays with long to go, so that there is something to call off.
void long_arrays(Cluster& c, double run_s) {
  for (int i = 0; i < 6; ++i)
    c.at(5 + 0.5 * i, [&c, i, run_s] { c.submit(3, false, 1, run_s, i % 2 ? "red" : "blue", "normal"); });
}

// Every job that runs and is not called off yet.
void cancel_running(Cluster& c, std::size_t most) {
  for (auto& [id, job] : c.jobs)
    if (most > 0 && job.accepted && !job.asked_cancel && job.done.size() < job.tasks) c.cancel(id), --most;
}

void hang_those_with_tasks(Cluster& c, std::size_t most, double for_s) {
  for (auto& [_, w] : c.agents)
    if (most > 0 && !w.tasks.empty() && !w.hanging) c.hang(w, for_s), --most;
}

// The key-value store refuses the leader alone, others confirm cancellations, then it is out for all.
void gap(Cluster& c, double refused_at, double out_at, double out_for) {
  c.at(refused_at, [&c] { c.refused.insert(c.busiest()); });
  for (double t = refused_at; t < out_at; t += 0.25) c.at(t, [&c] { cancel_running(c, 1); });
  c.at(out_at, [&c] { c.state.outage = true; });
  c.at(refused_at + 14, [&c] { c.refused.clear(); });
  c.at(out_at + out_for, [&c] { c.state.recover(core::SteadyClock::now()); });
}

// The check itself: machines that nobody reaches have room, and what was accepted waits beside it.
TEST(OverlappingFaults, AJobThatWaitsBesideRoomIsSeen) {
  Cluster c(4);
  c.troubles_over = core::SteadyClock::now() + core::to_duration(10);
  c.at(8, [&c] {
    for (std::size_t n = 0; n < 3; ++n)
      for (const char* zone : {"zone a", "zone b"}) c.cut.insert({n, zone});
  });
  c.at(9, [&c] { c.submit(2, false, 1, 5, "red", "normal"); });
  c.run(110);
  ASSERT_FALSE(c.broken.empty());
  EXPECT_EQ(c.broken.front(), "left waiting req-000000");
}

struct FaultScenario {
  const char* name;
  Timing timing;
  double over_s;  // when the troubles are over
  std::function<void(Cluster&)> job_failures;
};
class OverlappingFaults : public testing::TestWithParam<FaultScenario> {};
TEST_P(OverlappingFaults, KeepsTheRulesAndFinishes) {
  const auto& m = GetParam();
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster c(seed, 3, 3, m.timing);
    load(c, 9, 25);
    c.troubles_over = core::SteadyClock::now() + core::to_duration(m.over_s);
    m.job_failures(c);
    c.run(m.over_s + 150);
    expect_rules(c);
    for (const auto& [id, job] : c.jobs)
      EXPECT_TRUE(!job.accepted || job.told_done || job.told_cancelled) << id << " seed " << seed;
    // A start that was under way may still happen; none is decided any more.
    EXPECT_LE(c.started_cancelled, 1u) << "seed " << seed;
  }
}

FaultScenario gap_of(const char* name, Timing t, bool peers_too) {
  const double out_for = t.cancel_s + 12;
  return {name, t, 24 + out_for, [=](Cluster& c) {
            long_arrays(c, out_for + 10);
            gap(c, 20, 22, out_for);
            if (!peers_too) return;
            c.at(20, [&c, node = std::make_shared<std::size_t>()] {
              *node = c.busiest();
              c.cut.insert({*node, "peers"});
              c.at(14, [&c, node] { c.cut.erase({*node, "peers"}); });
            });
          }};
}

// What is not called off lives through the outage: every other controller goes on telling what it has
// confirmed. One that is cut off might know of a cancellation, so without it leases run out, as they must.
struct Outage {
  const char* name;
  std::function<void(Cluster&)> also;
  bool tasks_live;
};
class LongOutage : public testing::TestWithParam<Outage> {};
TEST_P(LongOutage, CostsNoTasksWhileAllControllersTellTheirCancellations) {
  Cluster c(7, 3, 3, kMiddle);
  long_arrays(c, 120);
  long_arrays(c, 120);  // more than are called off
  gap(c, 20, 22, 60);
  c.at(23, [&c, also = GetParam().also] { also(c); });
  c.run(90);
  expect_rules(c);
  if (GetParam().tasks_live) {
    EXPECT_EQ(c.killed_by_lease, 0u);
  } else {
    EXPECT_GT(c.killed_by_lease, 0u);
  }
}
INSTANTIATE_TEST_SUITE_P(Table, LongOutage,
                         testing::Values(Outage{"all_there", [](Cluster&) {}, true},
                                         Outage{"one_cut_off",
                                                [](Cluster& c) {
                                                  c.cut.insert({other(c.busiest()), "peers"});
                                                },
                                                false},
                                         Outage{"one_restarts_and_cannot_confirm",
                                                [](Cluster& c) { c.crash(other(c.busiest()), 0.3); }, false}),
                         [](const auto& info) { return std::string(info.param.name); });

// A controller hears none of its machines for longer than a lease, while everything else reaches it. Their
// agents wait for each time-out, and were sent to the leader once more by whoever they came to: their leases
// ran out.
TEST(CutFromAgents, CostsNoTasksWhileAnotherControllerRelays) {
  for (const std::uint32_t seed : {21u, 22u, 23u}) {
    Cluster c(seed);
    for (int i = 0; i < 8; ++i) c.at(5, [&c] { c.submit(1, false, 1, 60, "blue", "normal"); });
    c.at(20, [&c] {
      const auto leader = c.busiest();
      for (const char* zone : {"zone a", "zone b"}) c.cut.insert({leader, zone});
    });
    c.at(50, [&c] { c.cut.clear(); });
    c.run(120);
    expect_rules(c);
    EXPECT_EQ(c.killed_by_lease, 0u) << "seed " << seed;
    EXPECT_EQ(finished(c), 8u) << "seed " << seed;
  }
}

// The same while new jobs come: starts without an answer cost their partition a new fencing token, again and
// again. One for each of the two partitions is left, for those that were on their way.
TEST(CutFromAgents, TakesFewFencingTokensWhileTasksStartByHeartbeats) {
  for (const std::uint32_t seed : {24u, 25u}) {
    Cluster c(seed);
    for (int i = 0; i < 60; ++i)
      c.at(5 + i, [&c, i] { c.submit(1, false, 1, 4, i % 2 ? "red" : "blue", "normal"); });
    std::size_t before = 0;
    c.at(20, [&] {
      const auto leader = c.busiest();
      for (const char* zone : {"zone a", "zone b"}) c.cut.insert({leader, zone});
      before = c.state.changes_of("parts/");
    });
    c.at(80, [&] {
      EXPECT_LE(c.state.changes_of("parts/") - before, 2u) << "seed " << seed;
      c.cut.clear();
    });
    c.run(140);
    expect_rules(c);
    EXPECT_EQ(finished(c), 60u) << "seed " << seed;
  }
}

// What users send that is odd, and what they are answered; by every controller the same.
struct Odd {
  const char* name;
  const char *field, *value;  // of a good submission, replaced; no value: left out
  int status;
};
class OddRequest : public testing::TestWithParam<Odd> {};
TEST_P(OddRequest, IsAnsweredByItsCause) {
  Cluster c(5);
  auto body = json::parse(
                  R"({"nameId":"req-900001","lane":"work","crew":"red","shape":"ensemble","urgency":"normal",
      "pieces":2,"vcpus":1.0,"gpus":1.0,"ramGb":1.0,"plate":"img","imageGb":1.0,"together":false,
      "scatter":true,"loaners":false,"expectS":5.0,"snapshotS":5.0,"flushS":1.0})")
                  .as_object();
  const auto& odd = GetParam();
  body.erase(odd.field);
  if (odd.value) body[odd.field] = json::parse(odd.value);
  int answered = 0;
  c.at(8, [&] {
    for (std::size_t n = 0; n < 3; ++n)
      c.ask_once(n, "POST", "/submissions", json::serialize(body), [&](int status, const std::string&) {
        EXPECT_EQ(status, odd.status);
        ++answered;
      });
  });
  c.run(12);
  EXPECT_EQ(answered, 3);
}
INSTANTIATE_TEST_SUITE_P(Table, OddRequest,
                         testing::Values(Odd{"unknown_team", "crew", R"("green")", 422},
                                         Odd{"task_too_large", "gpus", "5.0", 422},
                                         Odd{"more_memory_than_any", "ramGb", "300.0", 422},
                                         Odd{"gang_beyond_the_limit", "pieces", "13", 422},
                                         Odd{"no_such_type", "racks", R"(["h9"])", 422},
                                         Odd{"no_type_allowed", "racks", "[]", 422},
                                         Odd{"no_such_zone", "hall", R"("c")", 422},
                                         Odd{"scatter_in_one_zone", "hall", R"("a")", 422},
                                         Odd{"scatter_and_together", "together", "true", 422},
                                         Odd{"a_field_is_missing", "plate", nullptr, 400},
                                         Odd{"a_field_of_the_wrong_kind", "pieces", R"("2")", 400}),
                         [](const auto& info) { return std::string(info.param.name); });

// Asked again when it is over, in whatever way, a job keeps its state; one that nobody knows is unknown.
TEST(OverlappingFaults, RepeatedSubmissionsAndCancellationsOfFinishedJobsAnswerTheirStatus) {
  Cluster c(6);
  c.at(5, [&c] { c.submit(1, false, 1, 3, "red", "normal"); });
  c.at(5, [&c] { c.submit(1, false, 1, 60, "red", "normal"); });
  c.at(15, [&c] { c.cancel("req-000001"); });
  c.run(20);
  ASSERT_TRUE(c.jobs.at("req-000000").told_done);
  ASSERT_TRUE(c.jobs.at("req-000001").told_cancelled);
  int answered = 0;
  const auto expect = [&](const char* method, const std::string& target, const std::string& body, int status,
                          const char* state) {
    for (std::size_t n = 0; n < 3; ++n)
      c.ask_once(n, method, target, body, [&, target, status, state](int got, const std::string& text) {
        EXPECT_EQ(got, status) << target;
        if (state) {
          EXPECT_EQ(json::parse(text).at("status").as_string(), state) << target;
        }
        ++answered;
      });
  };
  for (const auto& [id, state] : {std::pair{"req-000000", "done"}, std::pair{"req-000001", "cancelled"}}) {
    const std::string path = std::string("/submissions/") + id;
    expect("POST", "/submissions", json::serialize(c.jobs.at(id).spec), 200, state);
    expect("POST", path + "/abort", "", 200, state);
    expect("GET", path, "", 200, state);
  }
  expect("POST", "/submissions/req-777777/abort", "", 404, nullptr);
  expect("GET", "/submissions/req-777777", "", 404, nullptr);
  c.run(5);
  EXPECT_EQ(answered, 24);
  expect_rules(c);
}

INSTANTIATE_TEST_SUITE_P(
    Table, OverlappingFaults,
    testing::Values(
        FaultScenario{
            "cancellations_queries_and_repeated_submissions_at_the_end_of_the_last_task", kShort, 60,
            [](Cluster& c) {
              c.on_end = [&c](const std::string& id) {
                if (c.jobs.at(id).done.size() < c.jobs.at(id).tasks) return;
                if (c.random() % 2 && !c.jobs.at(id).asked_cancel) c.cancel(id);
                for (std::size_t n = 0; n < 3; ++n) {
                  const auto& job = c.jobs.at(id);
                  c.ask_once(n, "POST", "/submissions", json::serialize(job.spec),
                             [&c, id](int status, const std::string&) {
                               if (status != 200 && status < 500)
                                 c.broken.push_back("repeat of " + id + " got " + std::to_string(status));
                             });
                }
              };
            }},
        FaultScenario{"team_at_its_limit_leader_changes_silent_machines_and_a_cancellation", kShort, 90,
                      [](Cluster& c) {
                        for (int i = 0; i < 8; ++i)
                          c.at(5, [&c] { c.submit(4, false, 1, 40, "red", "normal"); });
                        c.at(14, [&c] {
                          hang_those_with_tasks(c, 2, 25);
                          c.crash(c.busiest(), 20);
                        });
                        c.at(15, [&c] { cancel_running(c, 3); });
                      }},
        FaultScenario{"leader_ends_while_machines_with_long_tasks_are_unreachable", kShort, 110,
                      [](Cluster& c) {
                        long_arrays(c, 60);
                        c.at(15, [&c] {
                          int n = 0;
                          for (auto& [_, w] : c.agents)
                            if (!w.tasks.empty() && n++ < 3) {
                              w.unreachable = true;
                              c.at(18, [&w] { w.unreachable = false; });
                            }
                          c.crash(c.busiest(), 15);
                        });
                      }},
        FaultScenario{"heartbeat_held_back_until_a_new_leader_has_acted", kShort, 100,
                      [](Cluster& c) {
                        c.faults.copy_after_s = 25;
                        c.at(13, [&c] { c.faults.copy_report = 1; });
                        c.at(15, [&c] { c.crash(c.busiest(), 10); });
                        c.at(16, [&c] { c.faults.copy_report = 0; });
                      }},
        FaultScenario{"old_heartbeats_of_earlier_incarnations_and_attempts", kShort, 120,
                      [](Cluster& c) {
                        c.faults.copy_report = 0.5;
                        for (int i = 0; i < 3; ++i)
                          c.at(13 + 16 * i, [&c] { hang_those_with_tasks(c, 3, 12); });
                        c.at(70, [&c] { c.faults = {}; });
                      }},
        FaultScenario{"more_work_than_room_over_slow_links", kShort, 100,
                      [](Cluster& c) {
                        c.faults.max_delay_s = 0.4;
                        load(c, 20, 20);
                        c.at(100, [&c] { c.faults = {}; });
                      }},
        FaultScenario{"leadership_transferred_back_all_end_one_returns_within_a_second", kShort, 90,
                      [](Cluster& c) {
                        long_arrays(c, 30);
                        c.at(14, [&c] { c.crash(0, 5); });
                        c.at(28, [&c] {
                          for (std::size_t n = 0; n < 3; ++n) c.crash(n, n == 1 ? 0.4 : 12);
                        });
                      }},
        FaultScenario{"tasks_of_a_job_end_far_apart_across_a_change_of_leader", kShort, 100,
                      [](Cluster& c) {
                        for (int i = 0; i < 6; ++i)
                          c.at(6, [&c, i] {
                            c.submit(2 + i % 2, false, 1, 5, "blue", "normal", false, {}, 18);
                          });
                        c.at(20, [&c] { c.crash(c.busiest(), 4); });
                        c.at(40, [&c] { c.crash(c.busiest(), 0.3); });
                      }},
        FaultScenario{"leader_cut_from_state_and_members_while_jobs_are_cancelled_through_the_next", kShort,
                      100,
                      [](Cluster& c) {
                        long_arrays(c, 70);
                        c.at(16, [&c] {
                          const auto node = c.busiest();
                          c.cut.insert({node, "state"});
                          c.cut.insert({node, "peers"});
                          c.at(1, [&c] { cancel_running(c, 2); });
                          c.at(8, [&c] { cancel_running(c, 2); });
                          c.at(40, [&c] { c.cut.clear(); });
                        });
                      }},
        FaultScenario{"zone_with_agents_and_a_controller_cut_off_past_the_lease", kMiddle, 110,
                      [](Cluster& c) {
                        long_arrays(c, 60);
                        c.at(15, [&c] {
                          for (const char* what : {"state", "cloud", "peers", "zone a"})
                            c.cut.insert({1, what});
                          for (const std::size_t n : {0, 2}) c.cut.insert({n, "zone b"});
                        });
                        c.at(18, [&c] { cancel_running(c, 3); });
                        c.at(45, [&c] { c.cut.clear(); });
                      }},
        FaultScenario{"leaders_change_ten_times_also_in_an_outage", kShort, 140,
                      [](Cluster& c) {
                        long_arrays(c, 50);
                        for (int i = 0; i < 10; ++i)
                          c.at(12 + 11 * i, [&c, i] { c.crash(c.busiest(), i % 3 == 0 ? 0.3 : 5); });
                        c.at(55, [&c] { c.state.outage = true; });
                        c.at(63, [&c] { c.state.recover(core::SteadyClock::now()); });
                        c.at(40, [&c] { cancel_running(c, 2); });
                      }},
        FaultScenario{"key_value_store_slow_while_users_cancel_and_query", kShort, 100,
                      [](Cluster& c) {
                        long_arrays(c, 40);
                        c.at(12, [&c] { c.faults.slow_state_s = 0.5; });
                        for (int i = 0; i < 6; ++i) c.at(14 + i, [&c] { cancel_running(c, 1); });
                        c.at(60, [&c] { c.faults.slow_state_s = 0; });
                      }},
        FaultScenario{"agents_reach_no_controller_while_commands_reach_them", kShort, 100,
                      [](Cluster& c) {
                        long_arrays(c, 60);
                        c.at(15, [&c] {
                          int n = 0;
                          for (auto& [_, w] : c.agents)
                            if (n++ % 2 == 0) {
                              w.mute = true;
                              c.at(30, [&c, name = w.name] {
                                if (const auto at = c.agents.find(name); at != c.agents.end())
                                  at->second.mute = false;
                              });
                            }
                        });
                        c.at(16, [&c] { cancel_running(c, 3); });
                      }},
        gap_of("gap_on_short_leases", kShort, false), gap_of("gap_on_middle_leases", kMiddle, false),
        gap_of("gap_on_long_leases", kLong, false),
        gap_of("gap_with_the_leader_cut_from_members_short", kShort, true),
        gap_of("gap_with_the_leader_cut_from_members_middle", kMiddle, true),
        gap_of("gap_with_the_leader_cut_from_members_long", kLong, true),
        FaultScenario{"cancelled_as_the_leader_is_refused_and_a_second_later_an_outage", kMiddle, 85,
                      [](Cluster& c) {
                        long_arrays(c, 60);
                        c.at(20, [&c] {
                          c.refused.insert(c.busiest());
                          cancel_running(c, 4);
                        });
                        c.at(21, [&c] { c.state.outage = true; });
                        c.at(21 + 47, [&c] { c.state.recover(core::SteadyClock::now()); });
                        c.at(34, [&c] { c.refused.clear(); });
                      }},
        FaultScenario{"cancelled_on_most_machines_of_a_partition_that_hang_past_cancel_s", kMiddle, 100,
                      [](Cluster& c) {
                        long_arrays(c, 70);
                        c.at(18, [&c] {
                          for (auto& [_, w] : c.agents)
                            if (w.zone == "a") c.hang(w, 60);
                          cancel_running(c, 5);
                        });
                      }},
        FaultScenario{"jobs_of_one_zone_lose_machines", kShort, 80,
                      [](Cluster& c) {
                        for (int i = 0; i < 4; ++i)
                          c.at(6,
                               [&c, i] { c.submit(2 + i, i % 2 == 0, 1, 20, "blue", "normal", false, "a"); });
                        c.at(14, [&c] {
                          for (auto& [name, w] : c.agents)
                            if (w.zone == "a") w.dead = true, c.cloud.hosts[name].dead = true;
                        });
                      }},
        FaultScenario{"all_controllers_away_past_the_lease", kShort, 70,
                      [](Cluster& c) {
                        long_arrays(c, 40);
                        c.at(20, [&c] {
                          for (std::size_t n = 0; n < 3; ++n) c.crash(n, 14 + static_cast<double>(n));
                        });
                      }},
        FaultScenario{"writes_carried_out_late_after_newer_ones", kShort, 110,
                      [](Cluster& c) {
                        long_arrays(c, 30);
                        c.at(8, [&c] { c.faults.late_write = 0.1; });
                        c.at(30, [&c] { c.crash(c.busiest(), 0.5); });
                        for (int i = 0; i < 5; ++i) c.at(15 + 4 * i, [&c] { cancel_running(c, 1); });
                        c.at(80, [&c] { c.faults = {}; });
                      }},
        FaultScenario{"commands_held_up_on_machines_that_go_on", kMiddle, 100,
                      [](Cluster& c) {
                        for (int i = 0; i < 12; ++i)
                          c.at(8 + 2 * i,
                               [&c, i] { c.submit(3, false, 1, 40, i % 2 ? "red" : "blue", "normal"); });
                        for (int i = 0; i < 5; ++i)
                          c.at(11 + 5 * i, [&c] {
                            hang_those_with_tasks(c, 2, 9);
                            c.at(2.5, [&c] { cancel_running(c, 2); });
                          });
                      }}),
    [](const auto& info) { return std::string(info.param.name); });

// Several of these troubles at once, drawn at random, with cancellations into them: nothing may break.
class RandomOverlappingFaults : public testing::TestWithParam<std::uint32_t> {};
TEST_P(RandomOverlappingFaults, KeepsTheRules) {
  const Timing timings[] = {kShort, kMiddle, kLong};
  Cluster c(GetParam(), 3, 3, timings[GetParam() % 3]);
  std::mt19937 dice(GetParam() * 104729);
  const auto compares = [&] { return 8.0 + dice() % 80; };
  const auto for_s = [&] { return 2.0 + dice() % 30; };
  load(c, 12, 40);
  long_arrays(c, 60);
  const auto machine = [&c](std::uint32_t pick) -> Agent* {
    if (c.agents.empty()) return nullptr;
    auto it = c.agents.begin();
    std::advance(it, pick % c.agents.size());
    return &it->second;
  };
  const std::vector<std::function<void(double, std::uint32_t)>> troubles{
      [&](double s, std::uint32_t) {
        c.faults.late_write = 0.15;
        c.at(s, [&c] { c.faults.late_write = 0; });
      },
      [&](double s, std::uint32_t) {
        c.faults.copy_report = 0.3;
        c.at(s, [&c] { c.faults.copy_report = 0; });
      },
      [&](double s, std::uint32_t) {
        const auto node = c.busiest();
        c.refused.insert(node);
        c.at(s, [&c, node] { c.refused.erase(node); });
      },
      [&](double s, std::uint32_t) {
        c.state.outage = true;
        c.at(s, [&c] { c.state.recover(core::SteadyClock::now()); });
      },
      [&](double s, std::uint32_t) {
        const auto node = c.busiest();
        for (const char* what : {"state", "peers"}) {
          c.cut.insert({node, what});
          c.at(s, [&c, node, what] { c.cut.erase({node, what}); });
        }
      },
      [&](double s, std::uint32_t) { c.crash(c.busiest(), s < 10 ? 0.2 : 5); },
      [&](double s, std::uint32_t pick) {
        for (std::uint32_t i = 0; i < 2; ++i)
          if (auto* w = machine(pick + i); w && !w->hanging) c.hang(*w, s);
      },
      [&](double s, std::uint32_t pick) {
        for (std::uint32_t i = 0; i < 2; ++i) {
          auto* w = machine(pick + i);
          if (!w) continue;
          (pick % 2 ? w->unreachable : w->mute) = true;
          c.at(s, [&c, name = w->name] {
            if (const auto at = c.agents.find(name); at != c.agents.end())
              at->second.unreachable = at->second.mute = false;
          });
        }
      },
      [&](double s, std::uint32_t) {
        c.faults.slow_state_s = 0.4;
        c.at(s, [&c] { c.faults.slow_state_s = 0; });
      }};
  for (int i = 0; i < 7; ++i) {
    const auto pick = dice();
    const double from = compares(), last = for_s();
    c.at(from, [&troubles, pick, last] { troubles[pick % troubles.size()](last, pick / 16); });
    c.at(from + 0.2 * (pick % 10), [&c] { cancel_running(c, 2); });
  }
  c.run(170);
  expect_rules(c);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomOverlappingFaults, testing::Range(300u, 312u));

}  // namespace
}  // namespace finchrun::sim
