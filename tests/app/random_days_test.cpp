// Random days with the disruptions of the incidents: chosen transactions that come late, outages of the store
// with slow first reads, crashes, machines that no list shows, machines that are taken without notice while
// the cloud refuses deletions, lists that lag and go back, late copies of requests that were executed and
// answered before, and machines that are back at once without their tasks, ended ones included. No rule may
// be broken, and once the disruptions are over no job may wait beside free machines.
//
// FINCHRUN_RANDOM_DAYS="FIRST LAST" runs the seeds from FIRST to before LAST instead of the few of CI.
#include "app/fault_scenarios.hpp"
#include "app/seed_range.hpp"

namespace finchrun::sim {
namespace {

constexpr double kDisruptionsOverS = 100, kCalmS = 140;

SeedRange seeds() { return seeds_from("FINCHRUN_RANDOM_DAYS", {500, 506}); }

/// One day: its jobs, and disruptions at random moments.
class RandomDay {
 public:
  explicit RandomDay(std::uint32_t seed) : cluster(seed, 3, 2), random_(seed * 7919) {
    cluster.faults_over_at = core::SteadyClock::now() + core::to_duration(kDisruptionsOverS);
    cluster.cloud.capacity = 2;  // work waits for room, which a lent machine gives
    if (seed % 2 == 0) restart_all_with_small_limits();
    if (seed % 2 == 1) at_random_time([this] { lower_the_limits(); });
    submit_jobs();
    for (int i = 0; i < 3; ++i) at_random_time([this] { hold_back_a_write(); });
    for (int i = 0; i < 2; ++i) at_random_time([this] { stop_the_store(); });
    for (int i = 0; i < 3; ++i) at_random_time([this] { crash_a_controller(); });
    for (int i = 0; i < 3; ++i) at_random_time([this] { lend_an_unlisted_machine(random_index(3)); });
    for (int i = 0; i < 4; ++i) at_random_time([this] { lend_a_spot_machine(); });
    at_random_time([this] { refuse_deletions(); });
    for (int i = 0; i < 2; ++i) at_random_time([this] { change_the_age_of_lists(); });
    cluster.faults.repeated_request_probability = 0.05;
    for (int i = 0; i < 60; ++i) at_random_time([this] { cluster.repeat_commands(); });
    for (int i = 0; i < 6; ++i) at_random_time([this] { preempt_and_cancel(); });
    for (int i = 0; i < 6; ++i) at_random_time([this] { restart_a_busy_machine(); });
    for (int i = 0; i < 8; ++i) at_random_time([this] { lose_ended_tasks(); });
  }
  void run() { cluster.run(kDisruptionsOverS + kCalmS); }

  Cluster cluster;

