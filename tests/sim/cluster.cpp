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
    : random(seed), now_(core::to_duration(1000)), processes_(static_cast<std::size_t>(controllers)) {
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

double Cluster::delay() { return std::uniform_real_distribution<double>(0.001, faults.max_delay_s)(random); }
bool Cluster::chance(double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}
void Cluster::post(double delay_s, std::function<void()> action) {
  events_.emplace(now_ + core::to_duration(delay_s), std::move(action));
}
void Cluster::after(double seconds, std::function<void()> action) { post(seconds, std::move(action)); }

void Cluster::recover_store() {
  constexpr double kSlowReadsS = 0.6;
  slow_reads_until_ = now_ + core::to_duration(kSlowReadsS);
  store.recover(now_);
}

void Cluster::execute_withheld_writes() {
  for (const auto& write : std::exchange(withheld_writes_, {})) write();
}

std::string Cluster::add_unlisted_machine(const std::string& zone, std::size_t controller) {
  const auto name = cloud.add_machine(zone, now_, 0);
  cloud.hosts[name].spot = cloud.hosts[name].unlisted = true;
  agents[name] = new_agent(cloud.hosts[name]);
  agents[name].controller = controller;
  return name;
}

void Cluster::remove_machine(const std::string& name) {
  cloud.hosts.erase(name);
  agents.erase(name);
}

void Cluster::run(double seconds) {
  const auto end = now_ + core::to_duration(seconds);
  while (now_ < end) step();
}

Agent Cluster::new_agent(const CloudService::Host& host) const {
  Agent agent;
  agent.name = host.name;
  agent.endpoint = host.endpoint;
  agent.type = host.type;
  agent.zone = host.zone;
  agent.spot = host.spot;
  agent.last_answered = agent.next_heartbeat = now_;
  return agent;
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
  for (const auto& [name, host] : cloud.hosts) {
    if (!agents.contains(name) && host.ready_at <= now_) agents[name] = new_agent(host);
  }
  for (auto& [_, agent] : agents) step_agent(agent);
  check_rules();
}

std::size_t Cluster::busiest_leader() const {
  std::map<std::size_t, int> partitions_led;
  for (const auto& [key, value] : store.items_with_prefix("parts/"))
    ++partitions_led[static_cast<std::size_t>(value.at("owner").as_string().back() - '0')];
  std::size_t busiest = 0;
  for (const auto& [controller, count] : partitions_led)
    if (count > partitions_led[busiest]) busiest = controller;
  return busiest;
}

}  // namespace finchrun::sim
