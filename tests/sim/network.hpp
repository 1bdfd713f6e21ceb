// A controller's side of the simulated network: its connections to the key-value store, the cloud, agents and
// the other controllers.
#pragma once

#include "http/status.hpp"
#include "sim/cluster.hpp"

namespace finchrun::sim {

inline constexpr const char* kStoreHost = "10.2.0.1";
inline constexpr const char* kCloudHost = "10.2.0.2";

/// A controller's connection to a service or an agent.
struct Cluster::ServiceConnection : http::Transport {
  ServiceConnection(Cluster& simulated, asio::io_context& loop, std::size_t from, config::Endpoint endpoint)
      : cluster(simulated), io(loop), controller(from), to(std::move(endpoint)) {}
  asio::awaitable<ClientResponse> call(http::Verb verb, std::string target, std::string body,
                                       std::chrono::milliseconds timeout) override;
  Cluster& cluster;
  asio::io_context& io;
  std::size_t controller;
  config::Endpoint to;
};

struct Cluster::SimulatedNetwork : http::Network {
  SimulatedNetwork(Cluster& simulated, asio::io_context& loop, std::size_t from)
      : cluster(simulated), io(loop), controller(from) {}
  std::unique_ptr<http::Transport> connect(const config::Endpoint& to, std::size_t) override {
    return std::make_unique<ServiceConnection>(cluster, io, controller, to);
  }
  Cluster& cluster;
  asio::io_context& io;
  std::size_t controller;
};

/// A controller's connection to another controller.
struct Cluster::PeerConnection : peer::Link {
  PeerConnection(Cluster& simulated, asio::io_context& loop, std::size_t sender, std::size_t receiver)
      : cluster(simulated), io(loop), from(sender), to(receiver) {}
  asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                   std::chrono::milliseconds timeout) override;
  Cluster& cluster;
  asio::io_context& io;
  std::size_t from, to;
};

/// One controller process: the real controller on its own event loop.
struct Cluster::ControllerProcess {
  ControllerProcess(Cluster& cluster, std::size_t index, const config::Settings& settings, std::uint32_t seed)
      : network(cluster, io, index),
        controller(io, network, settings, config::Tuning{}, seed, links(cluster, io, index)) {
    controller.start();
  }
  static std::vector<std::unique_ptr<peer::Link>> links(Cluster& cluster, asio::io_context& io,
                                                        std::size_t index) {
    std::vector<std::unique_ptr<peer::Link>> result;
    for (std::size_t n = 0; n < cluster.processes_.size(); ++n)
      if (n != index) result.push_back(std::make_unique<PeerConnection>(cluster, io, index, n));
    return result;
  }
  asio::io_context io{1};
  SimulatedNetwork network;
  app::Controller controller;
};

}  // namespace finchrun::sim
