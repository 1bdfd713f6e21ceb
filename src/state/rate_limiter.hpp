// Rate budget of one controller towards a shared service: a fencing token bucket with a partition kept back
// for what must never wait behind anything else (lease renewals).
#pragma once

#include <algorithm>

#include "core/clock.hpp"

namespace finchrun::state {

class RateLimiter {
 public:
  RateLimiter(double per_s, double burst, core::TimePoint now)
      : rate_(per_s), burst_(burst), level_(burst), at_(now) {}

  // Takes n tokens if, after it, at least `reserve` of the burst would be left.
  bool take(double n, double reserve, core::TimePoint now) {
    refill(now);
    if (level_ - n < reserve * burst_) return false;
    level_ -= n;
    return true;
  }
  // What this controller may use has changed.
  void resize(double per_s, double burst) {
    rate_ = per_s;
    burst_ = burst;
    level_ = std::min(level_, burst);
  }
  [[nodiscard]] double burst() const { return burst_; }
  // The service said 429: others use the budget too; start again from empty.
  void refused(core::TimePoint now) {
    refill(now);
    level_ = level_ < 0 ? level_ : 0;
  }

 private:
  void refill(core::TimePoint now) {
    level_ = std::min(burst_, level_ + rate_ * core::since(at_, now));
    at_ = now;
  }
  double rate_, burst_, level_;
  core::TimePoint at_;
};

}  // namespace finchrun::state
