// Usage windows: booked core-seconds of every team, decayed by age (the paper's equations 2 and 3).
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::ledger {

/// What every team used of one partition lately, for fair shares. The time of day is cut into windows,
/// numbered from its zero, so that the next leader of the partition goes on in the same windows.
class UsageWindows {
 public:
  /// `windows`: how many are kept. `decay`: what a window counts in relation to the next newer one.
  UsageWindows(std::size_t teams, double window_s, int windows, double decay)
      : teams_(teams), window_s_(window_s), keep_(static_cast<std::size_t>(windows)), decay_(decay) {}

  /// Adds core-seconds to the window that the time of day `now_s` falls into.
  void add(core::TeamId team, double core_seconds, double now_s);
  /// Begins the windows up to the one that the time of day falls into, and drops the oldest.
  void roll(double now_s);
  /// Usage of each team, the newest window undecayed.
  [[nodiscard]] std::vector<double> decayed() const;
  /// Core-seconds by team, newest window first.
  [[nodiscard]] const std::deque<std::vector<double>>& windows() const { return windows_; }
  /// The number of the newest window.
  [[nodiscard]] std::int64_t index() const { return index_; }
  /// Takes over what an earlier leader recorded, newest first, for the window numbered `index`.
  void restore(std::int64_t index, std::deque<std::vector<double>> windows);

 private:
  std::size_t teams_;
  double window_s_;
  std::size_t keep_;
  double decay_;
  std::int64_t index_ = 0;
  std::deque<std::vector<double>> windows_;
};

}  // namespace finchrun::ledger
