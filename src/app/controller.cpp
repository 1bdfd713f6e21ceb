#include "app/controller.hpp"

namespace finchrun::app {

Controller::Controller(asio::io_context& io, http::Network& network, const config::Settings& settings,
                       const config::Tuning& tuning, std::uint32_t seed,
                       std::vector<std::unique_ptr<peer::Link>> links)
    : settings_(settings),
      tuning_(tuning),
      runtime_(io, seed),
      writer_wakeup_(io),
      peers_(std::move(links)),
      store_(network, settings_, std::make_unique<coordination::PeerRelay>(peers_)),
      cloud_(network, settings_),
      state_(settings_, tuning_),
      follower_(runtime_, state_, store_, tuning_),
      membership_(runtime_, state_, store_, follower_, settings_, tuning_),
      leadership_(runtime_, state_, follower_),
      commands_(runtime_, state_, network, writer_wakeup_),
      cancelled_task_stopper_(runtime_, state_, commands_),
      agent_gateway_(state_, peers_, settings_, writer_wakeup_),
      peer_service_(
          runtime_, state_, store_, peers_, settings_,
          [this](const std::string& heartbeat) { return agent_gateway_.handle_heartbeat(heartbeat); }),
      jobs_(state_, store_, follower_, peers_, peer_service_),
      router_(state_, jobs_, agent_gateway_),
      write_fences_(state_, store_, follower_),
      placement_recorder_(state_, store_, follower_, commands_, runtime_, write_fences_),
      exit_recorder_(state_, store_, follower_, write_fences_),
      preemptor_(runtime_, state_, commands_, tuning_),
      quota_sharing_(state_, store_, write_fences_),
      round_(state_, placement_recorder_, preemptor_, quota_sharing_, settings_, tuning_),
      rebalancer_(state_, store_, write_fences_),
      usage_recorder_(state_, store_, follower_),
      partition_writer_(runtime_, state_, store_, writer_wakeup_, write_fences_, round_, exit_recorder_,
                        rebalancer_, usage_recorder_, tuning_),
      autoscaler_(runtime_, state_, cloud_, round_.backlog()) {}

void Controller::listen() {
  // Sockets reserved for outgoing connections: to the store, the cloud, agents and other controllers.
  const int reserved_sockets = 60 + 2 * static_cast<int>(settings_.members.size());
  constexpr int kMinConnections = 16;
  runtime_.run_forever(http::serve(
      settings_.listen, [this](http::Request request) { return handle(std::move(request)); },
      std::max(kMinConnections, settings_.max_sockets - reserved_sockets)));
  constexpr int kConnectionsPerPeer = 20;
  runtime_.run_forever(peer::serve(
      settings_.peer_listen, [this](std::string frame) { return handle_peer(std::move(frame)); },
      kConnectionsPerPeer * static_cast<int>(settings_.members.size() + 1)));
}

void Controller::start() {
  if (!peers_.empty()) runtime_.run_forever(peer_service_.run());
  runtime_.run_forever(membership_.run());
  runtime_.run_forever(follower_.run());
  runtime_.run_forever(leadership_.run());
  runtime_.run_forever(commands_.run_probes());
  runtime_.run_forever(cancelled_task_stopper_.run());
  runtime_.run_forever(partition_writer_.run());
  runtime_.run_forever(autoscaler_.run());
}

asio::awaitable<http::Response> Controller::handle(http::Request request) {
  return router_.handle(std::move(request));
}

asio::awaitable<std::string> Controller::handle_peer(std::string frame) {
  return peer_service_.handle(std::move(frame));
}

}  // namespace finchrun::app
