// A steady clock for all decisions, and the time of day for users and records. Tests use a simulated clock,
// so that no test waits in real time.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <optional>

namespace finchrun::core {

/// A steady clock, simulated in tests.
struct SteadyClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
  /// Tests only: sets the clock to `now`, where it stands still until the next call; nullopt restores the
  /// real clock.
  static void simulate(std::optional<time_point> now) noexcept;
  static bool simulated() noexcept;
};

using TimePoint = SteadyClock::time_point;
using Seconds = std::chrono::duration<double>;

/// Converts seconds to the clock's duration.
inline SteadyClock::duration to_duration(double seconds) {
  return std::chrono::duration_cast<SteadyClock::duration>(Seconds(seconds));
}
/// Seconds from `from` until `to`.
inline double seconds_between(TimePoint from, TimePoint to) { return Seconds(to - from).count(); }
/// Seconds since 1970, for users and records only: the time of day may jump.
double unix_time_s();

/// Under a simulated clock, a timer expires as soon as the test polls the event loop.
struct WaitTraits {
  static SteadyClock::duration to_wait_duration(const SteadyClock::duration& d) {
    return SteadyClock::simulated() ? SteadyClock::duration::zero() : d;
  }
  static SteadyClock::duration to_wait_duration(const TimePoint& t) {
    return SteadyClock::simulated() ? SteadyClock::duration::zero() : t - SteadyClock::now();
  }
};
using Timer = boost::asio::basic_waitable_timer<SteadyClock, WaitTraits>;

}  // namespace finchrun::core
