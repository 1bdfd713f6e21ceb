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
#include <boost/beast/http.hpp>
#include <memory>

#include "core/deadlines.hpp"
#include "http/exchange.hpp"
#include "http/status.hpp"

namespace finchrun::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = beast::http;

constexpr unsigned kHttp11 = 11;
constexpr auto kIdle = std::chrono::seconds(90);   // between two requests, and for reading one
constexpr auto kWrite = std::chrono::seconds(10);  // for writing a response
constexpr auto kTick = std::chrono::seconds(2);    // how exactly these are kept
constexpr auto kPauseAfterRefusal = std::chrono::milliseconds(50);

bhttp::response<bhttp::string_body> render(Response&& response, unsigned version, bool keep_alive) {
  bhttp::response<bhttp::string_body> out(static_cast<bhttp::status>(response.status), version);
  out.set(bhttp::field::content_type, response.content_type);
  if (response.retry_after_s) out.set(bhttp::field::retry_after, std::to_string(*response.retry_after_s));
  out.keep_alive(keep_alive);
  out.body() = std::move(response.body);
  out.prepare_payload();
  return out;
}

// Errors that the parser found in a request, as opposed to those of the connection.
bool malformed(const Code& ec) {
  return ec && ec != bhttp::error::end_of_stream &&
         ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category();
}

// The answer to a request that is not given to the handler. What was sent after it can't be told apart from
// it, so the connection isn't used further.
std::optional<Response> refusal_of(const Code& ec) {
  if (ec == bhttp::error::body_limit || ec == bhttp::error::header_limit)
    return Response{status::kPayloadTooLarge, R"({"error":"request too large"})"};
  if (malformed(ec)) return Response{status::kBadRequest, R"({"error":"malformed request"})"};
  return std::nullopt;
}

// Counts a connection as open while it lives.
class OpenConnection {
 public:
  explicit OpenConnection(std::shared_ptr<int> count) : count_(std::move(count)) { ++*count_; }
  ~OpenConnection() {
    if (count_) --*count_;
  }
  OpenConnection(OpenConnection&&) = default;
  OpenConnection(const OpenConnection&) = delete;
  OpenConnection& operator=(const OpenConnection&) = delete;
  OpenConnection& operator=(OpenConnection&&) = delete;

 private:
  std::shared_ptr<int> count_;
};

// One connection, request after request.
asio::awaitable<void> serve_connection(Socket socket, std::shared_ptr<Handler> handler, OpenConnection,
                                       std::shared_ptr<core::SocketDeadlines> deadlines) {
  Code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.non_blocking(true, ec);
  core::SocketDeadlines::Guard guard(std::move(deadlines), socket, core::SteadyClock::now() + kIdle);
  beast::flat_buffer buffer;
  while (true) {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    guard.reset(core::SteadyClock::now() + kIdle);
    ec = co_await receive(socket, buffer, parser);
    if (auto refusal = refusal_of(ec)) {
      auto reply = render(std::move(*refusal), kHttp11, false);
      guard.reset(core::SteadyClock::now() + kWrite);
      co_await send(socket, reply);
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
    guard.reset(core::TimePoint::max());  // handlers have deadlines of their own
    Response response = co_await (*handler)(std::move(request));
    auto reply = render(std::move(response), version, keep);
    guard.reset(core::SteadyClock::now() + kWrite);
    ec = co_await send(socket, reply);
    if (ec || !keep) co_return;
  }
}

}  // namespace

asio::awaitable<void> serve(config::Endpoint at, Handler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  asio::ip::tcp::acceptor acceptor(executor,
                                   asio::ip::tcp::endpoint(asio::ip::make_address_v4(at.host), at.port));
  auto shared = std::make_shared<Handler>(std::move(handler));
  auto open = std::make_shared<int>(0);
  auto deadlines = std::make_shared<core::SocketDeadlines>(executor, kTick);
  beast::error_code ec;
  auto on_error = asio::redirect_error(asio::use_awaitable, ec);
  while (true) {
    Socket socket(executor);
    co_await acceptor.async_accept(socket, on_error);
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || *open >= max_connections) {
      // Out of sockets: close this one at once, and don't spin on a failing accept.
      socket.close(ec);
      asio::steady_timer pause(executor, kPauseAfterRefusal);
      co_await pause.async_wait(on_error);
      continue;
    }
    asio::co_spawn(executor, serve_connection(std::move(socket), shared, OpenConnection(open), deadlines),
                   asio::detached);
  }
}

}  // namespace finchrun::http
