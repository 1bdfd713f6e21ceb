#include "ledger/usage.hpp"

#include <utility>

namespace finchrun::ledger {

void UsageWindows::add(core::TeamId team, double core_seconds, double now_s) {
  advance(now_s);
  windows_.front().at(team.index) += core_seconds;
}

void UsageWindows::advance(double now_s) {
  const auto index = static_cast<std::int64_t>(now_s / window_s_);
  if (windows_.empty()) {
    windows_.emplace_front(teams_, 0.0);
    index_ = index;
  }
  // The wall clock may step back; the newest window then stays current.
  for (std::size_t steps = 0; index_ < index; ++index_) {
    if (++steps > max_windows_) {  // the gap exceeds all kept windows
      index_ = index;
      break;
    }
    windows_.emplace_front(teams_, 0.0);
    if (windows_.size() > max_windows_) windows_.pop_back();
  }
}

std::vector<double> UsageWindows::decayed() const {
  std::vector<double> sum(teams_, 0.0);
  double weight = 1;
  for (const auto& window : windows_) {
    for (std::size_t t = 0; t < teams_; ++t) sum[t] += window[t] * weight;
    weight *= decay_;
  }
  return sum;
}

void UsageWindows::restore(std::int64_t index, std::deque<std::vector<double>> windows) {
  windows_ = std::move(windows);
  for (auto& window : windows_) window.resize(teams_, 0.0);
  if (windows_.empty()) windows_.emplace_front(teams_, 0.0);
  index_ = index;
}

}  // namespace finchrun::ledger
