#include "core/clock.hpp"

#include <atomic>

namespace finchrun::core {
namespace {

std::atomic<bool> simulated_now{false};
std::atomic<Steady::rep> shown{0};

}  // namespace

Steady::time_point Steady::now() noexcept {
  if (simulated_now.load(std::memory_order_relaxed)) return time_point(duration(shown.load()));
  return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

void Steady::simulate(std::optional<time_point> now) noexcept {
  if (now) shown = now->time_since_epoch().count();
  simulated_now = now.has_value();
}

bool Steady::simulated() noexcept { return simulated_now.load(std::memory_order_relaxed); }

double wall_s() {
  constexpr double kSimulatedEpochS = 1.7e9;
  if (Steady::simulated()) return kSimulatedEpochS + Seconds(Steady::now().time_since_epoch()).count();
  return Seconds(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace finchrun::core
