// A deployment of real controller processes on loopback. The store, the cloud, the agents and the users are
// the models of the simulated cluster, behind sockets and in real time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "sim/deployment.hpp"
#include "soak/controller_process.hpp"
#include "soak/options.hpp"
#include "soak/tcp_forwarder.hpp"

namespace finchrun::soak {

/// One seed's deployment. Everything runs on one event loop; only the controllers are other processes.
class RealDeployment : public sim::Deployment {
 public:
  /// Starts the controllers. `folder` gets their settings and logs, and the messages of the agents.
  RealDeployment(asio::io_context& io, const Options& options, std::uint32_t seed,
                 const std::filesystem::path& folder);

  // Faults of controllers and of the links between them. Each is logged with its time.
  void kill_controller(std::size_t controller, double restart_after_s);
  void pause_controller(std::size_t controller, double duration_s);
  /// Keeps back the bytes from and to a controller, or of one direction only.
  enum class LinkDirections { both, requests, answers };
  void hold_peer_links(std::size_t controller, LinkDirections directions, double duration_s);
  void reset_peer_links(std::size_t controller);
  /// Keeps back the direct commands to all machines. They are executed in order afterwards; nobody waits for
  /// their answers.
  void hold_commands(double duration_s);
  /// Called with each transaction that reaches the store, before it is executed.
  std::function<void(const sim::json::object&)> on_commit;

  /// By when tasks of a cancelled job must have ended, and the agents' lease; drawn from the seed.
  [[nodiscard]] double cancel_s() const { return settings_.cancel_s; }
  [[nodiscard]] double agent_lease_s() const { return settings_.agent_lease_s; }
  [[nodiscard]] std::size_t controller_count() const override { return controllers_.size(); }
  /// Runs the event loop for this long, in real time.
  void run(double seconds);
  /// The longest time for which this process's own event loop stood still.
  [[nodiscard]] double longest_stall_s() const { return longest_stall_s_; }
  /// Appends a line to the log of events, with the time since the start.
  void log_event(const std::string& text);
  [[nodiscard]] const std::vector<std::string>& faults_log() const { return faults_log_; }
  void log_fault(const std::string& text);
  [[nodiscard]] std::string time_text() const;

 private:
  struct Controller {
    std::string label, zone;
    config::Endpoint listen, peer_listen, store, cloud;
    std::unique_ptr<ControllerProcess> process;
    std::unique_ptr<http::Client> users, agents;                 // clients of these
    std::map<std::size_t, std::unique_ptr<TcpForwarder>> links;  // by the controller that they lead to
  };
  void post(double delay_s, std::function<void()> action) override;
  void send_request(std::size_t controller, http::Request request,
                    std::function<void(std::optional<http::Response>)> done, double timeout_s) override;
  void set_up_deployment(const Options& options);
  void draw_agent_times();
  void start_controllers(const Options& options, const std::filesystem::path& folder);
  [[nodiscard]] std::string settings_of(std::size_t controller) const;
  asio::awaitable<void> call(std::size_t controller, http::Request request,
                             std::function<void(std::optional<http::Response>)> done, double timeout_s);
  asio::awaitable<void> sleep(double seconds);
  /// Never answers: the caller gives up.
  asio::awaitable<http::Response> no_answer();
  asio::awaitable<http::Response> handle_store(std::size_t controller, http::Request request);
  asio::awaitable<http::Response> handle_cloud(std::size_t controller, http::Request request);
  asio::awaitable<http::Response> handle_commands(std::string machine, http::Request request);
  asio::awaitable<http::Response> respond(http::ClientResponse response);
  config::Endpoint next_endpoint();
  std::string listen_for_agent(int number);
  asio::awaitable<void> tick();
  void update_now() { now_ = core::SteadyClock::now(); }

  asio::io_context& io_;
  std::shared_ptr<core::SocketDeadlines> deadlines_;
  std::vector<Controller> controllers_;
  core::TimePoint started_at_;
  core::TimePoint commands_held_until_{};
  std::string host_;  // loopback address of this process alone
  std::uint16_t next_port_;
  double longest_stall_s_ = 0;
  std::ofstream events_;
  std::vector<std::string> faults_log_;
  std::size_t violations_logged_ = 0;
};

}  // namespace finchrun::soak
