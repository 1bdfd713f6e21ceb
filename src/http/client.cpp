#include "http/client.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http/exchange.hpp"

namespace finchrun::http {

namespace beast = boost::beast;
namespace bhttp = beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
// A page of the store's content is smaller.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{64} * 1024 * 1024;

asio::awaitable<ErrorCode> connect(Socket& socket, const config::Endpoint& endpoint) {
  const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(endpoint.host), endpoint.port);
  ErrorCode ec;
  co_await socket.async_connect(address, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return ec;
  ErrorCode ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  co_return ec;
}

}  // namespace

Client::Client(std::shared_ptr<core::SocketDeadlines> deadlines, asio::any_io_executor executor,
               config::Endpoint endpoint, std::size_t max_idle_connections)
    : deadlines_(std::move(deadlines)),
      executor_(std::move(executor)),
      endpoint_(std::move(endpoint)),
      max_idle_connections_(max_idle_connections) {}

Client::Connection Client::take_idle_connection() {
  if (idle_connections_.empty()) return nullptr;
  Connection connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

asio::awaitable<ClientResponse> Client::call(Verb verb, std::string target, std::string body,
                                             std::chrono::milliseconds timeout) {
  bhttp::request<bhttp::string_body> request(verb, target, kHttp11);
  request.set(bhttp::field::host, endpoint_.text());
  if (!body.empty()) request.set(bhttp::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();

  const auto deadline = core::SteadyClock::now() + timeout;
  // The server may have closed an idle connection before it read the request. Only a failed write on a reused
  // connection is retried, on a new one: after a complete write the server may execute the request.
  for (int attempt = 0; attempt < 2; ++attempt) {
    Connection connection = attempt == 0 ? take_idle_connection() : nullptr;
    const bool reused = connection != nullptr;
    if (!reused) connection = std::make_unique<Socket>(executor_);
    const core::SocketDeadlines::Guard guard(deadlines_, *connection, deadline);
    ErrorCode ec;
    if (!reused) ec = co_await connect(*connection, endpoint_);
    if (ec) co_return ClientResponse{};
    ec = co_await send(*connection, request);
    if (ec) {
      if (reused && core::SteadyClock::now() < deadline) continue;
      co_return ClientResponse{};
    }
    beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxResponseBytes);
    ec = co_await receive(*connection, buffer, parser);
    if (ec) co_return ClientResponse{};
    ClientResponse response{static_cast<int>(parser.get().result_int()), std::move(parser.get().body())};
    // The deadline may have closed the connection by now, and a closed one must not be reused.
    if (parser.keep_alive() && idle_connections_.size() < max_idle_connections_ && connection->is_open())
      idle_connections_.push_back(std::move(connection));
    co_return response;
  }
  co_return ClientResponse{};
}

}  // namespace finchrun::http
