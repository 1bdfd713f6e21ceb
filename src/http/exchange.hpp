// Messages over a socket that does not block: the system is asked once for each wait, read and write.
// Composed operations with a timer each took about three times as many calls.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace finchrun::http {

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;
using Code = boost::system::error_code;

inline asio::awaitable<Code> wait_for(Socket& socket, Socket::wait_type what) {
  Code ec;
  co_await socket.async_wait(what, asio::redirect_error(asio::use_awaitable, ec));
  co_return ec;
}

// Reads until the parser is done. The socket must not block.
template <class Buffer, class Parser>
asio::awaitable<Code> receive(Socket& socket, Buffer& buffer, Parser& parser) {
  parser.eager(true);
  bool wait = buffer.size() == 0;
  while (!parser.is_done()) {
    if (wait) {
      if (const Code ec = co_await wait_for(socket, Socket::wait_read)) co_return ec;
    }
    Code ec;
    boost::beast::http::read_some(socket, buffer, parser, ec);
    wait = ec == asio::error::would_block;
    if (ec && !wait) co_return ec;
  }
  co_return Code{};
}

template <class Message>
asio::awaitable<Code> send(Socket& socket, Message& message) {
  boost::beast::http::serializer<Message::is_request::value, typename Message::body_type> serializer(message);
  while (!serializer.is_done()) {
    Code ec;
    boost::beast::http::write_some(socket, serializer, ec);
    if (ec == asio::error::would_block) ec = co_await wait_for(socket, Socket::wait_write);
    if (ec) co_return ec;
  }
  co_return Code{};
}

}  // namespace finchrun::http
