// Times: a steady clock for everything that is decided, the time of day only for what users and records show.
// Tests put a simulated clock in its place, so that no test sleeps on real time.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <optional>

namespace finchrun::core {

/// A steady clock; in tests, the simulated one.
struct Steady {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
  /// Tests only: from now on the clock shows `now` and stands still until the next call; nothing: the real
  /// clock.
  static void simulate(std::optional<time_point> now) noexcept;
  static bool simulated() noexcept;
};

using TimePoint = Steady::time_point;
using Seconds = std::chrono::duration<double>;

/// A number of seconds as the clock's duration.
inline Steady::duration secs(double seconds) {
  return std::chrono::duration_cast<Steady::duration>(Seconds(seconds));
}
/// Seconds from `from` until `to`.
inline double since(TimePoint from, TimePoint to) { return Seconds(to - from).count(); }
/// Seconds since 1970, for users and records only: the time of day may jump.
double wall_s();

/// Under a simulated clock timers end at the next poll of the event loop that its test lets through.
struct WaitTraits {
  static Steady::duration to_wait_duration(const Steady::duration& d) {
    return Steady::simulated() ? Steady::duration::zero() : d;
  }
  static Steady::duration to_wait_duration(const TimePoint& t) {
    return Steady::simulated() ? Steady::duration::zero() : t - Steady::now();
  }
};
/// A timer by `Steady`.
using Timer = boost::asio::basic_waitable_timer<Steady, WaitTraits>;

}  // namespace finchrun::core
