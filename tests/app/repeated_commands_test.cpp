// Late copies of direct commands that an agent has executed and answered before, after each end of an attempt
// and each restart of a controller or machine.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

constexpr double kRepeatFromS = 5, kRepeatUntilS = 75, kRepeatIntervalS = 0.1;

struct AttemptEnd {
  const char* name;
  std::function<void(Cluster&)> cause;  // called while tasks run on all machines
};
struct Restart {
  const char* name;
  std::function<void(Cluster&)> restart;  // called while attempts end
  bool starts_unknown_tasks = false;      // a machine may have lost a task that is still assigned to it
};

void PrintTo(const AttemptEnd& end, std::ostream* out) { *out << end.name; }
void PrintTo(const Restart& restart, std::ostream* out) { *out << restart.name; }

// Calls f with each agent that holds a task, at most `max_count` of them.
void for_busy_agents(Cluster& cluster, std::size_t max_count, const std::function<void(Agent&)>& f) {
  for (auto& [_, agent] : cluster.agents)
    if (max_count > 0 && !agent.tasks.empty()) f(agent), --max_count;
}

const AttemptEnd kEnds[] = {
    {"done", [](Cluster&) {}},
    {"halted_by_preemption",
     [](Cluster& cluster) {
       for (int i = 0; i < 6; ++i) cluster.submit(1, false, 3, 8, i % 2 ? "red" : "blue", "prod");
     }},
    {"cancelled",
     [](Cluster& cluster) {
       for (auto& [id, job] : cluster.jobs)
         if (job.accepted && !job.cancellation_requested) cluster.cancel(id);
       for (int i = 0; i < 6; ++i) cluster.submit(1, false, 4, 8, i % 2 ? "red" : "blue", "normal");
     }},
    {"refused",
     [](Cluster& cluster) {
       for (auto& [_, agent] : cluster.agents) agent.refused_starts = 2;
       for (int i = 0; i < 6; ++i) cluster.submit(1, false, 1, 8, i % 2 ? "red" : "blue", "prod");
     }},
    {"error",
     [](Cluster& cluster) {
       for_busy_agents(cluster, 2, [&](Agent& agent) {
         agent.faulty = true;
         cluster.after(8, [&agent] { agent.faulty = false; });
       });
     }},
    {"gang_peer_gone",
     [](Cluster& cluster) {
       for (int i = 0; i < 2; ++i) cluster.submit(2, true, 4, 15, i % 2 ? "red" : "blue", "high");
       cluster.after(
           6, [&cluster] { for_busy_agents(cluster, 2, [&](Agent& agent) { cluster.suspend(agent, 7); }); });
     }},
};

const Restart kRestarts[] = {
    {"same_leader", [](Cluster&) {}},
    {"leader_back_in_an_instant",
     [](Cluster& cluster) {
       for (const double at_s : {1.0, 6.0, 11.0})
         cluster.after(at_s, [&cluster] { cluster.crash(cluster.busiest_leader(), 0.3); });
     }},
    {"another_leader", [](Cluster& cluster) { cluster.crash(cluster.busiest_leader(), 9); }},
    {"machine_back_in_the_same_incarnation",
     [](Cluster& cluster) {
       for (const double at_s : {1.0, 6.0, 11.0})
         cluster.after(at_s, [&cluster] {
           for_busy_agents(cluster, 2, [&](Agent& agent) { cluster.restart(agent, false); });
         });
     },
     true},
    {"machine_back_in_the_next_incarnation",
     [](Cluster& cluster) {
       for (const double at_s : {1.0, 6.0, 11.0})
         cluster.after(at_s, [&cluster] {
           for_busy_agents(cluster, 2, [&](Agent& agent) { cluster.restart(agent, true); });
         });
     }},
};

class RepeatedCommands : public testing::TestWithParam<std::tuple<AttemptEnd, Restart>> {};
// Guards against a task that starts once more, beside its next attempt or after its cancellation, because its
// agent had forgotten the attempt when a copy of the start arrived.
TEST_P(RepeatedCommands, StartNoTaskWhoseAttemptHasEnded) {
  const auto& [end, restart] = GetParam();
  Cluster cluster(7, 3, 2, {1, 15, 35});
  cluster.cloud.capacity = 0;
  for (double at_s = kRepeatFromS; at_s < kRepeatUntilS; at_s += kRepeatIntervalS)
    cluster.after(at_s, [&cluster] { cluster.repeat_commands(); });
  cluster.after(6, [&cluster] {
    for (int i = 0; i < 8; ++i) cluster.submit(4, false, 1, 3 + i, i % 2 ? "red" : "blue", "idle");
  });
  cluster.after(14, [&cluster, cause = end.cause] { cause(cluster); });
  cluster.after(14, [&cluster, trouble = restart.restart] { trouble(cluster); });
  cluster.run(kRepeatUntilS);
  expect_no_violations(cluster);
  if (!restart.starts_unknown_tasks) {
    EXPECT_EQ(cluster.starts_by_repeated_commands, 0u);
  }
  EXPECT_GT(cluster.repeated_commands, 0u);
  for (const auto& [id, job] : cluster.jobs)
    EXPECT_TRUE(!job.accepted || job.reported_done || job.reported_cancelled_at) << id;
}
INSTANTIATE_TEST_SUITE_P(Table, RepeatedCommands,
                         testing::Combine(testing::ValuesIn(kEnds), testing::ValuesIn(kRestarts)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) + "_with_" +
                                  std::get<1>(info.param).name;
                         });

// The first start is refused, and shown as ended by the answer to the direct command alone.
TEST(RepeatedCommands, DoNotStartAnEndedAttemptOnAMachineThatHasLostItsTasks) {
  Cluster cluster(7, 3, 2, {1, 15, 35});
  cluster.cloud.capacity = 0;
  cluster.run(6);
  for (auto& [_, agent] : cluster.agents) agent.refused_starts = 1;
  cluster.submit(1, false, 4, 20, "red", "high");
  Agent* refusing = nullptr;
  for (int step = 0; step < 500 && !refusing; ++step) {
    cluster.run(0.01);
    for_busy_agents(cluster, 1, [&](Agent& agent) { refusing = &agent; });
  }
  ASSERT_NE(refusing, nullptr);
  for (auto& [_, agent] : cluster.agents) agent.refused_starts = 0;
  refusing->outbound_blocked = true;
  cluster.run(4);
  EXPECT_EQ(cluster.task_starts, 1u) << "the next attempt runs elsewhere";
  cluster.restart(*refusing, false);
  cluster.repeat_commands();
  cluster.run(30);
  expect_no_violations(cluster);
}

}  // namespace
}  // namespace finchrun::sim
