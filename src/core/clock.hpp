// A steady clock for all decisions, and the time of day for users and records. Tests use a simulated clock,
// so that no test waits in real time.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <optional>

namespace finchrun::core {

/// A steady clock, simulated in tests.
struct Steady {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
  /// Tests only: sets the clock to `now`, where it stands still until the next call; nullopt restores the
  /// real clock.
  static void simulate(std::optional<time_point> now) noexcept;
  static bool simulated() noexcept;
};

using TimePoint = Steady::time_point;
using Seconds = std::chrono::duration<double>;

/// Converts seconds to the clock's duration.
inline Steady::duration secs(double seconds) {
  return std::chrono::duration_cast<Steady::duration>(Seconds(seconds));
}
/// Seconds from `from` until `to`.
inline double since(TimePoint from, TimePoint to) { return Seconds(to - from).count(); }
/// Seconds since 1970, for users and records only: the time of day may jump.
double wall_s();

/// Under a simulated clock, a timer expires at the next poll of the event loop by its test.
struct WaitTraits {
  static Steady::duration to_wait_duration(const Steady::duration& d) {
    return Steady::simulated() ? Steady::duration::zero() : d;
  }
  static Steady::duration to_wait_duration(const TimePoint& t) {
    return Steady::simulated() ? Steady::duration::zero() : t - Steady::now();
  }
};
using Timer = boost::asio::basic_waitable_timer<Steady, WaitTraits>;

}  // namespace finchrun::core
