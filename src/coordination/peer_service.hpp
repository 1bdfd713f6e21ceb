// Requests to other controllers and answers to theirs: pings, cancellations, relayed heartbeats and relayed
// requests to the key-value store.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/peer_table.hpp"
#include "core/in_flight.hpp"
#include "http/server.hpp"
#include "peer/messages.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// Exchanges cancellations with the other controllers, and answers their frames.
class PeerService {
 public:
  /// Handles a heartbeat that another controller relays; the argument is its body as the agent sent it.
  using HeartbeatHandler = std::function<http::Response(const std::string&)>;

  PeerService(controller::Runtime& runtime, controller::SharedState& state, state::KeyValueStore& store,
              PeerTable& peers, const config::Settings& settings, HeartbeatHandler handle_heartbeat)
      : runtime_(runtime),
        state_(state),
        store_(store),
        peers_(peers),
        settings_(settings),
        handle_heartbeat_(std::move(handle_heartbeat)),
        reachability_(peers.size(), Reachability::unknown) {}

  /// Pings every other controller about once a second, until the process ends.
  asio::awaitable<void> run();
  /// Answers a frame of another controller; with status 400 if it can't be read or is not a request, so that
  /// a sender of another version does not treat this controller as unreachable.
  asio::awaitable<std::string> handle(std::string frame);
  /// Sends the other controllers a cancellation before it is confirmed to its user. Best effort: a frame may
  /// be lost, and rule `ran_cancelled` relies on expiring leases, not on announcements.
  void announce_cancellation(const std::string& job);

 private:
  enum class Reachability { unknown, reachable, unreachable };

  asio::awaitable<void> ping(std::size_t peer);
  asio::awaitable<void> announce(std::size_t peer, std::string frame);
  void update_reachability(std::size_t peer, Reachability reachability);

  // The answer to each type of message, as a frame.
  asio::awaitable<std::string> answer(peer::Ping ping);
  asio::awaitable<std::string> answer(peer::HeartbeatRelay relay);
  asio::awaitable<std::string> answer(peer::StoreRequest request);
  asio::awaitable<std::string> answer(peer::CancellationNotice notice);
  asio::awaitable<std::string> answer(peer::Pong unexpected);
  asio::awaitable<std::string> answer(peer::Reply unexpected);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  state::KeyValueStore& store_;
  PeerTable& peers_;
  const config::Settings& settings_;
  HeartbeatHandler handle_heartbeat_;
  core::InFlightCounter announcements_;
  std::vector<Reachability> reachability_;  // by peer, only for the log
};

}  // namespace finchrun::coordination
