#include "peer/link.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>

#include "core/in_flight.hpp"
#include "http/exchange.hpp"
#include "peer/messages.hpp"

namespace finchrun::peer {
namespace {

using tcp = asio::ip::tcp;
using http::ErrorCode;
using http::Socket;

constexpr std::size_t kMaxIdleConnections = 3;  // to one controller
constexpr std::size_t kSizeFieldBytes = 4;      // of the size field before a frame
constexpr std::size_t kReadChunkBytes = 4096;
constexpr auto kIdleTimeout = std::chrono::seconds(60);
constexpr auto kWriteTimeout = std::chrono::seconds(5);
constexpr auto kServerDeadlineTick = std::chrono::seconds(2);
constexpr auto kAcceptPause =
    std::chrono::milliseconds(50);  // after a failure, or above the connection limit

std::string with_size_field(const std::string& frame) {
  std::string bytes(kSizeFieldBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(frame.size()));
  return bytes + frame;
}

// Returns the frame's size from its first bytes, nullopt until those have been received.
std::optional<std::size_t> announced_size(const std::string& bytes) {
  if (bytes.size() < kSizeFieldBytes) return std::nullopt;
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

void configure(Socket& socket) {
  ErrorCode ignored;  // errors of a broken socket surface in the first read or write
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
}

// Returns false if the connection can't be used any more.
asio::awaitable<bool> write_frame(Socket& socket, std::string frame) {
  const std::string bytes = with_size_field(frame);
  for (std::size_t written = 0; written < bytes.size();) {
    ErrorCode ec;
    written += socket.write_some(asio::buffer(bytes.data() + written, bytes.size() - written), ec);
    if (ec == asio::error::would_block) ec = co_await http::wait_for(socket, Socket::wait_write);
    if (ec) co_return false;
  }
  co_return true;
}

// Returns nullopt if the connection can't be used any more. A connection carries one request at a time, so
// no bytes follow the frame.
asio::awaitable<std::optional<std::string>> read_frame(Socket& socket) {
  std::string bytes;
  std::array<char, kReadChunkBytes> chunk;
  std::optional<std::size_t> size;
  while (!size || bytes.size() < kSizeFieldBytes + *size) {
    if (const ErrorCode ec = co_await http::wait_for(socket, Socket::wait_read)) co_return std::nullopt;
    ErrorCode ec;
    const auto count = socket.read_some(asio::buffer(chunk), ec);
    if (ec && ec != asio::error::would_block) co_return std::nullopt;
    bytes.append(chunk.data(), count);
    size = announced_size(bytes);
    if (size && *size > kMaxFrameBytes) co_return std::nullopt;  // not a frame of this protocol
  }
  if (bytes.size() > kSizeFieldBytes + *size) co_return std::nullopt;
  co_return bytes.substr(kSizeFieldBytes);
}

// Answers the frames of one connection, one after the other.
asio::awaitable<void> serve_connection(Socket socket, std::shared_ptr<FrameHandler> handler,
                                       [[maybe_unused]] core::InFlightCounter::Slot slot,
                                       std::shared_ptr<core::SocketDeadlines> deadlines) {
  configure(socket);
  core::SocketDeadlines::Guard guard(std::move(deadlines), socket, core::SteadyClock::now() + kIdleTimeout);
  while (true) {
    guard.reset(core::SteadyClock::now() + kIdleTimeout);
    auto frame = co_await read_frame(socket);
    if (!frame) co_return;
    guard.reset(core::TimePoint::max());  // handlers have their own deadlines
    std::string answer = co_await (*handler)(std::move(*frame));
    guard.reset(core::SteadyClock::now() + kWriteTimeout);
    if (!co_await write_frame(socket, std::move(answer))) co_return;
  }
}

asio::awaitable<bool> connect(Socket& socket, const config::Endpoint& to) {
  ErrorCode ec;
  const tcp::endpoint endpoint(asio::ip::make_address_v4(to.host), to.port);
  co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return false;
  configure(socket);
  co_return true;
}

}  // namespace

std::unique_ptr<Socket> TcpLink::take_idle() {
  if (idle_.empty()) return nullptr;
  auto socket = std::move(idle_.back());
  idle_.pop_back();
  return socket;
}

asio::awaitable<std::optional<std::string>> TcpLink::call(std::string frame,
                                                          std::chrono::milliseconds timeout) {
  auto socket = take_idle();
  const bool connected = socket != nullptr;
  if (!connected) socket = std::make_unique<Socket>(executor_);
  const core::SocketDeadlines::Guard guard(deadlines_, *socket, core::SteadyClock::now() + timeout);
  if (!connected && !co_await connect(*socket, to_)) co_return std::nullopt;
  if (!co_await write_frame(*socket, std::move(frame))) co_return std::nullopt;
  auto answer = co_await read_frame(*socket);
  if (answer && idle_.size() < kMaxIdleConnections && socket->is_open()) idle_.push_back(std::move(socket));
  co_return answer;
}

asio::awaitable<void> serve(config::Endpoint at, FrameHandler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, tcp::endpoint(asio::ip::make_address_v4(at.host), at.port));
  auto shared_handler = std::make_shared<FrameHandler>(std::move(handler));
  core::InFlightCounter connections;
  auto deadlines = std::make_shared<core::SocketDeadlines>(executor, kServerDeadlineTick);
  ErrorCode ec;
  while (true) {
    Socket socket(executor);
    co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || connections.count() >= static_cast<std::size_t>(max_connections)) {
      socket.close(ec);
      asio::steady_timer pause(executor, kAcceptPause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    asio::co_spawn(executor,
                   serve_connection(std::move(socket), shared_handler, connections.acquire(), deadlines),
                   asio::detached);
  }
}

}  // namespace finchrun::peer
