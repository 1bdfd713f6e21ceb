// Usage windows: booked core-seconds of every team, decayed by age (the paper's equations 2 and 3).
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/ids.hpp"

namespace finchrun::ledger {

class UsageWindows {
 public:
  UsageWindows(std::size_t teams, double window_s, int windows, double decay)
      : teams_(teams), window_s_(window_s), keep_(static_cast<std::size_t>(windows)), decay_(decay) {}

  // Adds core-seconds to the window that the time of day falls into.
  void add(core::TeamId team, double core_seconds, double now_s) {
    roll(now_s);
    windows_.front().at(team.index) += core_seconds;
  }
  void roll(double now_s) {
    const auto index = static_cast<std::int64_t>(now_s / window_s_);
    if (windows_.empty()) {
      windows_.emplace_front(teams_, 0.0);
      index_ = index;
    }
    // The time of day may step back a little: then the newest window goes on.
    for (std::size_t steps = 0; index_ < index; ++index_) {
      if (++steps > keep_) {  // a long gap: nothing older counts any more
        index_ = index;
        break;
      }
      windows_.emplace_front(teams_, 0.0);
      if (windows_.size() > keep_) windows_.pop_back();
    }
  }
  // Decayed usage of each team, newest window undecayed.
  [[nodiscard]] std::vector<double> decayed() const {
    std::vector<double> sum(teams_, 0.0);
    double weight = 1;
    for (const auto& window : windows_) {
      for (std::size_t t = 0; t < teams_; ++t) sum[t] += window[t] * weight;
      weight *= decay_;
    }
    return sum;
  }
  [[nodiscard]] const std::deque<std::vector<double>>& windows() const { return windows_; }
  [[nodiscard]] std::int64_t index() const { return index_; }
  // Takes over what an earlier leader recorded, newest first, for the window numbered `index`.
  void restore(std::int64_t index, std::deque<std::vector<double>> windows) {
    windows_ = std::move(windows);
    for (auto& w : windows_) w.resize(teams_, 0.0);
    if (windows_.empty()) windows_.emplace_front(teams_, 0.0);
    index_ = index;
  }

 private:
  std::size_t teams_;
  double window_s_;
  std::size_t keep_;
  double decay_;
  std::int64_t index_ = 0;
  std::deque<std::vector<double>> windows_;
};

}  // namespace finchrun::ledger
