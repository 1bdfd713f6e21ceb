// Machines that are taken without notice, while the cloud does not confirm deletions and its lists lag.
#include "app/fault_scenarios.hpp"
#include "core/case_names.hpp"

namespace finchrun::sim {
namespace {

using ListAge = CloudService::ListAge;

constexpr double kTakenAtS = 15, kRefusedForS = 100;
constexpr double kRestartedWithinS = 90;  // no job may wait for longer beside a free machine
constexpr int kRefused = 400;

/// A deployment whose cloud answers deletions with `status` as long as `refuses` returns true for a name.
struct LostMachineCase {
  const char* name;
  int status = kRefused;
  std::function<bool(const std::string& machine, double seconds)> refuses;
  ListAge list_age = ListAge::usual;
  bool crash_leader = false;
};

class LostMachines : public testing::TestWithParam<LostMachineCase> {};

// Guards against an accepted job that is never started again after its machine was taken: its task waited for
// the cloud's answer to the deletion of the machine, which the cloud refused.
TEST_P(LostMachines, TasksRunAgainWhateverTheCloudAnswersToDeletions) {
  const auto& test_case = GetParam();
  Cluster cluster(21);
  const auto start = core::SteadyClock::now();
  const auto elapsed_s = [start] { return core::seconds_between(start, core::SteadyClock::now()); };
  cluster.faults_over_at = start + core::to_duration(kTakenAtS);
  cluster.cloud.list_age = test_case.list_age;
  cluster.cloud.refuse_release = [&](const std::vector<std::string>& machines) {
    const auto refused = std::any_of(machines.begin(), machines.end(), [&](const std::string& machine) {
      return test_case.refuses(machine, elapsed_s());
    });
    return refused ? std::optional(ClientResponse{test_case.status, "{}"}) : std::nullopt;
  };
  cluster.after(5, [&] { cluster.submit(6, false, 2, 30, "blue", "normal", true); });
  cluster.run(kTakenAtS);
  std::vector<std::string> taken;
  for (const auto& [name, agent] : cluster.agents)
    if (!agent.tasks.empty() && taken.size() < 2) taken.push_back(name);
  ASSERT_EQ(taken.size(), 2u);
  std::size_t lost_tasks = 0;
  for (const auto& name : taken) {
    lost_tasks += cluster.agents.at(name).tasks.size();
    cluster.remove_machine(name);
  }
  const auto starts_before = cluster.task_starts;
  if (test_case.crash_leader) cluster.crash(cluster.busiest_leader(), 5);
  cluster.run(kRestartedWithinS);
  EXPECT_GE(cluster.task_starts, starts_before + lost_tasks);
  const auto requests_before = cluster.cloud.release_requests;
  cluster.run(50);
  EXPECT_EQ(cluster.cloud.release_requests, requests_before) << "deletions of machines that are gone";
  RecordProperty("release_requests", std::to_string(cluster.cloud.release_requests));
  RecordProperty("list_requests", std::to_string(cluster.cloud.list_requests));
  expect_no_violations(cluster);
  EXPECT_TRUE(cluster.jobs.at("req-000000").reported_done);
}

bool always(const std::string&, double) { return true; }
bool for_a_time(const std::string&, double seconds) { return seconds < kTakenAtS + kRefusedForS; }
bool some_names(const std::string& machine, double) { return (machine.back() - '0') % 2 == 0; }
bool never(const std::string&, double) { return false; }

INSTANTIATE_TEST_SUITE_P(
    Table, LostMachines,
    testing::Values(LostMachineCase{"refused_for_a_time", kRefused, for_a_time},
                    LostMachineCase{"refused_for_good", kRefused, always},
                    LostMachineCase{"not_answered_for_good", http::status::kNoAnswer, always},
                    LostMachineCase{"unavailable_for_good", http::status::kServiceUnavailable, always},
                    LostMachineCase{"refused_for_some_names", kRefused, some_names},
                    LostMachineCase{"refused_and_lists_lag_twice", kRefused, always, ListAge::longest},
                    LostMachineCase{"refused_and_lists_go_back", kRefused, always, ListAge::varying},
                    LostMachineCase{"confirmed_and_lists_go_back", kRefused, never, ListAge::varying},
                    LostMachineCase{"refused_and_leader_crashes", kRefused, always, ListAge::usual, true},
                    LostMachineCase{"refused_and_leader_crashes_and_lists_go_back", kRefused, always,
                                    ListAge::varying, true}),
    kCaseName);

// Guards against tasks that wait for good since their machine's deletion shares its requests with a machine
// that the cloud refuses to delete. Lists go on to show both, so only a deletion proves one gone.
TEST(LostMachines, ARefusedMachineDoesNotKeepOthersFromBeingDeleted) {
  Cluster cluster(41);
  cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(kTakenAtS);
  cluster.after(5, [&] { cluster.submit(4, false, 4, 60, "blue", "normal", true, "a"); });
  cluster.run(kTakenAtS);
  std::vector<std::string> failed;
  for (auto& [name, agent] : cluster.agents)
    if (!agent.tasks.empty() && failed.size() < 3) failed.push_back(name);
  ASSERT_EQ(failed.size(), 3u);
  for (const auto& name : failed) cluster.agents.at(name).dead = cluster.cloud.hosts.at(name).dead = true;
  cluster.cloud.refuse_release = [&](const std::vector<std::string>& machines) {
    const bool refused = std::find(machines.begin(), machines.end(), failed[1]) != machines.end();
    return refused ? std::optional(ClientResponse{kRefused, "{}"}) : std::nullopt;
  };
  cluster.run(kRestartedWithinS);
  EXPECT_FALSE(cluster.cloud.hosts.contains(failed[0]));
  EXPECT_TRUE(cluster.cloud.hosts.contains(failed[1]));
  EXPECT_FALSE(cluster.cloud.hosts.contains(failed[2]));
  expect_no_violations(cluster);
}

// Guards against a task that starts a second time since lists did not show its machine yet: a new machine
// gets a task at once and hangs, another one has room, and lists lag by twice the setting or go back.
TEST(LostMachines, AMachineThatListsDoNotShowYetIsNotTakenForLost) {
  constexpr double kHangS = 6, kRunS = 8;
  for (const auto list_age : {ListAge::longest, ListAge::varying})
    for (std::uint32_t seed = 51; seed < 55; ++seed) {
      Cluster cluster(seed, 3, 0);
      cluster.cloud.list_age = list_age;
      cluster.cloud.capacity = 0;
      cluster.after(8, [&] { cluster.submit(1, false, 4, kRunS, "red", "normal", false, "a"); });
      const auto add_machine = [&] { return cluster.cloud.add_machine("a", core::SteadyClock::now(), 0); };
      std::string machine;
      bool hung = false;
      std::function<void()> hang_once_in_use = [&] {
        auto& agent = cluster.agents.at(machine);
        if (agent.tasks.empty()) return cluster.after(0.1, hang_once_in_use);
        cluster.suspend(agent, kHangS);
        hung = true;
      };
      cluster.after(10, [&] { machine = add_machine(); });
      cluster.after(10.1, hang_once_in_use);
      cluster.after(13, [&] { add_machine(); });
      cluster.run(45);
      EXPECT_TRUE(hung) << "seed " << seed;
      expect_no_violations(cluster);
      EXPECT_EQ(finished_job_count(cluster), 1u) << "seed " << seed;
    }
}

}  // namespace
}  // namespace finchrun::sim
