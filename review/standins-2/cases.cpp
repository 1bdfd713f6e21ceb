#include "cases.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace finchrun::review {
namespace {

constexpr double kLongRunS = 1000;  // longer than any case

// A type like the one of the deployment with two zones.
MachineType rack_type(const std::string& name, std::vector<std::string> zones) {
  return {name, 96, 8, 576, std::move(zones)};
}

// Two machines of one type, one in each zone, and no further capacity.
void one_machine_in_each_zone(World& world, bool spot) {
  world.types = {rack_type("rack-8", {"zone-a", "zone-b"})};
  world.add_machine("rack-8", "zone-a", spot);
  world.add_machine("rack-8", "zone-b", spot);
}

Judged left_waiting(const std::string& id) { return JudgedJob{JudgedJob::Rule::left_waiting, id}; }

JobSpec small_tasks(int tasks, double run_s) {
  JobSpec spec;
  spec.tasks = tasks;
  spec.cpus = 10, spec.gpus = 1, spec.ram_gb = 54;
  spec.run_s = run_s;
  return spec;
}

JobSpec whole_machine(const std::string& zone, const std::string& priority, double run_s) {
  JobSpec spec;
  spec.shape = "ensemble";
  spec.priority = priority;
  spec.cpus = 86, spec.gpus = 8, spec.ram_gb = 460;
  spec.zone = zone;
  spec.run_s = run_s;
  return spec;
}

// --- Many jobs have run, and all controllers end ---

void prepare_history(World& world) {
  one_machine_in_each_zone(world, false);
  world.store_delay_s = 0.005;  // "normally under 10 ms"
  world.store_rps = 100, world.store_write_rps = 20;
}

asio::awaitable<Judged> play_history(World& world, bool trouble) {
  const auto done = world.submit_job(small_tasks(1, 1));
  const Condition is_done = [&] { return world.is_done(done); };
  if (!co_await world.wait_until(is_done, 12)) co_return std::nullopt;
  const auto job = world.submit_job(small_tasks(1, kLongRunS));
  const Condition is_running = [&] { return world.running(job) == 1; };
  if (!co_await world.wait_until(is_running, 10)) co_return std::nullopt;
  constexpr int kJobs = 80000;
  co_await world.add_history(done, kJobs, 5000);
  co_await world.sleep(1);
  constexpr double kDownS = 3;
  if (trouble) {
    world.crash_all(kDownS);
    co_await world.sleep(kDownS + 0.1);
  }
  co_return JudgedJob{JudgedJob::Rule::forgotten, job};
}

// --- Jobs with a mistake ---

void prepare_mistakes(World& world) { one_machine_in_each_zone(world, false); }

asio::awaitable<Judged> play_mistakes(World& world, bool trouble) {
  JobSpec replicas;
  replicas.shape = "standing";
  replicas.priority = "prod";
  replicas.tasks = 2;
  replicas.cpus = 1, replicas.gpus = 0, replicas.ram_gb = 4.8;
  replicas.scatter = true;
  const auto service = world.submit_job(replicas);
  const Condition has_replicas = [&] { return world.machines_of(service).size() == 2; };
  if (!co_await world.wait_until(has_replicas, 10)) co_return std::nullopt;
  // 2 of 52 jobs have a mistake, under 4%.
  constexpr int kGoodJobs = 48;
  std::vector<std::string> good;
  for (int i = 0; i < kGoodJobs; ++i) {
    auto spec = small_tasks(1, 0.5);
    spec.cpus = 0.25, spec.gpus = 0, spec.ram_gb = 1;
    good.push_back(world.submit_job(spec));
  }
  const auto completed = [&](const std::string& id) {
    return world.jobs.at(id).completed.size() == world.jobs.at(id).tasks;
  };
  const Condition all_completed = [&] { return std::all_of(good.begin(), good.end(), completed); };
  if (!co_await world.wait_until(all_completed, 12)) co_return std::nullopt;
  std::vector<std::string> bad;
  for (int i = 0; i < 2; ++i) {
    auto spec = small_tasks(2, 0.5);
    spec.scatter = true;  // one task in each zone
    spec.mistaken = trouble;
    bad.push_back(world.submit_job(spec));
    if (trouble) world.record("TROUBLE: submitted with a mistake: " + bad.back());
  }
  const Condition all_ended = [&] {
    return std::all_of(bad.begin(), bad.end(), [&](const std::string& id) {
      return trouble ? world.failed_on[id].size() == 2 : completed(id);
    });
  };
  co_await world.wait_until(all_ended, 10);
  if (trouble) {
    for (const auto& id : bad) world.cancel_job(id);
    const Condition all_cancelled = [&] { return world.is_cancelled(bad[0]) && world.is_cancelled(bad[1]); };
    if (!co_await world.wait_until(all_cancelled, 5)) co_return std::nullopt;
  }
  co_await world.sleep(0.5);
  co_return left_waiting(world.submit_job(small_tasks(1, 3)));
}

// --- A job of one zone loses its machine ---

void prepare_spot_machines(World& world) { one_machine_in_each_zone(world, true); }

asio::awaitable<Judged> play_together(World& world, bool trouble) {
  auto other = small_tasks(1, kLongRunS);
  other.zone = "zone-b";
  other.spot = true;
  const auto small = world.submit_job(other);
  const Condition small_runs = [&] { return world.running(small) == 1; };
  if (!co_await world.wait_until(small_runs, 10)) co_return std::nullopt;
  co_await world.sleep(1);
  auto spec = small_tasks(8, 5);
  spec.together = spec.spot = true;
  const auto job = world.submit_job(spec);
  const Condition all_run = [&] { return world.running(job) == 8; };
  if (!co_await world.wait_until(all_run, 10)) co_return std::nullopt;
  co_await world.sleep(1);
  if (trouble) world.take_back(*world.machines_of(job).begin());
  co_return left_waiting(job);
}

// --- The state service lowers its limits ---

void prepare_limits(World& world) {
  world.types = {rack_type("rack-8", {"zone-a", "zone-b"})};
  world.capacity = {{"rack-8|zone-b|own", 1}};
  world.announces_limits = true;
  world.new_machine_s = 6;  // all jobs are accepted by then
}

asio::awaitable<Judged> play_limits(World& world, bool trouble) {
  if (trouble) world.lower_limits();
  constexpr int kSmallJobs = 13, kArrayTasks = 120;
  std::vector<std::string> jobs;
  const auto submit = [&](int tasks, const char* priority) {
    auto spec = small_tasks(tasks, 3);
    spec.cpus = 0.25, spec.gpus = 0, spec.ram_gb = 1.35;
    spec.priority = priority;
    spec.zone = "zone-b";
    jobs.push_back(world.submit_job(spec));
  };
  for (int i = 0; i < kSmallJobs; ++i) submit(1, "high");
  submit(kArrayTasks, "normal");
  const Condition accepted = [&] {
    return std::all_of(jobs.begin(), jobs.end(), [&](const auto& id) { return world.jobs.at(id).accepted; });
  };
  if (!co_await world.wait_until(accepted, 6)) co_return std::nullopt;
  co_return left_waiting(jobs.back());
}

// --- A burst of jobs of a team that is at its limit ---

void prepare_burst(World& world) { one_machine_in_each_zone(world, false); }

asio::awaitable<Judged> play_burst(World& world, bool trouble) {
  const auto long_one = world.submit_job(whole_machine("zone-a", "normal", kLongRunS));
  const Condition long_runs = [&] { return world.running(long_one) == 1; };
  if (!co_await world.wait_until(long_runs, 10)) co_return std::nullopt;
  // Usually 5 jobs of this class in 3 s; in the burst 4 times as many. The team's limit is 4 of them at once.
  constexpr int kUsual = 5, kFactor = 4;
  constexpr double kBurstS = 3;
  const int count = trouble ? kFactor * kUsual : kUsual;
  if (trouble) world.record(fmt::format("TROUBLE: {} times as many jobs of a class", kFactor));
  std::vector<std::string> burst;
  for (int i = 0; i < count; ++i) {
    auto spec = small_tasks(1, kLongRunS);
    spec.team = kLimitedTeam;
    spec.zone = "zone-b";
    burst.push_back(world.submit_job(spec));
    co_await world.sleep(kBurstS / count);
  }
  const auto running = [&] {
    std::size_t sum = 0;
    for (const auto& id : burst) sum += world.running(id);
    return sum;
  };
  const Condition team_at_limit = [&] { return running() == 4; };
  if (!co_await world.wait_until(team_at_limit, 10)) co_return std::nullopt;
  co_await world.sleep(1);
  co_return left_waiting(world.submit_job(small_tasks(1, 3)));
}

constexpr CaseEntry kCases[] = {
    {prepare_history, play_history},         // 4
    {prepare_limits, play_limits},           // 5
    {prepare_mistakes, play_mistakes},       // 6
    {prepare_burst, play_burst},             // 7
    {prepare_spot_machines, play_together},  // 8
};
constexpr int kFirstCase = 4;

}  // namespace

const CaseEntry* find_case(int number) {
  const int index = number - kFirstCase;
  return index >= 0 && index < static_cast<int>(std::size(kCases)) ? &kCases[index] : nullptr;
}

}  // namespace finchrun::review
