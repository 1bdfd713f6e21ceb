// HTTP/1.1 server on one address: a coroutine per connection, bounded in number and in request size.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "config/settings.hpp"

namespace finchrun::http {

namespace asio = boost::asio;

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  std::optional<int> retry_after_s = std::nullopt;
  std::string content_type = "application/json";
};

using Handler = std::function<asio::awaitable<Response>(Request)>;

inline constexpr std::size_t kMaxBody = 64 * 1024;

// Runs until the executor's context ends. Throws when the address can't be bound.
asio::awaitable<void> serve(config::Endpoint at, Handler handler, int max_connections);

}  // namespace finchrun::http
