#include "sim/cluster.hpp"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "sim/network.hpp"

namespace finchrun::sim {
namespace {

constexpr double kGangPeerS = 4;
constexpr std::chrono::milliseconds kTimeStep{10};
// Killed processes. Their suspended coroutines refer to their objects, so none of them is destroyed.
std::vector<std::shared_ptr<void>>& killed_processes() {
  static auto* processes = new std::vector<std::shared_ptr<void>>;
  return *processes;
}

}  // namespace

Cluster::Cluster(std::uint32_t seed, int controllers, int machines_per_zone, AgentTiming timing)
    : Deployment(seed), processes_(static_cast<std::size_t>(controllers)) {
  now_ = TimePoint{core::to_duration(1000)};
  core::SteadyClock::simulate(now_);
  settings_.zones = {"a", "b"};
  settings_.controller_count = controllers;
  settings_.cloud_endpoint = {kCloudHost, 1};
  settings_.store_endpoint = {kStoreHost, 1};
  settings_.teams = {{"red", 0, 0, 8, 12}, {"blue", 0, 0, 8, 16}};
  settings_.heartbeat_interval_s = timing.heartbeat_interval_s;
  settings_.agent_lease_s = timing.agent_lease_s;
  settings_.cancel_s = timing.cancel_s;
  settings_.gang_peer_s = kGangPeerS;
  settings_.store_limits.requests_per_s = 1000;
  settings_.store_limits.writes_per_s = 200;
  settings_.cloud_requests_per_s = 30;
  settings_.cloud_list_lag_s = 3;
  cloud.capacity = machines_per_zone + 2;
  cloud.on_release = [this](const std::string& name) { agents.erase(name); };
  for (int i = 0; i < machines_per_zone; ++i)
    for (const char* zone : {"a", "b"}) cloud.add_machine(zone, now_, 0);
  for (std::size_t n = 0; n < processes_.size(); ++n) boot(n);
}

Cluster::~Cluster() {
  if (std::getenv("FINCHRUN_TRAFFIC_DIGEST"))
    std::printf("traffic digest=%016llx messages=%llu\n", static_cast<unsigned long long>(traffic_.value()),
                static_cast<unsigned long long>(traffic_.messages()));
  for (auto& process : processes_)
    if (process) killed_processes().push_back(std::shared_ptr<ControllerProcess>(std::move(process)));
  core::SteadyClock::simulate(std::nullopt);
}

void Cluster::boot(std::size_t controller) {
  auto settings = settings_;
  settings.label = "perch-" + std::to_string(controller);
  settings.zone = controller % 2 == 0 ? "a" : "b";
  for (std::size_t n = 0; n < processes_.size(); ++n)
    if (n != controller)
      settings.members.push_back({"perch-" + std::to_string(n), n % 2 == 0 ? "a" : "b", {}});
  processes_[controller] =
      std::make_unique<ControllerProcess>(*this, controller, settings, static_cast<std::uint32_t>(random()));
}

void Cluster::crash(std::size_t controller, double restart_after_s) {
  if (!processes_[controller]) return;
  killed_processes().push_back(std::shared_ptr<ControllerProcess>(std::move(processes_[controller])));
  after(restart_after_s, [this, controller] { boot(controller); });
}

void Cluster::post(double delay_s, std::function<void()> action) {
  events_.emplace(now_ + core::to_duration(delay_s), std::move(action));
}
void Cluster::execute_withheld_writes() {
  for (const auto& write : std::exchange(withheld_writes_, {})) write();
}
void Cluster::execute_withheld_commands() {
  for (const auto& command : std::exchange(withheld_commands_, {})) command();
}

void Cluster::run(double seconds) {
  const auto end = now_ + core::to_duration(seconds);
  while (now_ < end) step();
}

void Cluster::step() {
  now_ += kTimeStep;
  core::SteadyClock::simulate(now_);
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const auto& process = processes_[i];
    if (!process || suspended_controllers.contains(i)) continue;
    for (int idle_polls = 0; idle_polls < 2;) idle_polls = process->io.poll() > 0 ? 0 : idle_polls + 1;
  }
  step_agents();
  check_rules();
}

}  // namespace finchrun::sim
