// Client of the cloud: machine types, the lagging machine list, renting and releasing machines.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/resources.hpp"
#include "http/transport.hpp"
#include "state/rate_limiter.hpp"

namespace finchrun::cloud {

namespace asio = boost::asio;

/// A type of machine that the cloud rents out.
struct MachineType {
  std::string name;
  core::Resources size;            ///< of an empty machine
  double cache_gb = 0;             ///< size of the agent's image cache
  double fetch_gb_per_s = 0;       ///< bandwidth for images, shared by concurrent fetches
  double price = 0;                ///< on demand, in the cloud's currency for the cloud's unit of time
  double spot_price = 0;           ///< price as a spot instance
  double boot_s = 0;               ///< usual time from renting to running; may take up to 1.5 times as long
  std::vector<std::string> zones;  ///< zones that offer the type
};

/// A machine in the cloud's list, which lags by up to `cloud_list_lag_s`.
struct ListedMachine {
  std::string name;
  std::string endpoint;  ///< of the agent; empty: not known yet
  std::string type, zone;
  std::string status;  ///< starting, running, failed
  bool spot = false;
  double rented_for_s = 0;  ///< time since it was rented
};

/// The cloud's machine list as it was read, page by page.
struct MachineList {
  std::vector<ListedMachine> machines;
  /// Time before the request of the first page. Every page describes the cloud at most twice
  /// `cloud_list_lag_s` before it, or later.
  core::TimePoint requested_at{};
  /// False: the list has more pages than are read, so a machine that is missing here may exist.
  bool complete = false;
};

/// The reason why a request to the cloud has no usable answer.
enum class Error {
  rate_limited,  ///< this controller's share of the rate limit is used up, or the cloud answered 429
  no_answer,     ///< the request may have been executed, or may still be
  no_capacity,   ///< the cloud has no machine of this kind now
  refused,       ///< any other status except 200
  malformed,     ///< the answer violates the protocol; the request may have been executed
};
/// The name in logs.
const char* name_of(Error error);

template <class T>
using Result = std::variant<T, Error>;

/// Names of the rented machines; fewer than requested if the cloud has no more of the kind.
struct Rented {
  std::vector<std::string> machines;
};
/// The machines and everything on them are certainly gone.
struct Released {};

/// Sends requests within this controller's share of the cloud's rate limit. Never retries: the caller decides
/// whether and when to.
class CloudClient {
 public:
  CloudClient(http::Network& network, const config::Settings& settings);

  /// Reads all machine types; never empty.
  asio::awaitable<Result<std::vector<MachineType>>> machine_types();
  /// Reads the list, page by page, up to a large number of pages. Returns an error if any page fails.
  asio::awaitable<Result<MachineList>> machines();
  /// The interval at which reading the whole list leaves half of the rate limit for renting and releasing.
  [[nodiscard]] double list_interval_s() const { return 2 * static_cast<double>(pages_) / requests_per_s_; }
  /// Rents up to `count` machines. The cloud executes each `request_id` at most once.
  asio::awaitable<Result<Rented>> scale_out(std::string request_id, std::string type, std::string zone,
                                            bool spot, int count);
  /// Deletes the machines, at most 100.
  asio::awaitable<Result<Released>> release(std::vector<std::string> names);

 private:
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body);
  asio::awaitable<void> wait_for_rate_limit();

  std::unique_ptr<http::Transport> client_;
  double requests_per_s_;  // this controller's share of the rate limit
  state::RateLimiter rate_limiter_;
  int pages_ = 1;                 // page count of the longest list so far
  bool list_is_complete_ = true;  // the newest list, for the log
};

}  // namespace finchrun::cloud
