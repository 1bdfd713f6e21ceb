// The world around the controllers: agents, users, the key-value store and the cloud, with the checks of the
// protocol's rules. How messages travel and how time passes is left to the derived classes: a simulated
// network and clock (cluster.hpp), or processes and sockets (soak/real_deployment.hpp).
#pragma once

#include <memory>
#include <random>

#include "config/settings.hpp"
#include "http/server.hpp"
#include "sim/services.hpp"

namespace finchrun::sim {

/// Random faults of the network and the key-value store; the probabilities are between 0 and 1.
struct Faults {
  double request_loss_probability = 0;   // the request never arrives, and the caller times out
  double response_loss_probability = 0;  // the request is executed, but the response is lost
  double late_request_probability = 0;   // the request is executed after the caller has timed out
  double max_delay_s = 0.02;
  double duplicate_heartbeat_probability = 0;  // a copy of a heartbeat reaches a random controller later
  double max_duplicate_delay_s = 40;
  // A transaction gets no response and is executed 2 to 12 s later, after newer ones.
  double late_write_probability = 0;
  // A request to the key-value store or the cloud that was executed and answered is executed once more, up to
  // `max_duplicate_delay_s` later.
  double repeated_request_probability = 0;
  // A direct command gets no response and is executed later, by 2 s to `max_late_command_s`.
  double late_command_probability = 0, max_late_command_s = 16;
  // A response of the key-value store or of an agent arrives later, by up to `max_slow_response_s`.
  double slow_response_probability = 0, max_slow_response_s = 1.2;
  double store_delay_s = 0;  // additional delay of the key-value store
  // Additional delay of the reads of the store's changes that are sent right after `recover_store`.
  double slow_read_delay_s = 0;
};

/// The agents' intervals and deadlines in the settings.
struct AgentTiming {
  double heartbeat_interval_s = 1, agent_lease_s = 10, cancel_s = 30;
};

/// Agents, users, the key-value store and the cloud of one deployment, implemented in deployment.cpp,
/// agents.cpp, users.cpp and rules.cpp.
class Deployment {
 public:
  virtual ~Deployment() = default;
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void after(double seconds_from_now, std::function<void()> action) {
    post(seconds_from_now, std::move(action));
  }
  void submit(int tasks, bool gang, double gpus, double run_s, const std::string& team,
              const std::string& priority, bool spot = false, const std::string& zone = {},
              double run_increment_s = 0);
  // Submits a service with small replicas that are spread over zones. Returns its id.
  std::string submit_service(int replicas, const std::string& team);
  // Called with the job's id when a task has completed.
  std::function<void(const std::string&)> on_task_completed;
  void cancel(const std::string& id);
  // Sends a user's request once to one controller, and calls `done` with the status and body of the response.
  void request_once(std::size_t controller, const std::string& method, const std::string& target,
                    const std::string& body, std::function<void(int, std::string)> done);
  // Asks one controller about a job that nobody has submitted, and checks the rule `invented`.
  void ask_about_an_unknown_job(std::size_t controller);
  // Checks the rule `nothing_ran`, once at the end of a run.
  void check_at_the_end();
  // Ends an outage of the key-value store. The next reads of its changes are slow by `slow_read_delay_s`.
  void recover_store();
  // Adds a spot instance that is up at once and that no list of the cloud shows. Its agent sends its first
  // heartbeat to `controller`. Returns its name.
  std::string add_unlisted_machine(const std::string& zone, std::size_t controller);
  // Removes a machine with everything on it, without notice.
  void remove_machine(const std::string& name);
  // Returns the controller that leads the most partitions according to the key-value store.
  [[nodiscard]] std::size_t busiest_leader() const;
  // Returns the partition's leader according to the key-value store.
  [[nodiscard]] std::size_t leader_of(const std::string& partition) const;
  // Suspends an agent; commands that arrive meanwhile are executed when it resumes.
  void suspend(Agent& agent, double duration_s);
  // Delivers to every agent that can be reached each direct command that it has executed once more.
  void repeat_commands();
  // A machine is back at once without its tasks, in the same or the next incarnation of its agent. The agent
  // keeps its fencing token.
  void restart(Agent& agent, bool new_incarnation);

