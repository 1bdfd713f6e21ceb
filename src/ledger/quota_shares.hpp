// The division of a team's limit into shares for the partitions.
#pragma once

#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace finchrun::ledger {

/// The quota shares of one team: the amount that each partition's leader may allocate to the team without
/// coordination (rule `quota`). The shares always add up to the limit. A partition requests what it lacks,
/// and others grant their surplus. Initially all shares are equal; controllers of all releases must assume
/// that.
///
/// Only CPUs and accelerators are limited; a limit of 0 means unlimited.
class QuotaShares {
 public:
  /// Smaller requests and grants are ignored, to avoid writes of the record.
  static constexpr double kMinAmount = 1e-3;

  QuotaShares() = default;
  QuotaShares(core::Resources limit, std::size_t partitions);

  [[nodiscard]] const core::Resources& limit() const { return limit_; }
  [[nodiscard]] const core::Resources& share(core::PartitionId partition) const {
    return share_.at(partition.index);
  }
  /// Returns the amount that the partition requests in addition to its share.
  [[nodiscard]] const core::Resources& requested(core::PartitionId partition) const {
    return requested_.at(partition.index);
  }
  /// Sets the partition's share and request from the team's record.
  void restore(core::PartitionId partition, core::Resources share, core::Resources requested);
  /// Replaces the partition's request, limited to the sum of the other partitions' shares.
  void request(core::PartitionId partition, core::Resources more);
  /// Moves the share of `from` beyond `used` to the requesting partitions, in their order. Returns true if
  /// any share changed. Only the leader of `from` may call this, since only it knows the usage there.
  bool grant_surplus(core::PartitionId from, const core::Resources& used);

 private:
  core::Resources limit_;
  std::vector<core::Resources> share_, requested_;  // by partition
};

}  // namespace finchrun::ledger
