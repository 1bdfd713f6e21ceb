#include "core/clock.hpp"

#include <atomic>

namespace finchrun::core {
namespace {

std::atomic<bool> is_simulated{false};
std::atomic<SteadyClock::rep> simulated_time{0};

}  // namespace

SteadyClock::time_point SteadyClock::now() noexcept {
  if (is_simulated.load(std::memory_order_relaxed)) return time_point(duration(simulated_time.load()));
  return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

void SteadyClock::simulate(std::optional<time_point> now) noexcept {
  if (now) simulated_time = now->time_since_epoch().count();
  is_simulated = now.has_value();
}

bool SteadyClock::simulated() noexcept { return is_simulated.load(std::memory_order_relaxed); }

double unix_time_s() {
  constexpr double kSimulatedEpochS = 1.7e9;
  if (SteadyClock::simulated())
    return kSimulatedEpochS + Seconds(SteadyClock::now().time_since_epoch()).count();
  return Seconds(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace finchrun::core
