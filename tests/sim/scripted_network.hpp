// A network for tests of one client, with responses prepared by the test.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/transport.hpp"

namespace finchrun::sim {

/// Returns the prepared responses in order, then `kNoAnswer`, and records the requests.
struct ScriptedNetwork : http::Network {
  struct ScriptedTransport : http::Transport {
    explicit ScriptedTransport(ScriptedNetwork& network) : script(network) {}
    boost::asio::awaitable<http::ClientResponse> call(http::Verb, std::string target, std::string body,
                                                      std::chrono::milliseconds) override {
      script.targets.push_back(std::move(target));
      script.bodies.push_back(std::move(body));
      if (script.on_request) script.on_request();
      if (script.answers.empty()) co_return http::ClientResponse{};
      auto answer = script.answers.front();
      script.answers.pop_front();
      co_return answer;
    }
    ScriptedNetwork& script;
  };
  std::unique_ptr<http::Transport> connect(const config::Endpoint&, std::size_t) override {
    return std::make_unique<ScriptedTransport>(*this);
  }
  std::deque<http::ClientResponse> answers;
  std::vector<std::string> targets, bodies;
  std::function<void()> on_request;  // called with each request
};

/// Runs the coroutine that `start` returns to completion and returns its result.
template <class F>
auto run_to_completion(F&& start) {
  boost::asio::io_context io;
  std::optional<typename decltype(start())::value_type> result;
  boost::asio::co_spawn(
      io, [&]() -> boost::asio::awaitable<void> { result = co_await start(); }, boost::asio::detached);
  io.run();
  return *result;
}

}  // namespace finchrun::sim
