// What this controller says to the others, and how it answers them: pings, cancellations, relayed heartbeats
// and relayed requests to the key-value store.
#pragma once

#include <functional>
#include <string>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/peer_table.hpp"
#include "http/server.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Gossip of cancellations, and the answers to other controllers' frames.
class PeerService {
 public:
  /// Handles a heartbeat that another controller relays: its body, as the agent sent it.
  using HeartbeatHandler = std::function<http::Response(const std::string&)>;

  PeerService(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
              PeerTable& peers, const config::Settings& settings, HeartbeatHandler handle_heartbeat)
      : runtime_(runtime),
        state_(state),
        store_(store),
        peers_(peers),
        settings_(settings),
        handle_heartbeat_(std::move(handle_heartbeat)) {}

  /// Pings every other controller about once a second, until the process ends.
  asio::awaitable<void> run();
  /// Answers a frame of another controller; one that it doesn't know, with status 400.
  asio::awaitable<std::string> handle(std::string frame);
  /// Tells the other controllers of a cancellation that its user is about to be told of. Best effort: a frame
  /// may be lost, and rule `ran_cancelled` rests on leases that run out, not on this.
  void announce_cancellation(const std::string& job);

 private:
  asio::awaitable<void> ping(std::size_t peer);
  asio::awaitable<void> announce(std::size_t peer, std::string frame);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  PeerTable& peers_;
  const config::Settings& settings_;
  HeartbeatHandler handle_heartbeat_;
  std::size_t announcements_in_flight_ = 0;
};

}  // namespace finchrun::coordination
