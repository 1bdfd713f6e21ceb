// Token bucket that limits one controller's requests to a shared service.
#pragma once

#include <algorithm>

#include "core/clock.hpp"

namespace finchrun::state {

/// A token bucket that refills at a steady rate up to a burst. Callers name a reserve that they leave for
/// more important requests, such as lease renewals.
class RateLimiter {
 public:
  /// Starts full. `burst`: capacity in tokens.
  RateLimiter(double per_s, double burst, core::TimePoint now)
      : rate_(per_s), burst_(burst), tokens_(burst), refilled_at_(now) {}

  /// Takes the tokens if at least `reserve` (a share of the burst) is left afterwards; otherwise returns
  /// false. A negative reserve allows an overdraft of that size.
  bool try_take(double tokens, double reserve, core::TimePoint now) {
    refill(now);
    if (tokens_ - tokens < reserve * burst_) return false;
    tokens_ -= tokens;
    return true;
  }
  void set_rate(double per_s, double burst) {
    rate_ = per_s;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }
  [[nodiscard]] double burst() const { return burst_; }
  /// Empties the bucket after the service answered 429: other clients use the service's budget as well.
  void drain(core::TimePoint now) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);
  }

 private:
  void refill(core::TimePoint now) {
    tokens_ = std::min(burst_, tokens_ + rate_ * core::seconds_between(refilled_at_, now));
    refilled_at_ = now;
  }
  double rate_, burst_, tokens_;  // tokens per second, tokens, tokens
  core::TimePoint refilled_at_;
};

}  // namespace finchrun::state
