#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace finchrun::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = beast::http;
using tcp = asio::ip::tcp;

constexpr auto kIdle = std::chrono::seconds(90);

bhttp::response<bhttp::string_body> render(Response&& r, unsigned version, bool keep_alive) {
  bhttp::response<bhttp::string_body> out(static_cast<bhttp::status>(r.status), version);
  out.set(bhttp::field::content_type, r.content_type);
  if (r.retry_after_s) out.set(bhttp::field::retry_after, std::to_string(*r.retry_after_s));
  out.keep_alive(keep_alive);
  out.body() = std::move(r.body);
  out.prepare_payload();
  return out;
}

asio::awaitable<void> session(tcp::socket socket, std::shared_ptr<Handler> handler,
                              std::shared_ptr<int> open) {
  struct Count {
    std::shared_ptr<int> n;
    ~Count() { --*n; }
  } count{open};
  beast::tcp_stream stream(std::move(socket));
  beast::error_code ec;
  auto on_error = asio::redirect_error(asio::use_awaitable, ec);
  stream.socket().set_option(tcp::no_delay(true), ec);
  beast::flat_buffer buffer;
  while (true) {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxBody);
    stream.expires_after(kIdle);
    co_await bhttp::async_read(stream, buffer, parser, on_error);
    if (ec == bhttp::error::body_limit || ec == bhttp::error::header_limit) {
      // Refused without reading it all, so the connection can't be used further.
      auto reply = render({413, R"({"error":"request too large"})"}, 11, false);
      stream.expires_after(std::chrono::seconds(5));
      co_await bhttp::async_write(stream, reply, on_error);
      co_return;
    }
    if (ec && ec != bhttp::error::end_of_stream &&
        ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
      auto reply = render({400, R"({"error":"malformed request"})"}, 11, false);
      stream.expires_after(std::chrono::seconds(5));
      co_await bhttp::async_write(stream, reply, on_error);
      co_return;
    }
    if (ec) co_return;
    auto& message = parser.get();
    const bool keep = message.keep_alive();
    const unsigned version = message.version();
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    stream.expires_never();
    Response response = co_await (*handler)(std::move(request));
    auto reply = render(std::move(response), version, keep);
    stream.expires_after(std::chrono::seconds(10));
    co_await bhttp::async_write(stream, reply, on_error);
    if (ec || !keep) co_return;
  }
}

}  // namespace

asio::awaitable<void> serve(config::Endpoint at, Handler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, tcp::endpoint(asio::ip::make_address_v4(at.host), at.port));
  auto shared = std::make_shared<Handler>(std::move(handler));
  auto open = std::make_shared<int>(0);
  beast::error_code ec;
  auto on_error = asio::redirect_error(asio::use_awaitable, ec);
  while (true) {
    tcp::socket socket(executor);
    co_await acceptor.async_accept(socket, on_error);
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || *open >= max_connections) {
      // Out of sockets: close this one at once, and don't spin on a failing accept.
      socket.close(ec);
      asio::steady_timer pause(executor, std::chrono::milliseconds(50));
      co_await pause.async_wait(on_error);
      continue;
    }
    ++*open;
    asio::co_spawn(executor, session(std::move(socket), shared, open), asio::detached);
  }
}

}  // namespace finchrun::http