 private:
  double random_s(double from_s, double to_s) {
    return std::uniform_real_distribution<double>(from_s, to_s)(random_);
  }
  std::size_t random_index(std::size_t size) { return random_() % size; }
  void at_random_time(std::function<void()> disruption) {
    constexpr double kLongestDisruptionS = 15;
    cluster.after(random_s(8, kDisruptionsOverS - kLongestDisruptionS), std::move(disruption));
  }
  // A few dozen assignments then need several shards.
  void restart_all_with_small_limits() {
    cluster.announce_store_limits({1000, 200, 1, 8});
    for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, 0.1);
  }
  void submit_jobs() {
    submit_mixed_jobs(cluster, 14, 80);
    for (int i = 0; i < 4; ++i)
      cluster.after(6 + 18 * i, [this, i] {
        const char* zone = i % 2 ? "a" : "b";
        cluster.submit(30, false, 0.05, 45, i % 2 ? "red" : "blue", "normal", true, zone);
        cluster.submit(2, false, 3, 12, "blue", i % 2 ? "high" : "normal", true, zone);
      });
  }
  // The next transaction that writes one kind of record gets no response and is executed late, at times right
  // before an outage.
  void hold_back_a_write() {
    static constexpr const char* kRecords[] = {"runs/", "runs/", "ends/", "jobs/", "teams/"};
    const char* record = kRecords[random_index(std::size(kRecords))];
    const bool outage = random_index(2) == 0;
    cluster.withhold_write = [this, record, outage](const json::object& transaction) {
      if (!writes_record(transaction, record)) return false;
      cluster.after(0, [this] { cluster.withhold_write = nullptr; });
      if (outage) stop_the_store();
      cluster.after(random_s(2, 12), [this] { cluster.execute_withheld_writes(); });
      return cluster.withheld_write_count() == 0;
    };
  }
  // All controllers restart with lower limits of the store, so that the large shards are split. The writes of
  // the first shards get no response for some seconds.
  void lower_the_limits() {
    cluster.announce_store_limits({1000, 200, 1, 8});
    for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, 3);
    cluster.withhold_write = [](const json::object& transaction) {
      return writes_record(transaction, "runs/a.0/0") || writes_record(transaction, "runs/b.0/0");
    };
    cluster.after(3 + random_s(4, 12), [this] {
      cluster.withhold_write = nullptr;
      cluster.execute_withheld_writes();
    });
  }
  static bool writes_record(const json::object& transaction, const std::string& prefix) {
    for (const auto& write : transaction.at("then").as_array())
      if (const auto* key = write.as_object().if_contains("set"); key && key->as_string().starts_with(prefix))
        return true;
    return false;
  }
  void stop_the_store() {
    if (cluster.store.outage) return;
    cluster.store.outage = true;
    cluster.faults.slow_read_delay_s = random_s(0, 0.5);
    cluster.after(random_s(2, 11), [this] { cluster.recover_store(); });
  }
  // A machine comes up soon after the restart, and reports to the restarted controller first.
  void crash_a_controller() {
    const auto controller = random_index(3);
    const double down_s = random_index(2) == 0 ? 0.3 : 4.8;
    cluster.crash(controller, down_s);
    cluster.after(down_s + random_s(0.3, 6), [this, controller] { lend_an_unlisted_machine(controller); });
  }
  void lend_an_unlisted_machine(std::size_t first_controller) {
    const auto name = cluster.add_unlisted_machine(random_index(2) == 0 ? "a" : "b", first_controller);
    cluster.after(random_s(1, 8), [this, name] { cluster.remove_machine(name); });
  }
  // A spot machine that lists show, and that is taken without notice.
  void lend_a_spot_machine() {
    const auto name =
        cluster.cloud.add_machine(random_index(2) == 0 ? "a" : "b", core::SteadyClock::now(), 0);
    cluster.cloud.hosts.at(name).spot = true;
    cluster.after(random_s(5, 15), [this, name] { cluster.remove_machine(name); });
  }
  // The cloud refuses deletions, does not answer them or is not available for them: for a time or for good,
  // all of them or those that name some of the machines.
  void refuse_deletions() {
    static constexpr int kStatuses[] = {400, http::status::kServiceUnavailable, http::status::kNoAnswer};
    const ClientResponse refusal{kStatuses[random_index(std::size(kStatuses))], "{}"};
    const bool all_names = random_index(2) == 0;
    cluster.cloud.refuse_release = [refusal, all_names](const std::vector<std::string>& machines) {
      const bool refused = std::any_of(machines.begin(), machines.end(), [&](const std::string& machine) {
        return all_names || (machine.back() - '0') % 3 == 0;
      });
      return refused ? std::optional(refusal) : std::nullopt;
    };
    if (random_index(2) == 0)
      cluster.after(random_s(5, 60), [this] { cluster.cloud.refuse_release = nullptr; });
  }
  // A task is preempted and runs elsewhere, and one job ends by its cancellation; copies of their start
  // commands come while the next tasks run.
  void preempt_and_cancel() {
    cluster.submit(1, false, 4, 6, random_index(2) == 0 ? "red" : "blue", "prod");
    std::vector<std::string> unfinished;
    for (const auto& [id, job] : cluster.jobs)
      if (job.accepted && !job.cancellation_requested && job.completed.size() < job.tasks)
        unfinished.push_back(id);
    if (!unfinished.empty()) cluster.cancel(unfinished[random_index(unfinished.size())]);
    for (int i = 0; i < 12; ++i) cluster.after(random_s(0.5, 14), [this] { cluster.repeat_commands(); });
  }
  void restart_a_busy_machine() {
    std::vector<Agent*> busy;
    for (auto& [_, agent] : cluster.agents)
      if (!agent.tasks.empty() && !agent.suspended) busy.push_back(&agent);
    if (!busy.empty()) cluster.restart(*busy[random_index(busy.size())], random_index(2) == 0);
  }
  // Starts on a machine are refused, which only the answers to direct commands show, since its heartbeats
  // reach nobody. It is back without its tasks, for copies of its commands, while the next attempts run
  // elsewhere.
  void lose_ended_tasks() {
    if (cluster.agents.empty()) return;
    auto agent = cluster.agents.begin();
    std::advance(agent, static_cast<std::ptrdiff_t>(random_index(cluster.agents.size())));
    agent->second.refused_starts = 2;
    agent->second.outbound_blocked = true;
    for (int i = 0; i < 3; ++i) cluster.submit(1, false, 1, 8, random_index(2) == 0 ? "red" : "blue", "high");
    const auto with_machine = [this, name = agent->first](const std::function<void(Agent&)>& action) {
      if (const auto found = cluster.agents.find(name); found != cluster.agents.end()) action(found->second);
    };
    const double back_after_s = random_s(1, 6);
    cluster.after(back_after_s, [this, with_machine] {
      with_machine([this](Agent& machine) { cluster.restart(machine, false); });
      cluster.repeat_commands();
    });
    cluster.after(back_after_s + 2, [with_machine] {
      with_machine([](Agent& machine) { machine.outbound_blocked = false, machine.refused_starts = 0; });
    });
  }
  void change_the_age_of_lists() {
    using ListAge = CloudService::ListAge;
    cluster.cloud.list_age = random_index(2) == 0 ? ListAge::longest : ListAge::varying;
    cluster.after(random_s(5, 30), [this] { cluster.cloud.list_age = ListAge::usual; });
  }

  std::mt19937 random_;
};

class RandomDays : public testing::TestWithParam<std::uint32_t> {};
TEST_P(RandomDays, KeepTheRulesAndLeaveNoJobWaiting) {
  RandomDay day(GetParam());
  day.run();
  expect_no_violations(day.cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomDays, testing::Range(seeds().first, seeds().last));

}  // namespace
}  // namespace finchrun::sim
