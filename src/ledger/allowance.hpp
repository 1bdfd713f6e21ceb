// A team's limit, dealt out to the parts: what a part's owner may book for the team without asking anybody.
// The shares never add up to more than the limit. A part that needs more wishes for it; a part that has some
// to spare gives it. Until anything was given, every part has an equal share.
#pragma once

#include <algorithm>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace finchrun::ledger {

// Of one team. Only processors and accelerators count; a limit of 0 means none.
class Allowances {
 public:
  Allowances() = default;
  Allowances(core::Resources limit, std::size_t parts)
      : limit_(limit),
        share_(parts, limit * (1.0 / static_cast<double>(std::max<std::size_t>(1, parts)))),
        wish_(parts) {}

  [[nodiscard]] const core::Resources& limit() const { return limit_; }
  [[nodiscard]] const core::Resources& share(core::PartId p) const { return share_.at(p.v); }
  [[nodiscard]] const core::Resources& wish(core::PartId p) const { return wish_.at(p.v); }
  void set(core::PartId p, core::Resources share, core::Resources wish) {
    share_.at(p.v) = share;
    wish_.at(p.v) = wish;
  }
  // Asks for so much more; never for more than the limit leaves to the other parts.
  void ask(core::PartId p, core::Resources more) {
    more.cpus = std::clamp(more.cpus, 0.0, std::max(0.0, limit_.cpus - share_[p.v].cpus));
    more.gpus = std::clamp(more.gpus, 0.0, std::max(0.0, limit_.gpus - share_[p.v].gpus));
    wish_.at(p.v) = {more.cpus, more.gpus, 0};
  }
  // Moves what `from` has beyond `used` to the parts that wish for it. True if anything moved.
  bool give(core::PartId from, const core::Resources& used) {
    bool moved = false;
    for (std::size_t to = 0; to < share_.size(); ++to) {
      if (to == from.v) continue;
      moved |= hand(share_[from.v].cpus, used.cpus, share_[to].cpus, wish_[to].cpus);
      moved |= hand(share_[from.v].gpus, used.gpus, share_[to].gpus, wish_[to].gpus);
    }
    return moved;
  }
  // Moves exactly so much, wished for or not.
  void move(core::PartId from, core::PartId to, const core::Resources& amount) {
    if (limit_.cpus > 0) share_[from.v].cpus -= amount.cpus, share_[to.v].cpus += amount.cpus;
    if (limit_.gpus > 0) share_[from.v].gpus -= amount.gpus, share_[to.v].gpus += amount.gpus;
  }

 private:
  static bool hand(double& from, double used, double& to, double& wish) {
    constexpr double kWorthIt = 1e-3;
    const double amount = std::min(wish, from - used);
    if (amount < kWorthIt) return false;
    from -= amount;
    to += amount;
    wish -= amount;
    return true;
  }

  core::Resources limit_;
  std::vector<core::Resources> share_, wish_;
};

}  // namespace finchrun::ledger
