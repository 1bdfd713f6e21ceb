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

#include "http/exchange.hpp"
#include "peer/messages.hpp"

namespace finchrun::peer {
namespace {

using tcp = asio::ip::tcp;
using http::Code;
using http::Socket;
constexpr std::size_t kKeep = 3;
constexpr std::size_t kHead = 4;
constexpr auto kIdle = std::chrono::seconds(60);
constexpr auto kWrite = std::chrono::seconds(5);

asio::awaitable<bool> write_frame(Socket& socket, std::string frame) {
  std::string bytes(kHead, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(frame.size()));
  bytes += frame;
  for (std::size_t at = 0; at < bytes.size();) {
    Code ec;
    at += socket.write_some(asio::buffer(bytes.data() + at, bytes.size() - at), ec);
    if (ec == asio::error::would_block) ec = co_await http::wait_for(socket, Socket::wait_write);
    if (ec) co_return false;
  }
  co_return true;
}

// One exchange at a time is under way on a connection, so a frame's bytes are all that comes.
asio::awaitable<std::optional<std::string>> read_frame(Socket& socket) {
  std::string bytes;
  std::array<char, 4096> chunk;
  std::optional<std::size_t> size;
  while (!size || bytes.size() < kHead + *size) {
    if (const Code ec = co_await http::wait_for(socket, Socket::wait_read)) co_return std::nullopt;
    Code ec;
    const auto n = socket.read_some(asio::buffer(chunk), ec);
    if (ec && ec != asio::error::would_block) co_return std::nullopt;
    bytes.append(chunk.data(), n);
    if (!size && bytes.size() >= kHead) {
      size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
      if (*size > kMaxFrame) co_return std::nullopt;  // not one of ours
    }
  }
  if (bytes.size() > kHead + *size) co_return std::nullopt;
  co_return bytes.substr(kHead);
}

asio::awaitable<void> session(Socket socket, std::shared_ptr<FrameHandler> handler, std::shared_ptr<int> open,
                              std::shared_ptr<core::Deadlines> deadlines) {
  struct Count {
    std::shared_ptr<int> n;
    ~Count() { --*n; }
  } count{open};
  Code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  core::Deadlines::Guard guard(std::move(deadlines), socket, core::Steady::now() + kIdle);
  while (true) {
    guard.move_to(core::Steady::now() + kIdle);
    auto frame = co_await read_frame(socket);
    if (!frame) co_return;
    guard.move_to(core::TimePoint::max());  // handlers have deadlines of their own
    std::string answer = co_await (*handler)(std::move(*frame));
    guard.move_to(core::Steady::now() + kWrite);
    if (!co_await write_frame(socket, std::move(answer))) co_return;
  }
}

}  // namespace

asio::awaitable<std::optional<std::string>> TcpLink::call(std::string frame,
                                                          std::chrono::milliseconds limit) {
  std::unique_ptr<Socket> socket;
  const bool reused = !idle_.empty();
  if (reused) {
    socket = std::move(idle_.back());
    idle_.pop_back();
  } else {
    socket = std::make_unique<Socket>(executor_);
  }
  const core::Deadlines::Guard guard(deadlines_, *socket, core::Steady::now() + limit);
  if (!reused) {
    Code ec;
    const tcp::endpoint to(asio::ip::make_address_v4(to_.host), to_.port);
    co_await socket->async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return std::nullopt;
    socket->set_option(tcp::no_delay(true), ec);
    socket->non_blocking(true, ec);
  }
  if (!co_await write_frame(*socket, std::move(frame))) co_return std::nullopt;
  auto answer = co_await read_frame(*socket);
  if (answer && idle_.size() < kKeep && socket->is_open()) idle_.push_back(std::move(socket));
  co_return answer;
}

asio::awaitable<void> serve(config::Endpoint at, FrameHandler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, tcp::endpoint(asio::ip::make_address_v4(at.host), at.port));
  auto shared = std::make_shared<FrameHandler>(std::move(handler));
  auto open = std::make_shared<int>(0);
  auto deadlines = std::make_shared<core::Deadlines>(executor, std::chrono::seconds(2));
  boost::system::error_code ec;
  while (true) {
    tcp::socket socket(executor);
    co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || *open >= max_connections) {
      socket.close(ec);
      asio::steady_timer pause(executor, std::chrono::milliseconds(50));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    ++*open;
    asio::co_spawn(executor, session(std::move(socket), shared, open, deadlines), asio::detached);
  }
}

}  // namespace finchrun::peer
