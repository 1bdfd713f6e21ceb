// Interfaces for outgoing requests: an HTTP client in the program, a simulated network in tests.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "http/status.hpp"

namespace finchrun::http {

namespace asio = boost::asio;
using Verb = boost::beast::http::verb;

/// The response to a request. After `status::kNoAnswer` the request may have been executed, or may still be
/// executed.
struct ClientResponse {
  int status = status::kNoAnswer;
  std::string body;
};

/// Sends requests to one endpoint.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Sends one request; never throws, and returns `kNoAnswer` after `timeout`.
  virtual asio::awaitable<ClientResponse> call(Verb verb, std::string target, std::string body,
                                               std::chrono::milliseconds timeout) = 0;
};

/// Creates transports over TCP or a simulated network.
class Network {
 public:
  virtual ~Network() = default;
  /// Up to `max_idle_connections` stay open for the next calls.
  virtual std::unique_ptr<Transport> connect(const config::Endpoint& endpoint,
                                             std::size_t max_idle_connections) = 0;
};

}  // namespace finchrun::http
