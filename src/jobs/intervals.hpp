// A set of task numbers, stored as sorted half-open intervals, which are few since tasks mostly finish in
// order.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace finchrun::jobs {

class Intervals {
 public:
  using Span = std::pair<std::uint32_t, std::uint32_t>;

  void add(std::uint32_t from, std::uint32_t to) {
    if (from >= to) return;
    auto first = std::lower_bound(spans_.begin(), spans_.end(), from,
                                  [](const Span& span, std::uint32_t value) { return span.second < value; });
    auto last = first;
    while (last != spans_.end() && last->first <= to) {
      from = std::min(from, last->first);
      to = std::max(to, last->second);
      ++last;
    }
    first = spans_.erase(first, last);
    spans_.insert(first, {from, to});
  }
  [[nodiscard]] bool contains(std::uint32_t number) const {
    auto it = std::upper_bound(spans_.begin(), spans_.end(), number,
                               [](std::uint32_t value, const Span& span) { return value < span.second; });
    return it != spans_.end() && it->first <= number;
  }
  // Returns how many numbers of [from, to) are in the set.
  [[nodiscard]] std::uint32_t count(std::uint32_t from, std::uint32_t to) const {
    std::uint32_t total = 0;
    for (const auto& [first, end] : spans_) {
      const auto low = std::max(first, from), high = std::min(end, to);
      if (low < high) total += high - low;
    }
    return total;
  }
  [[nodiscard]] std::uint32_t size() const { return count(0, UINT32_MAX); }
  [[nodiscard]] const std::vector<Span>& spans() const { return spans_; }
  bool operator==(const Intervals&) const = default;

 private:
  std::vector<Span> spans_;
};

}  // namespace finchrun::jobs
