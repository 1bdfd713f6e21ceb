// Frames between controllers over TCP: a 4-byte length, then the message.
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

class Link {
 public:
  virtual ~Link() = default;
  // Nothing: no answer; the request might have been carried out.
  virtual asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                           std::chrono::milliseconds limit) = 0;
};

// Keeps a few connections to one member; calls don't wait for each other.
class TcpLink : public Link {
 public:
  TcpLink(std::shared_ptr<core::Deadlines> deadlines, asio::any_io_executor executor, config::Endpoint to)
      : deadlines_(std::move(deadlines)), executor_(std::move(executor)), to_(std::move(to)) {}
  asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                   std::chrono::milliseconds limit) override;

 private:
  std::shared_ptr<core::Deadlines> deadlines_;
  asio::any_io_executor executor_;
  config::Endpoint to_;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> idle_;
};

using FrameHandler = std::function<asio::awaitable<std::string>(std::string)>;
asio::awaitable<void> serve(config::Endpoint at, FrameHandler handler, int max_connections);

}  // namespace finchrun::peer
