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

// What the operators set about agents.
struct Timing {
  double report_s = 1, lease_s = 10, cancel_s = 30;
};

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
  // The controller that owns most partitions, as the key-value store has it.
  [[nodiscard]] std::size_t busiest() const;
  // Everything that has passed over the simulated sockets so far, with its time: equal for two builds that
  // behave alike. It is printed when the cluster ends, if FINCHRUN_TRAFFIC_DIGEST is set.
  [[nodiscard]] const TrafficDigest& traffic() const { return traffic_; }
  // It hangs that long; commands that reach it are carried out when it goes on.
  void hang(Agent& w, double for_s);

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
  TimePoint troubles_over{};
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
  void step_agent(Agent& w);
  void send_report(Agent& w);
  void start_task(Agent& w, Task& t);
  void user(const std::string& id, int tries);
  void poll(const std::string& id);
  void ask(std::size_t node, http::Request request, std::function<void(std::optional<http::Response>)> done,
           double limit_s);
  Answer deliver(std::size_t node, const config::Endpoint& to, http::Verb verb, const std::string& target,
                 const std::string& body);
  Answer deliver_unseen(std::size_t node, const config::Endpoint& to, http::Verb verb,
                        const std::string& target, const std::string& body);
  [[nodiscard]] bool reachable(std::size_t node, const config::Endpoint& to) const;
  void check();
  void check_waiting();
  void check_scatter(const Agent& w, const Task& t);
  void count_replicas();
  std::string enter(JobTruth truth);

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
