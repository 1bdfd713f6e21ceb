#include "sim/deployment.hpp"

namespace finchrun::sim {

double Deployment::delay() { return random_s(0.001, faults.max_delay_s); }
bool Deployment::chance(double probability) { return probability > 0 && random_s(0, 1) < probability; }
double Deployment::random_s(double from_s, double to_s) {
  return std::uniform_real_distribution<double>(from_s, to_s)(random);
}

void Deployment::recover_store() {
  constexpr double kSlowReadsS = 0.6;
  slow_reads_until_ = now_ + core::to_duration(kSlowReadsS);
  store.recover(now_);
}

std::string Deployment::add_unlisted_machine(const std::string& zone, std::size_t controller) {
  const auto name = cloud.add_machine(zone, now_, 0);
  cloud.hosts[name].spot = cloud.hosts[name].unlisted = true;
  agents[name] = new_agent(cloud.hosts[name]);
  agents[name].controller = controller;
  return name;
}

void Deployment::remove_machine(const std::string& name) {
  cloud.hosts.erase(name);
  agents.erase(name);
}

Agent Deployment::new_agent(const CloudService::Host& host) const {
  Agent agent;
  agent.name = host.name;
  agent.endpoint = host.endpoint;
  agent.type = host.type;
  agent.zone = host.zone;
  agent.spot = host.spot;
  agent.last_answered = agent.next_heartbeat = now_;
  return agent;
}

void Deployment::step_agents() {
  for (const auto& [name, host] : cloud.hosts) {
    if (!agents.contains(name) && host.ready_at <= now_) agents[name] = new_agent(host);
  }
  for (auto& [_, agent] : agents) step_agent(agent);
}

std::size_t Deployment::leader_of(const std::string& partition) const {
  const auto records = store.items_with_prefix("parts/" + partition);
  return static_cast<std::size_t>(records.at("parts/" + partition).at("owner").as_string().back() - '0');
}

std::size_t Deployment::busiest_leader() const {
  std::map<std::size_t, int> partitions_led;
  for (const auto& [key, value] : store.items_with_prefix("parts/"))
    ++partitions_led[static_cast<std::size_t>(value.at("owner").as_string().back() - '0')];
  std::size_t busiest = 0;
  for (const auto& [controller, count] : partitions_led)
    if (count > partitions_led[busiest]) busiest = controller;
  return busiest;
}

}  // namespace finchrun::sim
