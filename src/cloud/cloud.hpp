// Client of the cloud: machine types, the lagging machine list, renting and returning.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "http/transport.hpp"
#include "state/rate_limiter.hpp"

namespace finchrun::cloud {

namespace asio = boost::asio;

struct MachineType {
  std::string name;
  core::Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};
struct ListedMachine {
  std::string name, endpoint, type, zone, status;
  bool spot = false;
  double held_s = 0;
};
struct ScaleOutResult {
  enum class Kind { ok, no_capacity, failed } kind = Kind::failed;
  std::vector<std::string> machines;
};

class Cloud {
 public:
  Cloud(http::Network& network, const config::Settings& s);
  asio::awaitable<std::optional<std::vector<MachineType>>> machine_types();
  // The whole list, page by page; nothing if any page failed.
  asio::awaitable<std::optional<std::vector<ListedMachine>>> machines();
  // How often the whole list can be read so that half of the budget is left for renting and returning.
  [[nodiscard]] double list_every_s() const { return 2 * static_cast<double>(pages_) / rate_; }
  asio::awaitable<ScaleOutResult> scale_out(std::string request, std::string type, std::string zone,
                                            bool spot, int count);
  // True once the machines, and everything on them, are certainly gone. At most 100 names.
  asio::awaitable<bool> release(std::vector<std::string> names);

 private:
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body);
  std::unique_ptr<http::Transport> client_;
  double rate_;  // requests a second that this controller may send
  state::RateLimiter rate_limiter_;
  int pages_ = 1;  // of the newest list
};

}  // namespace finchrun::cloud
