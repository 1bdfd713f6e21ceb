// A set of task numbers, kept as sorted half-open intervals: tasks mostly finish in order, so it stays short.
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
                                  [](const Span& s, std::uint32_t v) { return s.second < v; });
    auto last = first;
    while (last != spans_.end() && last->first <= to) {
      from = std::min(from, last->first);
      to = std::max(to, last->second);
      ++last;
    }
    first = spans_.erase(first, last);
    spans_.insert(first, {from, to});
  }
  [[nodiscard]] bool contains(std::uint32_t v) const {
    auto it = std::upper_bound(spans_.begin(), spans_.end(), v,
                               [](std::uint32_t x, const Span& s) { return x < s.second; });
    return it != spans_.end() && it->first <= v;
  }
  // How many numbers of [from, to) are in the set.
  [[nodiscard]] std::uint32_t count(std::uint32_t from, std::uint32_t to) const {
    std::uint32_t n = 0;
    for (const auto& [a, b] : spans_) {
      const auto lo = std::max(a, from), hi = std::min(b, to);
      if (lo < hi) n += hi - lo;
    }
    return n;
  }
  [[nodiscard]] std::uint32_t size() const { return count(0, UINT32_MAX); }
  [[nodiscard]] const std::vector<Span>& spans() const { return spans_; }
  bool operator==(const Intervals&) const = default;

 private:
  std::vector<Span> spans_;
};

}  // namespace finchrun::jobs
