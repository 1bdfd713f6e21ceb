// Where requests go: an HTTP client in the program, a stand-in in tests.
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

/// What came back. `status::kNoAnswer`: the request might have been carried out, or might still be.
struct Answer {
  int status = status::kNoAnswer;
  std::string body;
};

/// A way to one endpoint.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Sends one request; never throws, and answers `kNoAnswer` after `limit`.
  virtual asio::awaitable<Answer> call(Verb verb, std::string target, std::string body,
                                       std::chrono::milliseconds limit) = 0;
};

/// Makes transports: the real network, or the simulated one.
class Network {
 public:
  virtual ~Network() = default;
  /// `keep`: how many idle connections are kept for the next calls.
  virtual std::unique_ptr<Transport> connect(const config::Endpoint& to, std::size_t keep) = 0;
};

}  // namespace finchrun::http
