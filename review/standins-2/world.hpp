// The world of one case: controllers as processes of the deploy file's build on loopback; the store, the
// cloud, the agents and the users are the models of tests/sim behind sockets and in real time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "sim/deployment.hpp"
#include "soak/controller_process.hpp"

namespace finchrun::review {

namespace asio = boost::asio;
namespace json = boost::json;

/// The teams: one with room to spare, and one with a limit of four accelerators.
inline constexpr const char* kTeam = "press";
inline constexpr const char* kLimitedTeam = "bindery";
inline constexpr double kTeamGpus = 120, kLimitedTeamGpus = 4;

/// A machine type of the cloud.
struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, ram_gb = 0;
  std::vector<std::string> zones;
};

/// What the cloud still has of a kind: "type|zone|spot" or "type|zone|own".
using Capacity = std::map<std::string, int>;

using Condition = std::function<bool()>;

/// A job as its user submits it; the rest is in the fields of the protocol.
struct JobSpec {
  std::string shape = "array", priority = "normal", team = kTeam;
  int tasks = 1;
  double cpus = 1, gpus = 1, ram_gb = 4;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool together = false, scatter = false, spot = false;
  double run_s = 5;
  bool mistaken = false;  // fails on every machine
};

class World : public sim::Deployment {
 public:
  World(asio::io_context& io, std::vector<std::string> command, const std::filesystem::path& folder);
  ~World() override;

  // Set before `start`.
  std::vector<MachineType> types;
  Capacity capacity;

  double store_delay_s = 0.002;
  double store_rps = 150, store_write_rps = 50;
  bool announces_limits = false;  // the settings have `deployment.state.next`
  double new_machine_s = 2;       // from the rental: "at times machines are up within a second or two"

  void start();
  /// The store has its announced limits from now on.
  void lower_limits();
  /// All controllers end at once and are started again later.
  void crash_all(double restart_after_s);
  /// Writes the records of `count` further jobs like this one to the store, as fast as `per_s`. The value is
  /// the one that the controllers have written for the job.
  asio::awaitable<void> add_history(const std::string& like, int count, double per_s);
  /// Asks about the job at every controller in turn, every `pause_s`, and calls `answered` for each status
  /// 200.
  asio::awaitable<void> keep_asking(std::string id, double pause_s, std::function<void()> answered);
  std::string add_machine(const std::string& type, const std::string& zone, bool spot);
  /// The cloud takes a spot machine back, without notice.
  void take_back(const std::string& machine);

  /// Submits the job as a user does, with retries, and polls it until it is over. Returns its id.
  std::string submit_job(const JobSpec& spec);
  /// Cancels the job as a user does, with retries.
  void cancel_job(const std::string& id);

  asio::awaitable<void> sleep(double seconds);
  /// Waits for the condition; returns false after `timeout_s`. `condition` must be a named variable: GCC 12
  /// may destroy the temporaries of a co_await twice.
  asio::awaitable<bool> wait_until(const Condition& condition, double timeout_s);

  [[nodiscard]] bool is_ready() const;
  [[nodiscard]] bool is_done(const std::string& id) const { return jobs.at(id).reported_done; }
  [[nodiscard]] bool is_cancelled(const std::string& id) const {
    return jobs.at(id).reported_cancelled_at.has_value();
  }
  [[nodiscard]] std::size_t running(const std::string& id) const;
  /// The machines on which tasks of the job run.
  [[nodiscard]] std::set<std::string> machines_of(const std::string& id) const;
  /// Returns a machine that has room for a waiting task of the job, if there are both: it is up, its reports
  /// are answered, its type, zone and kind are allowed given the job's other tasks, and the job's team is
  /// under its limit. Empty if not.
  [[nodiscard]] std::string machine_with_room(const std::string& id) const;
  /// The machines on which a task of the job has failed.
  std::map<std::string, std::set<std::string>> failed_on;

  void record(const std::string& text);
  [[nodiscard]] double elapsed_s() const;
  /// A controller has ended by itself.
  [[nodiscard]] bool any_ended();

 private:
  struct Controller {
    std::string label, zone;
    config::Endpoint listen, peer_listen, store, cloud;
    std::unique_ptr<soak::ControllerProcess> process;
    std::unique_ptr<http::Client> users, agents;
  };
  void post(double delay_s, std::function<void()> action) override;
  void send_request(std::size_t controller, http::Request request,
                    std::function<void(std::optional<http::Response>)> done, double timeout_s) override;
  [[nodiscard]] std::size_t controller_count() const override { return controllers_.size(); }
  asio::awaitable<void> call(std::size_t controller, http::Request request,
                             std::function<void(std::optional<http::Response>)> done, double timeout_s);
  void submit_once(const std::string& id);
  void poll(const std::string& id);
  asio::awaitable<http::Response> handle_store(http::Request request);
  asio::awaitable<http::Response> handle_cloud(http::Request request);
  asio::awaitable<http::Response> handle_commands(std::string machine, http::Request request);
  [[nodiscard]] std::string flavors() const;
  http::Response rent(const json::object& request);
  config::Endpoint next_endpoint();
  std::string listen_for_agent(int number);
  [[nodiscard]] std::string settings_of(std::size_t number) const;
  [[nodiscard]] const MachineType& type_of(const std::string& name) const;
  asio::awaitable<void> tick();
  void fail_mistaken_tasks();
  void record_tasks();
  void update_now() { now_ = core::SteadyClock::now(); }

  asio::io_context& io_;
  std::vector<std::string> command_;
  std::filesystem::path folder_, temporary_;
  std::shared_ptr<core::SocketDeadlines> deadlines_;
  std::vector<Controller> controllers_;
  core::TimePoint started_at_;
  std::string host_;
  std::uint16_t next_port_ = 10000;  // below those that the system gives to connections
  std::ofstream record_;
  std::set<std::string> mistaken_;
  std::map<std::string, std::string> task_states_;  // by machine and task
  std::map<std::string, json::array> rented_;       // by request name
  int next_job_number_ = 1;
};

}  // namespace finchrun::review
