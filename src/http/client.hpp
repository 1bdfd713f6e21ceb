// HTTP/1.1 client for one endpoint: a small bounded pool of kept connections, a deadline for every request.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "core/deadlines.hpp"
#include "http/transport.hpp"

namespace finchrun::http {

/// Requests to one endpoint, each on a connection of its own; up to `keep` idle ones are kept for the next.
class Client : public Transport {
 public:
  Client(std::shared_ptr<core::SocketDeadlines> deadlines, asio::any_io_executor executor,
         config::Endpoint endpoint, std::size_t keep = 4);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  asio::awaitable<Answer> call(Verb verb, std::string target, std::string body,
                               std::chrono::milliseconds limit) override;

 private:
  using Stream = std::unique_ptr<boost::asio::ip::tcp::socket>;
  Stream take_idle();
  std::shared_ptr<core::SocketDeadlines> deadlines_;
  asio::any_io_executor executor_;
  config::Endpoint endpoint_;
  std::size_t keep_;
  std::vector<Stream> idle_;
};

/// The real network.
class TcpNetwork : public Network {
 public:
  explicit TcpNetwork(asio::any_io_executor executor)
      : executor_(executor), deadlines_(std::make_shared<core::SocketDeadlines>(executor, kDeadlineTick)) {}
  std::unique_ptr<Transport> connect(const config::Endpoint& to, std::size_t keep) override {
    return std::make_unique<Client>(deadlines_, executor_, to, keep);
  }

 private:
  static constexpr std::chrono::milliseconds kDeadlineTick{200};
  asio::any_io_executor executor_;
  std::shared_ptr<core::SocketDeadlines> deadlines_;
};

}  // namespace finchrun::http
