// HTTP/1.1 client for one endpoint, with a bounded pool of idle connections and a deadline for every request.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "core/deadlines.hpp"
#include "http/transport.hpp"

namespace finchrun::http {

/// Sends requests to one endpoint, each on its own connection, and keeps idle connections for reuse.
class Client : public Transport {
 public:
  Client(std::shared_ptr<core::SocketDeadlines> deadlines, asio::any_io_executor executor,
         config::Endpoint endpoint, std::size_t max_idle_connections = 4);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  asio::awaitable<ClientResponse> call(Verb verb, std::string target, std::string body,
                                       std::chrono::milliseconds timeout) override;

 private:
  using Connection = std::unique_ptr<boost::asio::ip::tcp::socket>;
  Connection take_idle_connection();
  std::shared_ptr<core::SocketDeadlines> deadlines_;
  asio::any_io_executor executor_;
  config::Endpoint endpoint_;
  std::size_t max_idle_connections_;
  std::vector<Connection> idle_connections_;
};

/// The network over TCP.
class TcpNetwork : public Network {
 public:
  explicit TcpNetwork(asio::any_io_executor executor)
      : executor_(executor),
        deadlines_(std::make_shared<core::SocketDeadlines>(executor, kDeadlineResolution)) {}
  std::unique_ptr<Transport> connect(const config::Endpoint& endpoint,
                                     std::size_t max_idle_connections) override {
    return std::make_unique<Client>(deadlines_, executor_, endpoint, max_idle_connections);
  }

 private:
  static constexpr std::chrono::milliseconds kDeadlineResolution{200};
  asio::any_io_executor executor_;
  std::shared_ptr<core::SocketDeadlines> deadlines_;
};

}  // namespace finchrun::http
