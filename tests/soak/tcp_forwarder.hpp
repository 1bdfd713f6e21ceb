// Forwards the connections from one controller to another, so that the link can be cut.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "config/settings.hpp"

namespace finchrun::soak {

namespace asio = boost::asio;

/// A TCP forwarder with faults. Must outlive the event loop's run.
class TcpForwarder {
 public:
  TcpForwarder(asio::io_context& io, config::Endpoint listen, config::Endpoint to);
  [[nodiscard]] const config::Endpoint& endpoint() const { return listen_; }

  /// While true, bytes from the connecting side are kept back. They are delivered later, in order, even if
  /// the connection was closed meanwhile.
  bool holds_requests = false;
  /// The same for the bytes of the other side.
  bool holds_answers = false;
  /// Resets all open connections.
  void reset_connections();

 private:
  using Socket = asio::ip::tcp::socket;
  struct Connection {
    Socket near, far;
  };
  asio::awaitable<void> accept();
  asio::awaitable<void> forward(std::shared_ptr<Connection> connection);
  asio::awaitable<void> pump(std::shared_ptr<Connection> connection, bool is_request);

  asio::io_context& io_;
  config::Endpoint listen_, to_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace finchrun::soak
