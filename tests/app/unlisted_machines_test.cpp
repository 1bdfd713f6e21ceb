// Machines that the cloud's list does not show while they exist.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

// Guards against an accepted job that is never started again: the machine's only heartbeat to the restarted
// controller was redirected, and that controller, once it led the zone, never requested the lost machine's
// deletion.
TEST(UnlistedMachines, TaskOfALostMachineRunsAgainUnderALeaderThatOnlyRedirectedItsHeartbeat) {
  for (const std::uint32_t seed : {7u, 8u}) {
    Cluster cluster(seed, 3, 1);
    cluster.cloud.capacity = 0;
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(30);
    const std::string job = "req-000001";
    cluster.after(6, [&] { cluster.submit(1, false, 4, 15, "blue", "normal", true, "a"); });
    cluster.after(10, [&] { cluster.submit(1, false, 4, 20, "blue", "normal", true, "a"); });
    cluster.after(12, [&] { cluster.crash(0, 4.8); });
    std::string machine;
    bool started = false;
    cluster.after(17.5, [&] { machine = cluster.add_unlisted_machine("a", 0); });
    std::function<void()> remove_once_started = [&] {
      const auto& tasks = cluster.agents.at(machine).tasks;
      started = tasks.contains({job, 0}) && tasks.at({job, 0}).state == "running";
      if (started) return cluster.remove_machine(machine);
      cluster.after(0.1, remove_once_started);
    };
    cluster.after(17.6, remove_once_started);
    cluster.run(24);
    ASSERT_TRUE(started) << "seed " << seed;
    cluster.run(150);
    expect_no_violations(cluster);
    EXPECT_TRUE(cluster.jobs.at(job).reported_done) << "seed " << seed;
  }
}

}  // namespace
}  // namespace finchrun::sim
