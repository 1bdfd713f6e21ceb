// HTTP/1.1 server on one address: a coroutine per connection, bounded in number and in request size.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "http/status.hpp"

namespace finchrun::http {

namespace asio = boost::asio;

/// A request as its handler sees it: `target` is the path with its query.
struct Request {
  std::string method;
  std::string target;
  std::string body;
};

/// What a handler answers.
struct Response {
  int status = status::kOk;
  std::string body;
  std::optional<int> retry_after_s = std::nullopt;
  std::string content_type = "application/json";
};

/// Called once for each request; must not throw.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// Longer requests are refused with 413, unread.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

/// Serves requests until the executor's context ends. Throws when the address can't be bound. Connections
/// over `max_connections` are closed at once.
asio::awaitable<void> serve(config::Endpoint at, Handler handler, int max_connections);

}  // namespace finchrun::http
