// Simulates a deployment in one process under a simulated clock: real controllers, fakes of the services and
// agents, and a faulty network. Checks the protocol's rules after every step.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "app/controller.hpp"
#include "sim/deployment.hpp"
#include "sim/traffic_digest.hpp"

namespace finchrun::sim {

/// One simulated deployment, implemented in cluster.cpp and network.cpp.
class Cluster : public Deployment {
 public:
  explicit Cluster(std::uint32_t seed, int controllers = 3, int machines_per_zone = 3,
                   AgentTiming timing = {});
  ~Cluster() override;
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Sets the limits of the key-value store in the settings of controllers that boot from now on.
  void announce_store_limits(const config::StoreLimits& limits) { settings_.store_limits = limits; }
  void run(double seconds);
  void crash(std::size_t controller, double restart_after_s);
  // Called with each transaction. If it returns true, the transaction gets no response and is held back until
  // `execute_withheld_writes`.
  std::function<bool(const json::object&)> withhold_write;
  // Executes the transactions that were held back, in the order in which they were sent.
  void execute_withheld_writes();
  [[nodiscard]] std::size_t withheld_write_count() const { return withheld_writes_.size(); }
  // Called with the body of each direct command. If it returns true, the command gets no response and is held
  // back until `execute_withheld_commands`.
  std::function<bool(const json::object&)> withhold_command;
  void execute_withheld_commands();
  [[nodiscard]] std::size_t withheld_command_count() const { return withheld_commands_.size(); }
  // The digest of all simulated messages so far and their times, which is equal for two builds that behave
  // alike. The destructor prints it if FINCHRUN_TRAFFIC_DIGEST is set.
  [[nodiscard]] const TrafficDigest& traffic() const { return traffic_; }
  std::set<std::size_t> suspended_controllers;  // their event loops stop, but time passes

 private:
  struct ControllerProcess;
  struct ServiceConnection;
  struct SimulatedNetwork;
  struct PeerConnection;
  friend struct ServiceConnection;
  void deliver_frame(std::size_t controller, const std::string& frame, std::function<void(std::string)> done);

  void post(double delay_s, std::function<void()> action) override;
  [[nodiscard]] std::size_t controller_count() const override { return processes_.size(); }
  void boot(std::size_t controller);
  void step();
  // The network, in network.cpp.
  void repeat_later(std::size_t controller, const config::Endpoint& to, http::Verb verb,
                    const std::string& target, const std::string& body);
  bool delay_write(std::size_t controller, const config::Endpoint& to, const std::string& body);
  // Returns true if the direct command is held back.
  bool withhold(std::size_t controller, const config::Endpoint& to, const std::string& body);
  [[nodiscard]] double store_delay_s(const std::string& target) const;
  void send_request(std::size_t controller, http::Request request,
                    std::function<void(std::optional<http::Response>)> done, double timeout_s) override;
  ClientResponse deliver(std::size_t controller, const config::Endpoint& to, http::Verb verb,
                         const std::string& target, const std::string& body);
  ClientResponse deliver_unrecorded(std::size_t controller, const config::Endpoint& to, http::Verb verb,
                                    const std::string& target, const std::string& body);
  [[nodiscard]] bool can_reach(std::size_t controller, const config::Endpoint& to) const;

  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
  std::vector<std::function<void()>> withheld_writes_, withheld_commands_;
  TrafficDigest traffic_;
};

}  // namespace finchrun::sim
