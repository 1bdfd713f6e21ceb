// The number of changes in one transaction after refusals that no retry helps.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace finchrun::assignments {

/// No bound on the number of changes in a transaction beside the store's limits.
inline constexpr std::size_t kUnlimitedChanges = std::numeric_limits<std::size_t>::max();

/// The most changes in the next transaction: half as many after a permanent refusal, twice as many after a
/// commit. A refused change is so found by itself in a number of steps that grows with the logarithm of the
/// transaction's changes.
class BatchSize {
 public:
  [[nodiscard]] std::size_t max_changes() const { return max_changes_; }
  /// `refused`: upper bound of the number of changes in the refused transaction.
  void shrink(std::size_t refused) {
    max_changes_ = std::max<std::size_t>(1, std::min(refused, max_changes_) / 2);
  }
  void grow() {
    if (max_changes_ <= kUnlimitedChanges / 2) max_changes_ *= 2;
  }

 private:
  std::size_t max_changes_ = kUnlimitedChanges;
};

}  // namespace finchrun::assignments
