#include "soak/tcp_forwarder.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace finchrun::soak {
namespace {

using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
constexpr auto kHoldCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint endpoint_of(const config::Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.host), endpoint.port};
}

}  // namespace

TcpForwarder::TcpForwarder(asio::io_context& io, config::Endpoint listen, config::Endpoint to)
    : io_(io), listen_(std::move(listen)), to_(std::move(to)), acceptor_(io, endpoint_of(listen_)) {
  asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> TcpForwarder::accept() {
  while (true) {
    auto connection = std::make_shared<Connection>(Connection{Socket(io_), Socket(io_)});
    ErrorCode ec;
    co_await acceptor_.async_accept(connection->near, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    std::erase_if(connections_, [](const auto& open) { return open.expired(); });
    connections_.push_back(connection);
    asio::co_spawn(io_, forward(std::move(connection)), asio::detached);
  }
}

asio::awaitable<void> TcpForwarder::forward(std::shared_ptr<Connection> connection) {
  ErrorCode ec;
  co_await connection->far.async_connect(endpoint_of(to_), asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return;  // refused: the near side is closed with the connection
  asio::co_spawn(io_, pump(connection, false), asio::detached);
  co_await pump(connection, true);
}

asio::awaitable<void> TcpForwarder::pump(std::shared_ptr<Connection> connection, bool is_request) {
  auto& from = is_request ? connection->near : connection->far;
  auto& to = is_request ? connection->far : connection->near;
  const bool& holds = is_request ? holds_requests : holds_answers;
  std::array<char, kBufferBytes> buffer;
  asio::steady_timer timer(io_);
  while (true) {
    ErrorCode ec;
    const auto size =
        co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
    const bool at_end = static_cast<bool>(ec);
    while (holds) {
      timer.expires_after(kHoldCheckInterval);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (at_end) break;
    co_await asio::async_write(to, asio::buffer(buffer, size), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
  }
  ErrorCode ignored;
  to.shutdown(Socket::shutdown_send, ignored);
}

void TcpForwarder::reset_connections() {
  for (const auto& open : connections_) {
    const auto connection = open.lock();
    if (!connection) continue;
    for (auto* socket : {&connection->near, &connection->far}) {
      ErrorCode ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
}

}  // namespace finchrun::soak
