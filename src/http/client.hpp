// HTTP/1.1 client for one endpoint: a small bounded pool of kept connections, a deadline for every request.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace finchrun::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Verb = beast::http::verb;

// status 0: no answer; the request might have been carried out, or might still be.
struct Answer {
  int status = 0;
  std::string body;
  [[nodiscard]] bool ok() const { return status == 200; }
};

class Client {
 public:
  Client(asio::any_io_executor executor, config::Endpoint endpoint, std::size_t keep = 4);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  asio::awaitable<Answer> call(Verb verb, std::string target, std::string body, std::chrono::milliseconds limit);

 private:
  using Stream = std::unique_ptr<beast::tcp_stream>;
  asio::any_io_executor executor_;
  config::Endpoint endpoint_;
  std::size_t keep_;
  std::vector<Stream> idle_;
};

}  // namespace finchrun::http
