// The runtime of a controller: its event loop, background coroutines and jittered delays.
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
  /// Returns a uniformly random duration between 80% and 120% of `seconds`, so that controllers don't act in
  /// lockstep. Draws once from the seeded generator; a simulation is reproducible only while the order of
  /// draws stays the same.
  [[nodiscard]] core::SteadyClock::duration jitter(double seconds);
  /// Waits for `jitter(seconds)`, drawn when the wait begins.
  asio::awaitable<void> sleep(double seconds);
  /// Starts a loop that runs until the process ends. An exception from it is a bug and terminates the process
  /// with status 3, without destructors, so that the process does not run on without the loop.
  void run_forever(asio::awaitable<void> loop);
  /// Starts a task that ends by itself. An exception from it is logged and ends only this task.
  void spawn(asio::awaitable<void> task);

 private:
  asio::io_context& io_;
  std::mt19937 random_;
};

/// Wakes the one coroutine that waits on it. A notification without a waiting coroutine is lost.
class Wakeup {
 public:
  explicit Wakeup(asio::io_context& io) : timer_(io) {}
  /// Ends the current wait, if any.
  void notify() { timer_.cancel(); }
  /// Waits for a notification, but no longer than `seconds`, without jitter; does not report which of the two
  /// ended the wait. Only one coroutine may wait at a time: a second would end the wait of the first.
  asio::awaitable<void> wait(double seconds);

 private:
  core::Timer timer_;
};

}  // namespace finchrun::controller
