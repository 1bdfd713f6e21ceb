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

/// Handles `POST /hello`.
class AgentGateway {
 public:
  AgentGateway(controller::SharedState& state, coordination::PeerTable& peers,
               const config::Settings& settings, controller::Wakeup& writer_wakeup)
      : state_(state), peers_(peers), settings_(settings), writer_wakeup_(writer_wakeup) {}

  /// A heartbeat that an agent sent to this controller: handled here, relayed, or redirected (421).
  asio::awaitable<http::Response> receive(std::string body);
  /// Handles a heartbeat as the leader of its partition; 421 or 503 if this controller may not.
  http::Response handle_heartbeat(const std::string& body);

 private:
  std::optional<std::size_t> peer_to_relay_to(const std::string& body);

  controller::SharedState& state_;
  coordination::PeerTable& peers_;
  const config::Settings& settings_;
  controller::Wakeup& writer_wakeup_;
};

}  // namespace finchrun::gateway
