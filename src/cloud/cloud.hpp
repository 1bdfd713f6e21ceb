// Client of the cloud: machine types, the lagging machine list, renting and returning.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/resources.hpp"
#include "http/transport.hpp"
#include "state/rate_limiter.hpp"

namespace finchrun::cloud {

namespace asio = boost::asio;

/// A type of machine that the cloud rents out.
struct MachineType {
  std::string name;
  core::Resources size;            ///< of an empty machine
  double cache_gb = 0;             ///< of images that its agent keeps
  double fetch_gb_per_s = 0;       ///< of images, shared by all that are fetched at the same time
  double price = 0;                ///< on demand, in the cloud's money for the cloud's unit of time
  double spot_price = 0;           ///< the same as a spot instance
  double boot_s = 0;               ///< usual time from renting to running; it takes up to 1.5 times as long
  std::vector<std::string> zones;  ///< that offer it
};

/// A machine in the cloud's list, which lags behind by up to `cloud_list_lag_s`.
struct ListedMachine {
  std::string name;
  std::string endpoint;  ///< of its agent; empty: not known yet
  std::string type, zone;
  std::string status;  ///< starting, running, failed
  bool spot = false;
  double held_s = 0;  ///< rented since
};

/// Why a request to the cloud has no usable answer.
enum class Error {
  rate_limited,  ///< this controller's share of the cloud's limit is used up, or the cloud says so
  no_answer,     ///< the request might have been carried out, or might still be
  no_capacity,   ///< the cloud has no machine of this kind now
  refused,       ///< any other status than 200
  malformed,     ///< not what the protocol says; the request might have been carried out
};
/// As logs show it.
const char* name_of(Error error);

template <class T>
using Result = std::variant<T, Error>;

/// Names of machines, all of one kind; fewer than requested if the cloud has no more.
struct Rented {
  std::vector<std::string> machines;
};
/// The machines, and everything on them, are certainly gone.
struct Released {};

/// Talks to the cloud within this controller's share of the cloud's limit of requests. Sends nothing twice:
/// whoever calls decides whether and when to try again.
class Cloud {
 public:
  Cloud(http::Network& network, const config::Settings& s);

  /// All types; never empty.
  asio::awaitable<Result<std::vector<MachineType>>> machine_types();
  /// The whole list, page by page; an error if any page failed.
  asio::awaitable<Result<std::vector<ListedMachine>>> machines();
  /// How often the whole list can be read so that half of the limit is left for renting and returning.
  [[nodiscard]] double list_every_s() const { return 2 * static_cast<double>(pages_) / rate_; }
  /// Rents up to `count` machines. `request_id` names the request: the cloud carries out each at most once.
  asio::awaitable<Result<Rented>> scale_out(std::string request_id, std::string type, std::string zone,
                                            bool spot, int count);
  /// Deletes the machines. At most 100 names.
  asio::awaitable<Result<Released>> release(std::vector<std::string> names);

 private:
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body);
  asio::awaitable<void> wait_for_turn();

  std::unique_ptr<http::Transport> client_;
  double rate_;  // requests a second that this controller may send
  state::RateLimiter rate_limiter_;
  int pages_ = 1;  // of the longest list so far
};

}  // namespace finchrun::cloud
