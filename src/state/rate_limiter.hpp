// Rate budget of one controller towards a shared service: a token bucket.
#pragma once

#include <algorithm>

#include "core/clock.hpp"

namespace finchrun::state {

/// A token bucket that refills at a steady rate up to a burst. Callers name a reserve, which they leave in
/// the bucket for what must never wait behind anything else (lease renewals). The caller gives the clock.
class RateLimiter {
 public:
  /// Full at first. `burst`: tokens that it holds at most.
  RateLimiter(double per_s, double burst, core::TimePoint now)
      : rate_(per_s), burst_(burst), level_(burst), refilled_at_(now) {}

  /// Takes n tokens if, after it, at least `reserve` (a share of the burst) would be left; else takes none
  /// and is false. A negative reserve lets the bucket be overdrawn so far.
  bool take(double n, double reserve, core::TimePoint now) {
    refill(now);
    if (level_ - n < reserve * burst_) return false;
    level_ -= n;
    return true;
  }
  /// What this controller may use has changed.
  void resize(double per_s, double burst) {
    rate_ = per_s;
    burst_ = burst;
    level_ = std::min(level_, burst);
  }
  [[nodiscard]] double burst() const { return burst_; }
  /// The service answered 429: others use the budget too; start again from empty.
  void refused(core::TimePoint now) {
    refill(now);
    level_ = std::min(level_, 0.0);
  }

 private:
  void refill(core::TimePoint now) {
    level_ = std::min(burst_, level_ + rate_ * core::since(refilled_at_, now));
    refilled_at_ = now;
  }
  double rate_, burst_, level_;  // tokens per second, tokens, tokens
  core::TimePoint refilled_at_;
};

}  // namespace finchrun::state
