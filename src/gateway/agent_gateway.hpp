// The HTTP interface for agents. The leader of the machine's partition answers a heartbeat; other controllers
// redirect the agent to the leader or relay the heartbeat there.
#pragma once

#include <optional>
#include <string>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/peer_table.hpp"
#include "http/server.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// Handles `POST /hello`. Only the leader of a machine's partition answers its agent with commands, and only
/// while it knows all cancellations that were confirmed to users (rules `ran_twice`, `ran_cancelled`).
class AgentGateway {
 public:
  AgentGateway(controller::SharedState& state, coordination::PeerTable& peers,
               const config::Settings& settings, controller::Wakeup& writer_wakeup)
      : state_(state), peers_(peers), settings_(settings), writer_wakeup_(writer_wakeup) {}

  /// Handles a heartbeat that an agent sent to this controller, relays it, or redirects the agent (421).
  asio::awaitable<http::Response> handle_request(std::string body);
  /// Handles a heartbeat from an agent or relayed by a peer, as the leader of its partition. Returns 200 with
  /// the commands, 400 if the heartbeat is malformed, or, if this controller may not answer it, 503 or 421
  /// with the leader if known.
  http::Response handle_heartbeat(const std::string& body);

 private:
  // Returns the peer to relay a heartbeat to: the leader of the machine's partition, if the agent seems
  // unable to reach it. Empty if the agent should be redirected.
  std::optional<std::size_t> peer_to_relay_to(const std::string& body);

  controller::SharedState& state_;
  coordination::PeerTable& peers_;
  const config::Settings& settings_;
  controller::Wakeup& writer_wakeup_;
};

}  // namespace finchrun::gateway
