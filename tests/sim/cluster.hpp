// A deployment in one process under a simulated clock: real controllers, stand-ins for all else, a network
// that delays, loses, repeats and delivers late; and a check of the protocol's rules after every step.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>

#include "app/controller.hpp"
#include "sim/services.hpp"
#include "sim/traffic_digest.hpp"

namespace finchrun::sim {

/// What goes wrong at random; the chances are between 0 and 1.
struct Faults {
  double lose_request = 0;  // never arrives; the caller waits in vain
  double lose_answer = 0;   // carried out, the answer lost
  double late_request = 0;  // the caller has given up by the time it is carried out
  double max_delay_s = 0.02;
  double copy_report = 0;  // a copy of the heartbeat comes once more, to any controller, up to so much later
  double copy_after_s = 40;
  double late_write = 0;  // a transaction gets no answer and is carried out 2 to 12 s later, after newer ones
  double slow_state_s = 0;  // the key-value store answers so much later
};

/// What the settings say about agents.
struct Timing {
  double report_s = 1, lease_s = 10, cancel_s = 30;
};

/// One simulated deployment. Its parts: network.cpp, agents.cpp, users.cpp, rules.cpp, services.cpp.
class Cluster {
 public:
  explicit Cluster(std::uint32_t seed, int controllers = 3, int machines_per_zone = 3, Timing timing = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Controllers that boot from now on are told of these limits of the key-value store.
  void announce(const config::StateLimits& limits) { settings_.state_limits = limits; }
  void run(double seconds);
  void at(double seconds_from_now, std::function<void()> what);
  void crash(std::size_t node, double back_s);
  void submit(int tasks, bool gang, double gpus, double run_s, const std::string& team,
              const std::string& priority, bool spot = false, const std::string& zone = {},
              double apart_s = 0);
  // A job of so many small replicas, spread over zones.
  std::string submit_standing(int replicas, const std::string& team);
  // Called when a task has completed, with its job.
  std::function<void(const std::string&)> on_end;
  void cancel(const std::string& id);
  // A user asks one controller, once; the answer's status.
  void ask_once(std::size_t node, const std::string& method, const std::string& target,
                const std::string& body, std::function<void(int, std::string)> done);
  // The controller that leads most partitions, as the key-value store has it.
  [[nodiscard]] std::size_t busiest() const;
  // Everything that has passed over the simulated sockets so far, with its time: equal for two builds that
  // behave alike. It is printed when the cluster ends, if FINCHRUN_TRAFFIC_DIGEST is set.
  [[nodiscard]] const TrafficDigest& traffic() const { return traffic_; }
  // It hangs that long; commands that reach it are carried out when it goes on.
  void hang(Agent& agent, double for_s);

  // Every broken rule, in words.
  std::vector<std::string> broken;
  Faults faults;
  StateService state;
  CloudService cloud;
  std::map<std::string, JobTruth> jobs;
  std::map<std::string, Agent> agents;
  std::set<std::pair<std::size_t, std::string>>
      cut;                        // node can't reach (and isn't reached by) "state", "cloud", "peers", zone
  std::set<std::size_t> refused;  // the key-value store answers 503 to these alone
  std::set<std::size_t> frozen;   // stand still while their clocks and the world go on
  // From then on every accepted job that is not cancelled must be answered about: see `check`.
  TimePoint troubles_over;
  std::size_t starts = 0;
  std::size_t killed_by_lease = 0;    // tasks of jobs that are not called off
  std::size_t started_cancelled = 0;  // starts of jobs whose user knew them to be cancelled
  // Replica time of standing jobs from 5 s after their acceptance until they are called off.
  double replica_s_due = 0, replica_s_served = 0;
  std::mt19937 random;

 private:
  struct Node;
  struct Line;
  struct Net;
  struct PeerLine;
  friend struct Line;
  void deliver_frame(std::size_t node, const std::string& frame, std::function<void(std::string)> done);

  void post(double delay_s, std::function<void()> what);
  double delay();
  bool chance(double p);
  void boot(std::size_t node);
  void step();
  // Agents, in agents.cpp.
  void step_agent(Agent& agent);
  void expire_lease(Agent& agent);
  bool step_task(Agent& agent, Task& task);
  void run_task(Agent& agent, Task& task);
  void start_task(Agent& agent, Task& task);
  void send_heartbeat(Agent& agent);
  void take_heartbeat_answer(Agent& agent, TimePoint sent, std::uint64_t incarnation,
                             const std::optional<http::Response>& response);
  // Users, in users.cpp.
  std::string enter(JobTruth truth);
  void request_submission(const std::string& id, int tries);
  void poll_status(const std::string& id);
  // The network, in network.cpp.
  void ask(std::size_t node, http::Request request, std::function<void(std::optional<http::Response>)> done,
           double limit_s);
  Answer deliver(std::size_t node, const config::Endpoint& to, http::Verb verb, const std::string& target,
                 const std::string& body);
  Answer deliver_undigested(std::size_t node, const config::Endpoint& to, http::Verb verb,
                            const std::string& target, const std::string& body);
  [[nodiscard]] bool reachable(std::size_t node, const config::Endpoint& to) const;
  // The rules, in rules.cpp.
  struct Room {
    std::map<std::string, double> by_team;                  // what its limit leaves, in accelerators
    std::map<std::string, std::vector<double>> by_machine;  // by zone: what each machine has free
    std::map<std::string, std::size_t> tasks;               // by job: on machines, or told to start
  };
  void check();
  void check_start(const Agent& agent, const Task& task);
  void check_waiting();
  void check_scatter(const Agent& agent, const Task& task);
  [[nodiscard]] Room room_left() const;
  static bool could_start(const std::string& id, const JobTruth& job, const Room& room);
  void count_replicas();
  template <class F>
  void for_each_task(F visit) const {
    for (const auto& [_, agent] : agents)
      for (const auto& [_key, task] : agent.tasks) visit(agent, task);
  }

  config::Settings settings_;
  std::map<std::string, TimePoint> fits_since_;  // waiting jobs for which there has been room, since when
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::uint32_t> boots_;
  int next_job_ = 0;
  TrafficDigest traffic_;
};

}  // namespace finchrun::sim
