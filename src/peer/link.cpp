#include "peer/link.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "peer/messages.hpp"

namespace finchrun::peer {
namespace {

using Stream = boost::beast::tcp_stream;
using tcp = asio::ip::tcp;
constexpr std::size_t kKeep = 3;

asio::awaitable<bool> write_frame(Stream& stream, const std::string& frame) {
  std::string bytes(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(frame.size()));
  bytes += frame;
  boost::system::error_code ec;
  co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

asio::awaitable<std::optional<std::string>> read_frame(Stream& stream) {
  std::array<unsigned char, 4> head{};
  boost::system::error_code ec;
  co_await asio::async_read(stream, asio::buffer(head), asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return std::nullopt;
  const auto size = boost::endian::load_big_u32(head.data());
  if (size > kMaxFrame) co_return std::nullopt;  // not one of ours
  std::string frame(size, '\0');
  co_await asio::async_read(stream, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return std::nullopt;
  co_return frame;
}

asio::awaitable<void> session(tcp::socket socket, std::shared_ptr<FrameHandler> handler,
                              std::shared_ptr<int> open) {
  struct Count {
    std::shared_ptr<int> n;
    ~Count() { --*n; }
  } count{open};
  Stream stream(std::move(socket));
  while (true) {
    stream.expires_after(std::chrono::seconds(60));
    auto frame = co_await read_frame(stream);
    if (!frame) co_return;
    stream.expires_never();
    const std::string answer = co_await (*handler)(std::move(*frame));
    stream.expires_after(std::chrono::seconds(5));
    if (!co_await write_frame(stream, answer)) co_return;
  }
}

}  // namespace

asio::awaitable<std::optional<std::string>> TcpLink::call(std::string frame,
                                                          std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  std::unique_ptr<Stream> stream;
  if (!idle_.empty()) {
    stream = std::move(idle_.back());
    idle_.pop_back();
    stream->expires_at(deadline);
  } else {
    stream = std::make_unique<Stream>(executor_);
    stream->expires_at(deadline);
    boost::system::error_code ec;
    const tcp::endpoint to(asio::ip::make_address_v4(to_.host), to_.port);
    co_await stream->async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return std::nullopt;
    stream->socket().set_option(tcp::no_delay(true), ec);
  }
  if (!co_await write_frame(*stream, frame)) co_return std::nullopt;
  auto answer = co_await read_frame(*stream);
  if (answer && idle_.size() < kKeep) {
    stream->expires_never();
    idle_.push_back(std::move(stream));
  }
  co_return answer;
}

asio::awaitable<void> serve(config::Endpoint at, FrameHandler handler, int max_connections) {
  auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, tcp::endpoint(asio::ip::make_address_v4(at.host), at.port));
  auto shared = std::make_shared<FrameHandler>(std::move(handler));
  auto open = std::make_shared<int>(0);
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
    asio::co_spawn(executor, session(std::move(socket), shared, open), asio::detached);
  }
}

}  // namespace finchrun::peer
