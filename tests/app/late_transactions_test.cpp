// Chosen transactions without a response that the key-value store executes late, after newer ones.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

// Longer than every disruption here, so that no task ends with its agent's lease.
constexpr AgentTiming kLeasesThatLast{1, 25, 55};

// Returns true if the transaction writes a key with the prefix and a value that contains the text.
bool writes(const json::object& transaction, const std::string& prefix, const std::string& text) {
  for (const auto& write : transaction.at("then").as_array()) {
    const auto* key = write.as_object().if_contains("set");
    if (key && key->as_string().starts_with(prefix) &&
        json::serialize(write.at("data")).find(text) != std::string::npos)
      return true;
  }
  return false;
}

// Returns the agent of the zone that runs a task of the job, or one that does not.
Agent* agent_in_zone(Cluster& cluster, const std::string& zone, const std::string& job, bool runs_job) {
  for (auto& [_, agent] : cluster.agents)
    if (agent.zone == zone && agent.tasks.contains({job, 0}) == runs_job) return &agent;
  return nullptr;
}

// A zone with two machines and two assignment shards with room. One machine runs a task that ends during the
// outage; the placement of another task on the other machine gets no response, and the store goes down.
struct PlacementBeforeOutage {
  static constexpr double kOutageS = 8.2;  // more than the longest gap after which all records are read again

  explicit PlacementBeforeOutage(std::uint32_t seed, double extra_outage_s)
      : cluster(seed, 3, 2, kLeasesThatLast) {
    cluster.cloud.capacity = 0;
    cluster.faults.slow_read_delay_s = 0.3;
    submit(6, 1, 3, 20);
    submit(9, 60, 0.002, 600);
    submit(11, 150, 0.002, 600);
    submit(25, 1, 3, 90);
    cluster.withhold_write = [this, extra_outage_s](const json::object& transaction) {
      if (held || !writes(transaction, "runs/", kTask)) return false;
      held = true;
      cluster.store.outage = true;
      end_outage_after(kOutageS + extra_outage_s);
      return true;
    };
  }
  void submit(double at_s, int tasks, double gpus, double run_s) {
    cluster.after(at_s,
                  [=, this] { cluster.submit(tasks, false, gpus, run_s, "blue", "normal", false, "a"); });
  }
  // The machine of the first placement hangs while the store recovers, so that the second placement goes to
  // the other one.
  void end_outage_after(double outage_s) {
    constexpr double kHangBeforeS = 4, kHangS = 8, kLateAfterS = 3.5;
    cluster.after(outage_s - kHangBeforeS,
                  [this] { cluster.suspend(*agent_in_zone(cluster, "a", kFirstTask, false), kHangS); });
    cluster.after(outage_s, [this] { cluster.recover_store(); });
    cluster.after(outage_s + kLateAfterS, [this] {
      executed = cluster.withheld_write_count();
      cluster.execute_withheld_writes();
    });
  }

  static constexpr const char* kFirstTask = "req-000000";
  static constexpr const char* kTask = "req-000003";
  Cluster cluster;
  bool held = false;         // the first placement has been held back
  std::size_t executed = 0;  // number of transactions that were executed late
};

// Guards against a task that starts on two machines: the reload of all records after an outage made the
// leader forget that a placement had no response, and it placed the task again without moving the fence.
TEST(LateTransactions, PlacementBeforeAnOutageStartsItsTaskOnlyOnce) {
  for (const double extra_outage_s : {0.0, 0.4, 0.8, 1.2, 1.6}) {
    PlacementBeforeOutage scenario(7, extra_outage_s);
    scenario.cluster.run(70);
    EXPECT_EQ(scenario.executed, 1u);
    expect_no_violations(scenario.cluster);
    EXPECT_TRUE(agent_in_zone(scenario.cluster, "a", PlacementBeforeOutage::kTask, true)) << "it runs";
  }
}

// A partition whose large shard is split when all controllers come back with a lower limit on values. The
// writes of that shard get no response; meanwhile a task with an assignment in it is preempted and placed
// again.
struct SplitWithoutResponse {
  static constexpr double kCrashS = 24, kDownS = 3, kLateWritesS = 14;

  SplitWithoutResponse() : cluster(7, 3, 2, kLeasesThatLast) {
    cluster.cloud.capacity = 0;
    submit(6, 120, 0.002, 600, "normal");
    submit(7.5, 110, 0.002, 600, "normal");
    submit(9, 1, 3, 24, "normal");
    submit(11, 1, 3, 60, "idle");
    submit(13, 100, 0.002, 600, "normal");
    cluster.after(kCrashS, [this] { restart_with_lower_limits(); });
    submit(kCrashS + kDownS + 1, 1, 3, 3, "prod", "red");
  }
  void submit(double at_s, int tasks, double gpus, double run_s, const char* priority,
              const char* team = "blue") {
    cluster.after(at_s, [=, this] { cluster.submit(tasks, false, gpus, run_s, team, priority, false, "a"); });
  }
  void restart_with_lower_limits() {
    cluster.announce_store_limits({1000, 200, 2, 5});
    for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, kDownS);
    cluster.withhold_write = [](const json::object& transaction) {
      return writes(transaction, "runs/a.0/0", "");
    };
    cluster.after(kDownS + kLateWritesS, [this] {
      executed = cluster.withheld_write_count();
      cluster.withhold_write = nullptr;
      cluster.execute_withheld_writes();
    });
  }

  Cluster cluster;
  std::size_t executed = 0;  // number of transactions that were executed late
};

// Guards against a task that starts on two machines: the split of a shard had no response, tombstones were
// recorded that named the shard, and the late split brought the ended assignment back in a new shard.
TEST(LateTransactions, SplitOfAShardDoesNotBringBackEndedAssignments) {
  SplitWithoutResponse scenario;
  scenario.cluster.run(80);
  EXPECT_GE(scenario.executed, 1u);
  expect_no_violations(scenario.cluster);
  EXPECT_GE(scenario.cluster.store.change_count("ends/"), 1u);
}

}  // namespace
}  // namespace finchrun::sim
