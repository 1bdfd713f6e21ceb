#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace finchrun::app {
namespace {

// A loop that throws is a bug; it is logged and the process ends rather than going on half alive.
void ended(std::exception_ptr e) {
  if (!e) return;
  try {
    std::rethrow_exception(e);
  } catch (const std::exception& x) {
    spdlog::critical("a loop ended: {}", x.what());
  }
  std::_Exit(3);
}

}  // namespace

Controller::Controller(asio::io_context& io, http::Network& network, const config::Settings& s,
                       const config::Tuning& t, std::uint32_t seed,
                       std::vector<std::unique_ptr<peer::Link>> links)
    : io_(io),
      network_(network),
      settings_(s),
      tuning_(t),
      links_(std::move(links)),
      peer_heard_(links_.size()),
      peer_state_seen_(links_.size()),
      store_(network, s, peer_relay()),
      cloud_(network, s),
      state_(s, t),
      sync_wakeup_(io),
      writer_wakeup_(io),
      random_(seed) {}

void Controller::listen() {
  const int reserve = 60 + 2 * static_cast<int>(settings_.members.size());
  asio::co_spawn(io_,
                 http::serve(
                     settings_.listen, [this](http::Request r) { return handle(std::move(r)); },
                     std::max(16, settings_.max_sockets - reserve)),
                 ended);
  asio::co_spawn(
      io_,
      peer::serve(
          settings_.peer_listen, [this](std::string frame) { return handle_peer(std::move(frame)); },
          20 * static_cast<int>(settings_.members.size() + 1)),
      ended);
}

void Controller::start() {
  if (!links_.empty()) asio::co_spawn(io_, peer_loop(), ended);
  asio::co_spawn(io_, member_loop(), ended);
  asio::co_spawn(io_, follow_changes_loop(), ended);
  asio::co_spawn(io_, leadership_loop(), ended);
  asio::co_spawn(io_, probe_loop(), ended);
  asio::co_spawn(io_, stop_loop(), ended);
  asio::co_spawn(io_, writer_loop(), ended);
  asio::co_spawn(io_, cloud_loop(), ended);
}

core::Steady::duration Controller::jitter(double seconds) {
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  return core::secs(seconds * spread(random_));
}

asio::awaitable<void> Controller::sleep(double seconds) {
  core::Timer timer(io_, jitter(seconds));
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}  // namespace finchrun::app
