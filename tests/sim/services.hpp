// Stand-ins for the key-value store, the cloud and the agents, written from the protocol. They speak its
// messages, so the controllers under test run their real clients.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "http/transport.hpp"

namespace finchrun::sim {

namespace asio = boost::asio;
namespace json = boost::json;
using core::TimePoint;
using http::Answer;

/// The key-value store: revisions, store leases, compare-and-swap transactions, a feed of changes.
class StateService {
 public:
  Answer handle(http::Verb verb, const std::string& target, const std::string& body, TimePoint now);
  bool outage = false;
  // What it takes from now on; what is stored stays readable.
  std::size_t value_bytes = 8192, transaction_writes = 16;
  std::size_t refused_for_size = 0;  // requests answered 400 for a limit
  // Outage over: every store lease has its full time again.
  void recover(TimePoint now);
  [[nodiscard]] std::map<std::string, json::value> under(const std::string& prefix) const;
  // How often a key with the prefix has been set, of the changes that are kept.
  [[nodiscard]] std::size_t changes_of(const std::string& prefix) const;

 private:
  struct Item {
    json::value value;
    std::uint64_t revision = 0, store_lease = 0;
  };
  struct StoreLease {
    TimePoint ends;
    double ttl_s = 0;
  };
  struct Logged {
    std::uint64_t revision;
    std::string key;
    std::optional<json::value> value;
  };
  void expire(TimePoint now);
  Answer commit(const json::object& transaction);
  [[nodiscard]] Answer changes_since(std::uint64_t revision) const;
  [[nodiscard]] Answer page(const std::string& after, std::size_t limit) const;
  Answer grant_lease(double ttl_s, TimePoint now);
  Answer renew_lease(std::uint64_t store_lease, TimePoint now);
  Answer too_large(const char* what);
  std::uint64_t revision_ = 0, next_store_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, StoreLease> store_leases_;
  std::deque<Logged> log_;
};

/// A task on an agent; `state` is the protocol's word.
struct Task {
  std::string job;
  std::uint32_t number = 0;
  std::uint64_t attempt = 0;
  std::string state = "pulling";  // pulling, waiting, running, flushing, ended
  std::string cause;
  bool saved = false;
  TimePoint next;  // when the state changes by itself
  double progress_at_start = 0;
  [[nodiscard]] bool on_machine() const {
    return state == "waiting" || state == "running" || state == "flushing";
  }
};

/// What really happened to a job, and what its user was told.
struct JobTruth {
  json::object spec;
  std::uint32_t tasks = 1;
  bool gang = false;
  bool standing = false;  // its replicas run until it is cancelled
  double run_s = 5, fetch_s = 1, save_s = 1;
  double apart_s = 0;  // each task runs so much longer than the one before
  std::string team;
  double gpus = 0;
  std::set<std::uint32_t> done;
  bool accepted = false, told_done = false, asked_cancel = false;
  TimePoint accepted_at;
  TimePoint answered;  // when a question about it was last answered with 200
  std::optional<TimePoint> told_cancelled;
};

/// One machine's agent.
class Agent {
 public:
  std::string name, endpoint, type, zone;
  bool spot = false;
  bool dead = false, hanging = false;
  bool mute = false;              // it reaches no controller; commands reach it
  std::vector<std::string> held;  // commands that came while it hung
  bool unreachable = false;       // its heartbeats arrive; answers and commands do not reach it
  std::uint64_t agent_incarnation = 1, sequence = 0, fencing_token = 0;
  TimePoint last_answered;  // when the last answered heartbeat was sent
  std::map<std::pair<std::string, std::uint32_t>, Task> tasks;
  std::size_t node = 0;  // which controller it heartbeats to
  bool in_flight = false;
  TimePoint next_report;
  bool changed = false;

  json::object heartbeat();
  // Executes commands; `jobs` are what users have submitted.
  void execute(const json::array& commands, std::map<std::string, JobTruth>& jobs, TimePoint now);
  Answer direct(const std::string& body, std::map<std::string, JobTruth>& jobs, TimePoint now);
  void expire(double lease_s, TimePoint now);
};

/// The cloud: one machine type, a list that lags.
class CloudService {
 public:
  Answer handle(http::Verb verb, const std::string& target, const std::string& body, TimePoint now);
  struct Host {
    std::string name, endpoint, type, zone;
    bool spot = false;
    TimePoint rented, up;
    bool dead = false;
  };
  std::map<std::string, Host> hosts;
  std::function<void(const std::string&)> on_release;
  bool outage = false;
  int capacity = 4;       // per zone
  int spot_capacity = 0;  // the same, of spot machines
  int never_up = 0;       // so many of the machines rented next stay starting
  std::string add(const std::string& zone, TimePoint now, double boot_s);

 private:
  std::map<std::string, std::vector<std::string>> answered_;
  std::deque<std::pair<TimePoint, json::object>> lists_;
  json::object list(TimePoint now);
  int next_ = 0;
};

}  // namespace finchrun::sim
