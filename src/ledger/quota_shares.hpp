// A team's limit, dealt out to the partitions: what a partition's owner may book for the team without asking
// anybody. The shares never add up to more than the limit. A part that needs more wishes for it; a partition
// that has some to spare gives it. Until anything was given, every partition has an equal share.
#pragma once

#include <algorithm>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace finchrun::ledger {

// Of one team. Only processors and accelerators count; a limit of 0 means none.
class QuotaShares {
 public:
  QuotaShares() = default;
  QuotaShares(core::Resources limit, std::size_t partitions)
      : limit_(limit),
        share_(partitions, limit * (1.0 / static_cast<double>(std::max<std::size_t>(1, partitions)))),
        requested_(partitions) {}

  [[nodiscard]] const core::Resources& limit() const { return limit_; }
  [[nodiscard]] const core::Resources& share(core::PartitionId p) const { return share_.at(p.index); }
  [[nodiscard]] const core::Resources& requested(core::PartitionId p) const { return requested_.at(p.index); }
  void set(core::PartitionId p, core::Resources share, core::Resources requested) {
    share_.at(p.index) = share;
    requested_.at(p.index) = requested;
  }
  // Asks for so much more; never for more than the limit leaves to the other partitions.
  void ask(core::PartitionId p, core::Resources more) {
    more.cpus = std::clamp(more.cpus, 0.0, std::max(0.0, limit_.cpus - share_[p.index].cpus));
    more.gpus = std::clamp(more.gpus, 0.0, std::max(0.0, limit_.gpus - share_[p.index].gpus));
    requested_.at(p.index) = {more.cpus, more.gpus, 0};
  }
  // Moves what `from` has beyond `used` to the partitions that wish for it. True if anything moved.
  bool give(core::PartitionId from, const core::Resources& used) {
    bool moved = false;
    for (std::size_t to = 0; to < share_.size(); ++to) {
      if (to == from.index) continue;
      moved |= hand(share_[from.index].cpus, used.cpus, share_[to].cpus, requested_[to].cpus);
      moved |= hand(share_[from.index].gpus, used.gpus, share_[to].gpus, requested_[to].gpus);
    }
    return moved;
  }
  // Moves exactly so much, wished for or not.
  void move(core::PartitionId from, core::PartitionId to, const core::Resources& amount) {
    if (limit_.cpus > 0) share_[from.index].cpus -= amount.cpus, share_[to.index].cpus += amount.cpus;
    if (limit_.gpus > 0) share_[from.index].gpus -= amount.gpus, share_[to.index].gpus += amount.gpus;
  }

 private:
  static bool hand(double& from, double used, double& to, double& requested) {
    constexpr double kWorthIt = 1e-3;
    const double amount = std::min(requested, from - used);
    if (amount < kWorthIt) return false;
    from -= amount;
    to += amount;
    requested -= amount;
    return true;
  }

  core::Resources limit_;
  std::vector<core::Resources> share_, requested_;
};

}  // namespace finchrun::ledger
