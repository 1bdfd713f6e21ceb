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
constexpr auto kReadTimeout = std::chrono::seconds(90);        // between two requests, and for reading one
constexpr auto kWriteTimeout = std::chrono::seconds(10);       // for writing a response
constexpr auto kDeadlineResolution = std::chrono::seconds(2);  // resolution of both timeouts
constexpr auto kPauseAfterRejection = std::chrono::milliseconds(50);

bhttp::response<bhttp::string_body> render(Response&& response, unsigned version, bool keep_alive) {
  bhttp::response<bhttp::string_body> out(static_cast<bhttp::status>(response.status), version);
  out.set(bhttp::field::content_type, response.content_type);
  if (response.retry_after_s) out.set(bhttp::field::retry_after, std::to_string(*response.retry_after_s));
  out.keep_alive(keep_alive);
  out.body() = std::move(response.body);
  out.prepare_payload();
  return out;
}

// Returns true if the parser found an error in the request, as opposed to an error of the connection.
bool is_malformed(const ErrorCode& ec) {
  return ec && ec != bhttp::error::end_of_stream &&
         ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category();
}

// Returns the response to an invalid request, which the handler does not get. Where the next request begins
// is unknown, so the connection is closed afterwards.
std::optional<Response> rejection_of(const ErrorCode& ec) {
  if (ec == bhttp::error::body_limit || ec == bhttp::error::header_limit)
    return Response{status::kPayloadTooLarge, R"({"error":"request too large"})"};
  if (is_malformed(ec)) return Response{status::kBadRequest, R"({"error":"malformed request"})"};
  return std::nullopt;
}

// Counts a connection as open for the lifetime of this object.
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

// Serves the requests of one connection, one after the other.
asio::awaitable<void> serve_connection(Socket socket, std::shared_ptr<Handler> handler, OpenConnection,
                                       std::shared_ptr<core::SocketDeadlines> deadlines) {
  ErrorCode ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.non_blocking(true, ec);
  core::SocketDeadlines::Guard guard(std::move(deadlines), socket, core::SteadyClock::now() + kReadTimeout);
  beast::flat_buffer buffer;
  while (true) {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    guard.reset(core::SteadyClock::now() + kReadTimeout);
    ec = co_await receive(socket, buffer, parser);
    if (auto rejection = rejection_of(ec)) {
      auto reply = render(std::move(*rejection), kHttp11, false);
      guard.reset(core::SteadyClock::now() + kWriteTimeout);
      co_await send(socket, reply);
      co_return;
    }
    if (ec) co_return;
    auto& message = parser.get();
    const bool keep_alive = message.keep_alive();
    const unsigned version = message.version();
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    guard.reset(core::TimePoint::max());  // handlers set their own deadlines
    Response response = co_await (*handler)(std::move(request));
    auto reply = render(std::move(response), version, keep_alive);
    guard.reset(core::SteadyClock::now() + kWriteTimeout);
    ec = co_await send(socket, reply);
    if (ec || !keep_alive) co_return;
  }
}

}  // namespace

asio::awaitable<void> serve(config::Endpoint endpoint, Handler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  asio::ip::tcp::acceptor acceptor(
      executor, asio::ip::tcp::endpoint(asio::ip::make_address_v4(endpoint.host), endpoint.port));
  auto shared_handler = std::make_shared<Handler>(std::move(handler));
  auto open_connections = std::make_shared<int>(0);
  auto deadlines = std::make_shared<core::SocketDeadlines>(executor, kDeadlineResolution);
  beast::error_code ec;
  auto on_error = asio::redirect_error(asio::use_awaitable, ec);
  while (true) {
    Socket socket(executor);
    co_await acceptor.async_accept(socket, on_error);
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || *open_connections >= max_connections) {
      // No socket is left: close this one, and pause so that a failing accept does not spin.
      socket.close(ec);
      asio::steady_timer pause(executor, kPauseAfterRejection);
      co_await pause.async_wait(on_error);
      continue;
    }
    asio::co_spawn(
        executor,
        serve_connection(std::move(socket), shared_handler, OpenConnection(open_connections), deadlines),
        asio::detached);
  }
}

}  // namespace finchrun::http
