// A team's limit, divided into shares of the partitions.
#pragma once

#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace finchrun::ledger {

/// The shares of one team: what each partition's leader may book for the team without asking anybody (rule
/// `quota`). They always add up to the limit. A partition that needs more requests it; one that has some to
/// spare grants it. Until anything was granted, every partition has an equal share; controllers of all
/// versions must start from that.
///
/// Only processors and accelerators count; a limit of 0 means none.
class QuotaShares {
 public:
  /// Requests and grants of less are not worth a change of the record.
  static constexpr double kLeastAmount = 1e-3;

  QuotaShares() = default;
  QuotaShares(core::Resources limit, std::size_t partitions);

  [[nodiscard]] const core::Resources& limit() const { return limit_; }
  [[nodiscard]] const core::Resources& share(core::PartitionId partition) const {
    return share_.at(partition.index);
  }
  /// What the partition would like to have beyond its share.
  [[nodiscard]] const core::Resources& requested(core::PartitionId partition) const {
    return requested_.at(partition.index);
  }
  /// Takes over what the team's record says of the partition.
  void restore(core::PartitionId partition, core::Resources share, core::Resources requested);
  /// Requests so much more, in place of what was requested before; never more than the limit leaves to the
  /// other partitions.
  void request(core::PartitionId partition, core::Resources more);
  /// Moves what `from` has beyond `used` to the partitions that request it, in their order. True if anything
  /// moved. Only for the leader of `from`, who alone knows what is used there.
  bool grant_surplus(core::PartitionId from, const core::Resources& used);

 private:
  core::Resources limit_;
  std::vector<core::Resources> share_, requested_;  // by partition
};

}  // namespace finchrun::ledger
