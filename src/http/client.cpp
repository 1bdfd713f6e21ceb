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
// The store's whole content comes in pages of less.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{64} * 1024 * 1024;

asio::awaitable<Code> connect(Socket& socket, const config::Endpoint& endpoint) {
  const asio::ip::tcp::endpoint to(asio::ip::make_address_v4(endpoint.host), endpoint.port);
  Code ec;
  co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return ec;
  Code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  co_return ec;
}

}  // namespace

Client::Client(std::shared_ptr<core::SocketDeadlines> deadlines, asio::any_io_executor executor,
               config::Endpoint endpoint, std::size_t keep)
    : deadlines_(std::move(deadlines)),
      executor_(std::move(executor)),
      endpoint_(std::move(endpoint)),
      keep_(keep) {}

Client::Stream Client::take_idle() {
  if (idle_.empty()) return nullptr;
  Stream stream = std::move(idle_.back());
  idle_.pop_back();
  return stream;
}

asio::awaitable<Answer> Client::call(Verb verb, std::string target, std::string body,
                                     std::chrono::milliseconds limit) {
  bhttp::request<bhttp::string_body> request(verb, target, kHttp11);
  request.set(bhttp::field::host, endpoint_.text());
  if (!body.empty()) request.set(bhttp::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();

  const auto deadline = core::SteadyClock::now() + limit;
  // A kept connection may have been closed by the other side before it took the request; only a failure to
  // write on it is tried again on a new one, since after that the request might be executed.
  for (int attempt = 0; attempt < 2; ++attempt) {
    Stream stream = attempt == 0 ? take_idle() : nullptr;
    const bool reused = stream != nullptr;
    if (!reused) stream = std::make_unique<Socket>(executor_);
    const core::SocketDeadlines::Guard guard(deadlines_, *stream, deadline);
    Code ec;
    if (!reused) ec = co_await connect(*stream, endpoint_);
    if (ec) co_return Answer{};
    ec = co_await send(*stream, request);
    if (ec) {
      if (reused && core::SteadyClock::now() < deadline) continue;
      co_return Answer{};
    }
    beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    ec = co_await receive(*stream, buffer, parser);
    if (ec) co_return Answer{};
    Answer answer{static_cast<int>(parser.get().result_int()), std::move(parser.get().body())};
    // Kept only while it is open: its deadline may have come at this very moment.
    if (parser.keep_alive() && idle_.size() < keep_ && stream->is_open()) idle_.push_back(std::move(stream));
    co_return answer;
  }
  co_return Answer{};
}

}  // namespace finchrun::http
