#include "ledger/quota_shares.hpp"

#include <algorithm>

namespace finchrun::ledger {

namespace {

// Moves the unused and requested amount of one resource between two shares. Returns true if they changed.
bool transfer(double& from, double used, double& to, double& requested) {
  const double amount = std::min(requested, from - used);
  if (amount < QuotaShares::kMinAmount) return false;
  from -= amount;
  to += amount;
  requested -= amount;
  return true;
}

}  // namespace

QuotaShares::QuotaShares(core::Resources limit, std::size_t partitions)
    : limit_(limit),
      share_(partitions, limit * (1.0 / static_cast<double>(std::max<std::size_t>(1, partitions)))),
      requested_(partitions) {}

void QuotaShares::restore(core::PartitionId partition, core::Resources share, core::Resources requested) {
  share_.at(partition.index) = share;
  requested_.at(partition.index) = requested;
}

void QuotaShares::request(core::PartitionId partition, core::Resources more) {
  const auto& share = share_.at(partition.index);
  requested_.at(partition.index) = {std::clamp(more.cpus, 0.0, std::max(0.0, limit_.cpus - share.cpus)),
                                    std::clamp(more.gpus, 0.0, std::max(0.0, limit_.gpus - share.gpus)), 0};
}

bool QuotaShares::grant_surplus(core::PartitionId from, const core::Resources& used) {
  auto& surplus = share_.at(from.index);
  bool moved = false;
  for (std::size_t to = 0; to < share_.size(); ++to) {
    if (to == from.index) continue;
    moved |= transfer(surplus.cpus, used.cpus, share_[to].cpus, requested_[to].cpus);
    moved |= transfer(surplus.gpus, used.gpus, share_[to].gpus, requested_[to].gpus);
  }
  return moved;
}

}  // namespace finchrun::ledger
