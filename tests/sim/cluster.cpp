#include "sim/cluster.hpp"

#include <cstdio>
#include <cstdlib>

#include "sim/network.hpp"

namespace finchrun::sim {
namespace {

constexpr double kGangPeerS = 4;
constexpr std::chrono::milliseconds kStep{10};
// Processes that were killed: their coroutines are never resumed, so nothing of them may be destroyed either.
std::vector<std::shared_ptr<void>>& graveyard() {
  static auto* dead = new std::vector<std::shared_ptr<void>>;
  return *dead;
}

}  // namespace

Cluster::Cluster(std::uint32_t seed, int controllers, int machines_per_zone, Timing timing)
    : random(seed),
      now_(core::to_duration(1000)),
      nodes_(static_cast<std::size_t>(controllers)),
      boots_(nodes_.size(), 0) {
  core::SteadyClock::simulate(now_);
  settings_.zones = {"a", "b"};
  settings_.nodes = controllers;
  settings_.cloud = {kCloudHost, 1};
  settings_.state = {kStateHost, 1};
  settings_.teams = {{"red", 0, 0, 8, 12}, {"blue", 0, 0, 8, 16}};
  settings_.report_s = timing.report_s;
  settings_.lease_s = timing.lease_s;
  settings_.cancel_s = timing.cancel_s;
  settings_.gang_peer_s = kGangPeerS;
  settings_.state_limits.requests_per_s = 1000;
  settings_.state_limits.writes_per_s = 200;
  settings_.cloud_rps = 30;
  settings_.cloud_list_lag_s = 3;
  cloud.capacity = machines_per_zone + 2;
  cloud.on_release = [this](const std::string& name) { agents.erase(name); };
  for (int i = 0; i < machines_per_zone; ++i)
    for (const char* zone : {"a", "b"}) cloud.add(zone, now_, 0);
  for (std::size_t n = 0; n < nodes_.size(); ++n) boot(n);
}

Cluster::~Cluster() {
  if (std::getenv("FINCHRUN_TRAFFIC_DIGEST"))
    std::printf("traffic digest=%016llx messages=%llu\n", static_cast<unsigned long long>(traffic_.value()),
                static_cast<unsigned long long>(traffic_.messages()));
  for (auto& n : nodes_)
    if (n) graveyard().push_back(std::shared_ptr<Node>(std::move(n)));
  core::SteadyClock::simulate(std::nullopt);
}

void Cluster::boot(std::size_t node) {
  auto settings = settings_;
  settings.label = "perch-" + std::to_string(node);
  settings.zone = node % 2 == 0 ? "a" : "b";
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    if (n != node) settings.members.push_back({"perch-" + std::to_string(n), n % 2 == 0 ? "a" : "b", {}});
  nodes_[node] = std::make_unique<Node>(*this, node, settings, static_cast<std::uint32_t>(random()));
}

void Cluster::crash(std::size_t node, double back_s) {
  if (!nodes_[node]) return;
  graveyard().push_back(std::shared_ptr<Node>(std::move(nodes_[node])));
  at(back_s, [this, node] { boot(node); });
}

double Cluster::delay() { return std::uniform_real_distribution<double>(0.001, faults.max_delay_s)(random); }
bool Cluster::chance(double p) { return p > 0 && std::uniform_real_distribution<double>(0, 1)(random) < p; }
void Cluster::post(double delay_s, std::function<void()> what) {
  events_.emplace(now_ + core::to_duration(delay_s), std::move(what));
}
void Cluster::at(double seconds, std::function<void()> what) { post(seconds, std::move(what)); }

void Cluster::run(double seconds) {
  const auto end = now_ + core::to_duration(seconds);
  while (now_ < end) step();
}

void Cluster::step() {
  now_ += kStep;
  core::SteadyClock::simulate(now_);
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& n = nodes_[i];
    if (!n || frozen.contains(i)) continue;
    for (int quiet = 0; quiet < 2;) quiet = n->io.poll() > 0 ? 0 : quiet + 1;
  }
  for (const auto& [name, host] : cloud.hosts) {
    if (agents.contains(name) || host.up > now_) continue;
    Agent agent;
    agent.name = name;
    agent.endpoint = host.endpoint;
    agent.type = host.type;
    agent.zone = host.zone;
    agent.spot = host.spot;
    agent.last_answered = agent.next_report = now_;
    agents[name] = agent;
  }
  for (auto& [_, agent] : agents) step_agent(agent);
  check();
}

std::size_t Cluster::busiest() const {
  std::map<std::size_t, int> led;
  for (const auto& [key, value] : state.under("parts/"))
    ++led[static_cast<std::size_t>(value.at("owner").as_string().back() - '0')];
  std::size_t most = 0;
  for (const auto& [node, n] : led)
    if (n > led[most]) most = node;
  return most;
}

}  // namespace finchrun::sim
