// Client of the cloud: machine types, the lagging machine list, renting and returning.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "http/transport.hpp"
#include "state/budget.hpp"

namespace finchrun::cloud {

namespace asio = boost::asio;

struct Flavor {
  std::string name;
  core::Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};
struct Listed {
  std::string name, endpoint, type, zone, status;
  bool spot = false;
  double held_s = 0;
};
struct Hired {
  enum class Kind { ok, no_capacity, failed } kind = Kind::failed;
  std::vector<std::string> machines;
};

class Cloud {
 public:
  Cloud(http::Network& network, const config::Settings& s);
  asio::awaitable<std::optional<std::vector<Flavor>>> flavors();
  // The whole list, page by page; nothing if any page failed.
  asio::awaitable<std::optional<std::vector<Listed>>> machines();
  asio::awaitable<Hired> hire(std::string request, std::string type, std::string zone, bool spot, int count);
  // True once the machines, and everything on them, are certainly gone. At most 100 names.
  asio::awaitable<bool> release(std::vector<std::string> names);

 private:
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body);
  std::unique_ptr<http::Transport> client_;
  state::Budget budget_;
};

}  // namespace finchrun::cloud
