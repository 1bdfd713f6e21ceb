// Tasks of cancelled jobs end by `cancel_s` after the user was told (rule `ran_cancelled`), whatever is still
// on its way to their machines.
#include "app/fault_scenarios.hpp"

namespace finchrun::sim {
namespace {

constexpr AgentTiming kTiming{2.5, 15.25, 35.25};
constexpr double kLongRunS = 300, kStepS = 0.005;

bool starts_something(const json::object& request) {
  const auto& commands = request.at("orders").as_array();
  return std::any_of(commands.begin(), commands.end(),
                     [](const json::value& command) { return command.at("verb").as_string() == "run"; });
}

/// A leader that has just taken over sends a direct start, which is held up on its way. Its job is cancelled
/// at once, and then the store is out for longer than a cancellation may take, so that the leader has no
/// fencing token above the start's.
struct HeldStart {
  explicit HeldStart(std::uint32_t seed) : cluster(seed, 3, 3, kTiming) {
    cluster.after(12, [this] {
      const auto leader = cluster.leader_of("a.0");
      cluster.crash(leader, 0.3);
      cluster.submit(1, false, 1, kLongRunS, "red", "normal", false, "a");
      cluster.jobs.begin()->second.image_pull_s = 0;  // the machine has the image
      cluster.withhold_command = starts_something;
      cluster.withhold_write = [this](const json::object& transaction) {
        if (places_something(transaction)) slow_reads_down();
        return false;
      };
      step();
    });
  }
  // The leader reads nothing more before the outage.
  void slow_reads_down() {
    cluster.faults.slow_read_delay_s = 0.5;
    cluster.recover_store();
  }
  // Cancels the job once its start is on its way, and stops the store once the user was told.
  void step() {
    const auto& job = cluster.jobs.begin()->second;
    if (cluster.withheld_command_count() > 0 && !job.cancellation_requested)
      cluster.cancel(cluster.jobs.begin()->first);
    if (!job.reported_cancelled_at) return cluster.after(kStepS, [this] { step(); });
    cluster.withhold_command = nullptr;
    cluster.store.outage = true;
    cluster.after(kTiming.cancel_s + 5, [this] { cluster.execute_withheld_commands(); });
    cluster.after(kTiming.cancel_s + 20, [this] { cluster.recover_store(); });
  }
  Cluster cluster;
};

class HeldStarts : public testing::TestWithParam<std::uint32_t> {};
TEST_P(HeldStarts, AreNotExecutedOnceTheirJobsCancellationIsDue) {
  HeldStart held(GetParam());
  held.cluster.run(120);
  ASSERT_TRUE(held.cluster.jobs.begin()->second.reported_cancelled_at);
  EXPECT_TRUE(held.cluster.violations.empty()) << held.cluster.violations.front();
}
INSTANTIATE_TEST_SUITE_P(Seeds, HeldStarts, testing::Range(1u, 6u));

}  // namespace
}  // namespace finchrun::sim
