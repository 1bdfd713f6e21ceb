// HTTP messages over a non-blocking socket, with one system call for each wait, read and write.
// Composed asynchronous operations with a timer each made about three times as many system calls.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace finchrun::http {

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;
using ErrorCode = boost::system::error_code;

inline asio::awaitable<ErrorCode> wait_for(Socket& socket, Socket::wait_type readiness) {
  ErrorCode ec;
  co_await socket.async_wait(readiness, asio::redirect_error(asio::use_awaitable, ec));
  co_return ec;
}

// Reads until the parser is done. The socket must be non-blocking.
template <class Buffer, class Parser>
asio::awaitable<ErrorCode> receive(Socket& socket, Buffer& buffer, Parser& parser) {
  parser.eager(true);
  bool must_wait = buffer.size() == 0;
  while (!parser.is_done()) {
    if (must_wait) {
      if (const ErrorCode ec = co_await wait_for(socket, Socket::wait_read)) co_return ec;
    }
    ErrorCode ec;
    boost::beast::http::read_some(socket, buffer, parser, ec);
    must_wait = ec == asio::error::would_block;
    if (ec && !must_wait) co_return ec;
  }
  co_return ErrorCode{};
}

template <class Message>
asio::awaitable<ErrorCode> send(Socket& socket, Message& message) {
  boost::beast::http::serializer<Message::is_request::value, typename Message::body_type> serializer(message);
  while (!serializer.is_done()) {
    ErrorCode ec;
    boost::beast::http::write_some(socket, serializer, ec);
    if (ec == asio::error::would_block) ec = co_await wait_for(socket, Socket::wait_write);
    if (ec) co_return ec;
  }
  co_return ErrorCode{};
}

}  // namespace finchrun::http
