// What all components of a controller share to run: its event loop, its background coroutines and its random
// pauses.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <random>

#include "core/clock.hpp"

namespace finchrun::controller {

namespace asio = boost::asio;

/// The event loop of one controller. All coroutines of the process run on its single thread.
class Runtime {
 public:
  Runtime(asio::io_context& io, std::uint32_t seed) : io_(io), random_(seed) {}

  [[nodiscard]] asio::io_context& io() { return io_; }
  /// Between 80% and 120% of `seconds`, evenly distributed, so that controllers don't act in step. Draws once
  /// from the seeded generator: simulations repeat only while the order of draws stays.
  [[nodiscard]] core::SteadyClock::duration jitter(double seconds);
  /// Waits for `jitter(seconds)`, drawn when the wait begins.
  asio::awaitable<void> sleep(double seconds);
  /// Starts a loop that lasts as long as the process: one that throws is a bug, and ends the process with
  /// status 3 rather than leaving it half alive. No destructors run.
  void run_forever(asio::awaitable<void> loop);
  /// Starts a task that ends by itself. An exception that leaves it is logged, and ends it alone.
  void spawn(asio::awaitable<void> task);

 private:
  asio::io_context& io_;
  std::mt19937 random_;
};

/// Wakes the one coroutine that waits for it. A notification while nobody waits is lost.
class Wakeup {
 public:
  explicit Wakeup(asio::io_context& io) : timer_(io) {}
  /// Ends the wait that is under way, if any.
  void notify() { timer_.cancel(); }
  /// Waits until notified, `seconds` at most, without jitter. Does not say which of the two ended the wait.
  /// For one coroutine at a time: a second one would end the wait of the first.
  asio::awaitable<void> wait(double seconds);

 private:
  core::Timer timer_;
};

}  // namespace finchrun::controller
