// Frames between controllers over TCP: the frame's size in 4 bytes, big-endian, then the frame.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/deadlines.hpp"

namespace finchrun::peer {

namespace asio = boost::asio;

/// A connection to one other controller. Tests use a simulated network instead.
class Link {
 public:
  virtual ~Link() = default;
  /// Sends a frame and returns the answer's frame; nullopt if none came within `timeout`, and then the
  /// request might have been executed, or might still be.
  virtual asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                           std::chrono::milliseconds timeout) = 0;
};

/// A link over TCP, with one request at a time on a connection. Calls don't wait for each other: each takes
/// an idle connection or opens one. A few connections are kept open.
class TcpLink : public Link {
 public:
  /// `deadlines` closes the sockets of calls that have reached their timeout.
  TcpLink(std::shared_ptr<core::SocketDeadlines> deadlines, asio::any_io_executor executor,
          config::Endpoint to)
      : deadlines_(std::move(deadlines)), executor_(std::move(executor)), to_(std::move(to)) {}
  asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                   std::chrono::milliseconds timeout) override;

 private:
  using Socket = asio::ip::tcp::socket;
  // Returns null if no connection is idle.
  std::unique_ptr<Socket> take_idle();

  std::shared_ptr<core::SocketDeadlines> deadlines_;
  asio::any_io_executor executor_;
  config::Endpoint to_;
  std::vector<std::unique_ptr<Socket>> idle_;
};

/// Takes a frame and returns the answer's frame. If it throws, the connection is closed without an answer.
using FrameHandler = std::function<asio::awaitable<std::string>(std::string)>;

/// Answers the frames of other controllers, until the event loop ends. Throws if the address can't be bound.
/// Connections above `max_connections` are closed at once.
asio::awaitable<void> serve(config::Endpoint at, FrameHandler handler, int max_connections);

}  // namespace finchrun::peer
