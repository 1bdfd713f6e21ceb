// Where requests go: an HTTP client in the program, a stand-in in tests.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "config/settings.hpp"

namespace finchrun::http {

namespace asio = boost::asio;
using Verb = boost::beast::http::verb;

// status 0: no answer; the request might have been carried out, or might still be.
struct Answer {
  int status = 0;
  std::string body;
};

class Transport {
 public:
  virtual ~Transport() = default;
  virtual asio::awaitable<Answer> call(Verb verb, std::string target, std::string body,
                                       std::chrono::milliseconds limit) = 0;
};

class Network {
 public:
  virtual ~Network() = default;
  // `keep`: how many idle connections are kept for the next calls.
  virtual std::unique_ptr<Transport> connect(const config::Endpoint& to, std::size_t keep) = 0;
};

}  // namespace finchrun::http
