// HTTP/1.1 server on one address: one coroutine per connection, with limits on connections and request size.
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

/// A request as the handler gets it; `target` is the path with the query.
struct Request {
  std::string method;
  std::string target;
  std::string body;
};

/// A handler's response.
struct Response {
  int status = status::kOk;
  std::string body;
  std::optional<int> retry_after_s = std::nullopt;
  std::string content_type = "application/json";
};

/// Handles one request; must not throw.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// Requests with a longer body are rejected with 413, unread.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

/// Serves requests until the executor's context ends. Throws if the address cannot be bound. Connections
/// beyond `max_connections` are closed at once.
asio::awaitable<void> serve(config::Endpoint endpoint, Handler handler, int max_connections);

}  // namespace finchrun::http
