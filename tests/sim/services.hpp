// Fakes of the key-value store, the cloud and the agents, written from the protocol. They exchange its
// messages, so the controllers under test run their real clients.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "http/transport.hpp"

namespace finchrun::sim {

namespace asio = boost::asio;
namespace json = boost::json;
using core::TimePoint;
using http::ClientResponse;

/// A key-value store with revisions, store leases, compare-and-swap transactions and a change feed.
class StoreService {
 public:
  ClientResponse handle(http::Verb verb, const std::string& target, const std::string& body, TimePoint now);
  bool outage = false;
  // Limits of new writes; values stored before stay readable.
  std::size_t max_value_bytes = 8192, max_transaction_writes = 16;
  std::size_t max_changes_kept = 400;  // fewer than the protocol's, so that simulated days exceed them
  std::size_t rejected_for_size = 0;   // requests rejected with 400 for exceeding a limit
  // Ends an outage and renews every store lease for its full term.
  void recover(TimePoint now);
  [[nodiscard]] std::map<std::string, json::value> items_with_prefix(const std::string& prefix) const;
  // Returns the number of retained changes to keys with the prefix.
  [[nodiscard]] std::size_t change_count(const std::string& prefix) const;

 private:
  struct Item {
    json::value value;
    std::uint64_t revision = 0, store_lease = 0;
  };
  struct StoreLease {
    TimePoint ends;
    double ttl_s = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::optional<json::value> value;
  };
  void expire_leases(TimePoint now);
  ClientResponse commit(const std::string& body);
  std::optional<ClientResponse> refuse(const json::object& transaction, std::size_t body_bytes);
  [[nodiscard]] ClientResponse changes_since(std::uint64_t revision) const;
  [[nodiscard]] ClientResponse page(const std::string& after, std::size_t limit) const;
  ClientResponse grant_lease(double ttl_s, TimePoint now);
  ClientResponse renew_lease(std::uint64_t store_lease, TimePoint now);
  ClientResponse too_large(const char* reason);
  std::uint64_t revision_ = 0, next_store_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, StoreLease> store_leases_;
  std::deque<Change> changes_;
};

/// A task on an agent; `state` is the protocol's name of its state.
struct Task {
  std::string job;
  std::uint32_t number = 0;
  std::uint64_t attempt = 0;
  std::string state = "pulling";  // pulling, waiting, running, flushing, ended
  std::string cause;
  bool checkpoint_saved = false;
  TimePoint next_transition;  // when the next transition is due
  double progress_at_start = 0;
  std::optional<TimePoint> peers_missing_since;  // of a running gang's task
  [[nodiscard]] bool is_on_machine() const {
    return state == "waiting" || state == "running" || state == "flushing";
  }
};

/// What happened to a job, and what its user was told.
struct JobHistory {
  json::object spec;
  std::uint32_t tasks = 1;
  bool gang = false;
  bool is_service = false;  // a service, whose replicas run until it is cancelled
  double run_s = 5, image_pull_s = 1, checkpoint_write_s = 1;
  double run_increment_s = 0;  // each task runs longer than the previous one by this time
  std::string team;
  double gpus = 0;
  std::set<std::uint32_t> completed;
  bool accepted = false, reported_done = false, cancellation_requested = false;
  TimePoint accepted_at;
  TimePoint last_response_at;  // time of the last response with status 200
  std::optional<TimePoint> reported_cancelled_at;
};

/// One machine's agent.
class Agent {
 public:
  std::string name, endpoint, type, zone;
  bool spot = false;
  bool dead = false, suspended = false;
  bool outbound_blocked = false;               // its heartbeats reach no controller, but commands reach it
  std::vector<std::string> deferred_commands;  // commands that arrived while it was suspended
  bool inbound_blocked = false;  // its heartbeats arrive, but responses and commands do not reach it
  bool faulty = false;           // its tasks end with `error`
  int refused_starts = 0;        // number of next starts that it refuses with `full`
  // Direct commands that it has executed and answered. The network may deliver them again at any time.
  std::vector<std::string> executed_commands;
  std::size_t starts_executed = 0;  // start commands of attempts unknown to it
  std::uint64_t agent_incarnation = 1, sequence = 0, fencing_token = 0;
  TimePoint last_answered;  // send time of the last heartbeat that got a response
  std::map<std::pair<std::string, std::uint32_t>, Task> tasks;
  std::size_t controller = 0;  // the controller that it sends heartbeats to
  bool in_flight = false;
  TimePoint next_heartbeat;
  bool changed = false;

  json::object heartbeat();
  // Executes commands; `jobs` are all submitted jobs.
  void execute(const json::array& commands, std::map<std::string, JobHistory>& jobs, TimePoint now);
  ClientResponse handle_commands(const std::string& body, std::map<std::string, JobHistory>& jobs,
                                 TimePoint now);
  // Receives every executed direct command once more, and drops those that it refuses: it refuses them for
  // good. Returns their number.
  std::size_t repeat_commands(std::map<std::string, JobHistory>& jobs, TimePoint now);
  void expire_lease(double lease_s, TimePoint now);

 private:
  // Executes direct commands; returns false if their fencing token or incarnation does not match.
  bool execute_direct(const json::object& request, std::map<std::string, JobHistory>& jobs, TimePoint now);
};

/// A cloud with one machine type and a list of machines that lags behind.
class CloudService {
 public:
  ClientResponse handle(http::Verb verb, const std::string& target, const std::string& body, TimePoint now);
  struct Host {
    std::string name, endpoint, type, zone;
    bool spot = false;
    TimePoint rented, ready_at;
    bool dead = false;
    bool unlisted = false;  // in no list
  };
  std::map<std::string, Host> hosts;
  std::function<void(const std::string&)> on_release;
  bool outage = false;
  int capacity = 4;       // per zone
  int spot_capacity = 0;  // spot machines per zone
  // Returns the address of the machine with this number.
  std::function<std::string(int)> endpoint_of = [](int number) {
    return "10.1.0." + std::to_string(number + 1) + ":9000";
  };
  int machines_never_ready = 0;  // number of the next rented machines that never finish booting
  // Called with the names of each deletion request. A response is returned instead of deleting the machines.
  std::function<std::optional<ClientResponse>(const std::vector<std::string>&)> refuse_release;
  // Which of the lists of the last six seconds a request gets: twice the lag of the settings.
  enum class ListAge {
    usual,    // three seconds, up to six if requests are rare
    longest,  // up to six seconds
    varying,  // any: a list may be older than the one before it
  } list_age = ListAge::usual;
  std::size_t list_requests = 0, release_requests = 0;  // that arrived
  std::string add_machine(const std::string& zone, TimePoint now, double boot_s);

 private:
  std::map<std::string, std::vector<std::string>> machines_by_request_;
  std::deque<std::pair<TimePoint, json::array>> recent_lists_;
  json::array list(TimePoint now) const;
  ClientResponse lagging_list(const std::string& target, TimePoint now);
  ClientResponse release(const json::array& names);
  std::mt19937 random_;
  int next_machine_number_ = 0;
};

}  // namespace finchrun::sim
