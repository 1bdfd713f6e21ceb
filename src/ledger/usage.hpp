// Usage windows: core-seconds used by each team, decayed by age (equations 2 and 3 of the paper in
// sched/rank.hpp).
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::ledger {

/// The recent usage of one partition by each team, for fair sharing. Windows are numbered from the epoch of
/// the wall clock, so that the partition's next leader continues the same windows.
class UsageWindows {
 public:
  /// Keeps up to `windows` windows. `decay` is the weight of a window relative to the next newer one.
  UsageWindows(std::size_t teams, double window_s, int windows, double decay)
      : teams_(teams), window_s_(window_s), max_windows_(static_cast<std::size_t>(windows)), decay_(decay) {}

  /// Adds core-seconds to the window that contains the wall time `now_s`.
  void add(core::TeamId team, double core_seconds, double now_s);
  /// Adds empty windows up to the one that contains the wall time `now_s`, and drops the oldest.
  void advance(double now_s);
  /// Returns the decayed usage by team; the newest window has weight 1.
  [[nodiscard]] std::vector<double> decayed() const;
  /// Returns the core-seconds by team, newest window first.
  [[nodiscard]] const std::deque<std::vector<double>>& windows() const { return windows_; }
  /// Returns the number of the newest window.
  [[nodiscard]] std::int64_t index() const { return index_; }
  /// Restores the windows recorded by an earlier leader, newest first; `index` is the number of the newest.
  void restore(std::int64_t index, std::deque<std::vector<double>> windows);

 private:
  std::size_t teams_;
  double window_s_;
  std::size_t max_windows_;
  double decay_;
  std::int64_t index_ = 0;
  std::deque<std::vector<double>> windows_;
};

}  // namespace finchrun::ledger
