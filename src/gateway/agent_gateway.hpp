// The agents' interface: heartbeats are answered by the leader of the machine's partition; others redirect
// the agent to that leader or relay for it.
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
/// while it knows of all cancellations that any user has been told of (rules `ran_twice`, `ran_cancelled`).
class AgentGateway {
 public:
  AgentGateway(controller::SharedState& state, coordination::PeerTable& peers,
               const config::Settings& settings, controller::Wakeup& writer_wakeup)
      : state_(state), peers_(peers), settings_(settings), writer_wakeup_(writer_wakeup) {}

  /// A heartbeat that an agent sent to this controller: handled here, relayed, or redirected (421).
  asio::awaitable<http::Response> receive(std::string body);
  /// Handles a heartbeat as the leader of its partition: 200 with the commands; 421, naming the leader if it
  /// is known, or 503 if this controller may not; 400 if it is malformed. Also for what peers relay.
  http::Response handle_heartbeat(const std::string& body);

 private:
  // The peer to relay a heartbeat to: the leader of the machine's partition, when the agent seems not to get
  // there by itself. Nothing if it should go there.
  std::optional<std::size_t> peer_to_relay_to(const std::string& body);

  controller::SharedState& state_;
  coordination::PeerTable& peers_;
  const config::Settings& settings_;
  controller::Wakeup& writer_wakeup_;
};

}  // namespace finchrun::gateway