  // A description of each violation of a rule.
  std::vector<std::string> violations;
  Faults faults;
  StoreService store;
  CloudService cloud;
  std::map<std::string, JobHistory> jobs;
  std::map<std::string, Agent> agents;
  // A controller and what it is cut off from, in both directions: "state", "cloud", "peers" or a zone.
  std::set<std::pair<std::size_t, std::string>> blocked_links;
  std::set<std::size_t> refused_by_store;  // the key-value store responds to them with 503
  // The end of the faults, from which the checks for starvation and forgotten jobs count their time.
  TimePoint faults_over_at;
  std::size_t task_starts = 0;
  std::size_t repeated_commands = 0;
  std::size_t starts_by_repeated_commands = 0;  // of attempts that their agents did not know
  std::size_t tasks_killed_by_lease = 0;        // tasks of jobs whose cancellation was not requested
  std::size_t starts_after_cancellation = 0;    // task starts after the user was told of the cancellation
  // Replica time of services from 5 s after their acceptance until their cancellation is requested.
  double expected_replica_s = 0, served_replica_s = 0;
  std::mt19937 random;

 protected:
  explicit Deployment(std::uint32_t seed) : random(seed) {}

  /// Calls `action` after `delay_s`.
  virtual void post(double delay_s, std::function<void()> action) = 0;
  /// Sends a request to a controller and calls `done` once, with nullopt if no response arrives within
  /// `timeout_s`.
  virtual void send_request(std::size_t controller, http::Request request,
                            std::function<void(std::optional<http::Response>)> done, double timeout_s) = 0;
  [[nodiscard]] virtual std::size_t controller_count() const = 0;

  [[nodiscard]] double delay();
  [[nodiscard]] bool chance(double probability);
  [[nodiscard]] double random_s(double from_s, double to_s);
  // Starts the agents of machines that have booted and advances all agents.
  void step_agents();
  [[nodiscard]] Agent new_agent(const CloudService::Host& host) const;
  // The rules, in rules.cpp.
  void check_rules();
  void check_start(const Agent& agent, const Task& task);

  config::Settings settings_;
  TimePoint now_;
  TimePoint slow_reads_until_;

 private:
  // Agents, in agents.cpp.
  void step_agent(Agent& agent);
  void expire_lease(Agent& agent);
  bool step_task(Agent& agent, Task& task);
  [[nodiscard]] bool is_gang_present(const Task& task) const;
  bool end_without_gang_peers(Agent& agent, Task& task);
  void run_task(Agent& agent, Task& task);
  void start_task(Agent& agent, Task& task);
  void send_heartbeat(Agent& agent);
  void handle_heartbeat_response(Agent& agent, TimePoint sent, std::uint64_t incarnation,
                                 const std::optional<http::Response>& response);
  // Users, in users.cpp.
  std::string submit_job(JobHistory history);
  void send_submission(const std::string& id, int tries);
  void poll_status(const std::string& id);
  // The rules, in rules.cpp.
  struct FreeCapacity {
    std::map<std::string, double> gpus_by_team;  // GPUs left under the team's limit
    // The free GPUs of each machine.
    std::map<std::string, std::vector<double>> machine_gpus_by_zone;
    std::map<std::string, std::size_t> tasks;  // by job: tasks on machines or told to start
  };
  void check_starvation();
  void check_kind(const Agent& agent, const Task& task);
  void check_scatter(const Agent& agent, const Task& task);
  [[nodiscard]] FreeCapacity free_capacity() const;
  static bool could_start(const std::string& id, const JobHistory& job, const FreeCapacity& capacity);
  void add_replica_time();
  template <class F>
  void for_each_task(F visit) const {
    for (const auto& [_, agent] : agents)
      for (const auto& [_key, task] : agent.tasks) visit(agent, task);
  }

  std::map<std::string, TimePoint> startable_since_;  // by waiting job: since when it could start
  int next_job_ = 0;
};

}  // namespace finchrun::sim
