// The simulated network as a controller sees it: its sockets to the key-value store, the cloud, agents and
// the other controllers.
#pragma once

#include "http/status.hpp"
#include "sim/cluster.hpp"

namespace finchrun::sim {

inline constexpr const char* kStateHost = "10.2.0.1";
inline constexpr const char* kCloudHost = "10.2.0.2";

/// A controller's connection to a service or an agent.
struct Cluster::Line : http::Transport {
  Line(Cluster& simulated, asio::io_context& loop, std::size_t from, config::Endpoint endpoint)
      : cluster(simulated), io(loop), node(from), to(std::move(endpoint)) {}
  asio::awaitable<Answer> call(http::Verb verb, std::string target, std::string body,
                               std::chrono::milliseconds limit) override;
  Cluster& cluster;
  asio::io_context& io;
  std::size_t node;
  config::Endpoint to;
};

struct Cluster::Net : http::Network {
  Net(Cluster& simulated, asio::io_context& loop, std::size_t from)
      : cluster(simulated), io(loop), node(from) {}
  std::unique_ptr<http::Transport> connect(const config::Endpoint& to, std::size_t) override {
    return std::make_unique<Line>(cluster, io, node, to);
  }
  Cluster& cluster;
  asio::io_context& io;
  std::size_t node;
};

/// A controller's connection to another controller.
struct Cluster::PeerLine : peer::Link {
  PeerLine(Cluster& simulated, asio::io_context& loop, std::size_t sender, std::size_t receiver)
      : cluster(simulated), io(loop), from(sender), to(receiver) {}
  asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                   std::chrono::milliseconds limit) override;
  Cluster& cluster;
  asio::io_context& io;
  std::size_t from, to;
};

/// One controller process: the real controller on its own event loop.
struct Cluster::Node {
  Node(Cluster& cluster, std::size_t index, const config::Settings& settings, std::uint32_t seed)
      : net(cluster, io, index),
        controller(io, net, settings, config::Tuning{}, seed, links(cluster, io, index)) {
    controller.start();
  }
  static std::vector<std::unique_ptr<peer::Link>> links(Cluster& cluster, asio::io_context& io,
                                                        std::size_t index) {
    std::vector<std::unique_ptr<peer::Link>> out;
    for (std::size_t n = 0; n < cluster.nodes_.size(); ++n)
      if (n != index) out.push_back(std::make_unique<PeerLine>(cluster, io, index, n));
    return out;
  }
  asio::io_context io{1};
  Net net;
  app::Controller controller;
};

}  // namespace finchrun::sim
