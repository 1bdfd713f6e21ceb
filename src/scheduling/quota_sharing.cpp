#include "scheduling/quota_sharing.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::scheduling {

namespace json = boost::json;
using assignments::PlannedTransaction;
using controller::ControllerState;
using state::CommitStatus;

void QuotaSharing::collect(core::PartitionId partition, const sched::Plan& plan,
                           const std::vector<sched::Demand>& demands,
                           const std::vector<core::Resources>& used) {
  std::map<core::TeamId, core::Resources> more;
  for (const auto i : plan.unplaced) {
    const auto& d = demands[i];
    const auto& room = plan.teams.at(d.team.index);
    const double n = d.gang ? static_cast<double>(d.tasks.size()) : 1;
    if (room.allows(d.need * n)) continue;
    // As many tasks of an array as could start at once, not all that wait.
    const double requested = d.gang ? n : static_cast<double>(std::min<std::size_t>(d.tasks.size(), 16));
    auto total = room.used;
    total += d.need * requested;
    auto& m = more[d.team];
    if (d.gang) {
      m.cpus = std::max(m.cpus, total.cpus - room.cpus_max);
      m.gpus = std::max(m.gpus, total.gpus - room.gpus_max);
    } else {
      m.cpus += d.need.cpus * requested;
      m.gpus += d.need.gpus * requested;
    }
  }
  for (std::uint32_t t = 0; t < plan.teams.size(); ++t) {
    const core::TeamId team{t};
    Shortage s{partition, team, plan.teams[t].used, {}, used[t]};
    if (const auto m = more.find(team); m != more.end()) s.more = m->second;
    shortages_.push_back(s);
  }
}

// One change of a team's record a round at most: our partitions' new wishes, and what we can give to others.
asio::awaitable<void> QuotaSharing::share() {
  std::vector<PlannedTransaction> edits;
  const auto now = core::Steady::now();
  state_.with([&](ControllerState& w) {
    for (std::uint32_t t = 0; t < w.settings.teams.size(); ++t) {
      const core::TeamId team{t};
      if (w.settings.teams[t].cpus_max <= 0 && w.settings.teams[t].gpus_max <= 0) continue;
      auto quota_shares = w.quota_shares(team);
      bool changed = false;
      PlannedTransaction e;
      for (const auto& s : shortages_) {
        if (s.team != team || !w.leads(s.partition) || w.fence_due[s.partition.index]) continue;
        const auto before = quota_shares.requested(s.partition);
        // What the team uses in all partitions together is near its limit: nobody has anything to give.
        auto more = s.more;
        const auto& limit = quota_shares.limit();
        more.cpus = std::min(more.cpus, limit.cpus - s.team_used.cpus);
        more.gpus = std::min(more.gpus, limit.gpus - s.team_used.gpus);
        const bool wants = more.cpus > 1e-3 || more.gpus > 1e-3;
        const bool wished = before.cpus > 1e-3 || before.gpus > 1e-3;
        if (wants && (more.cpus > before.cpus * 1.25 + 1e-3 || more.gpus > before.gpus * 1.25 + 1e-3)) {
          quota_shares.ask(s.partition, more);
          changed |= quota_shares.requested(s.partition).cpus > before.cpus + 1e-3 ||
                     quota_shares.requested(s.partition).gpus > before.gpus + 1e-3;
        } else if (!wants && wished && core::since(last_request_withdrawn_, now) > 2) {
          quota_shares.ask(s.partition, {});
          last_request_withdrawn_ = now;
          changed = true;
        }
        if (quota_shares.give(s.partition, s.used)) {
          changed = true;
          spdlog::info("allowance given team={} part={}", w.names.teams.name(team),
                       w.names.partitions.name(s.partition));
        }
        const auto& name = w.names.partitions.name(s.partition);
        e.compares.push_back({state::keys::partition(name), w.fencing_token(s.partition)});
        e.compares.push_back({state::keys::fence(name), w.cache.fence(s.partition)});
      }
      if (!changed) continue;
      const auto key = state::keys::team(w.names.teams.name(team));
      e.compares.push_back({key, w.cache.team(team).revision});
      json::object partitions;
      for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
        const auto& share = quota_shares.share(core::PartitionId{p});
        const auto& requested = quota_shares.requested(core::PartitionId{p});
        partitions[w.names.partitions.name(core::PartitionId{p})] =
            json::array{share.cpus, share.gpus, requested.cpus, requested.gpus};
      }
      e.writes.push_back({key, json::object{{"parts", std::move(partitions)}}});
      edits.push_back(std::move(e));
    }
  });
  // One transaction each: a conflict over one team must not hold up the others.
  for (auto& e : edits) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    state::Transaction txn{e.compares, std::move(e.writes)};
    const auto result = co_await follower_.commit(std::move(txn));
    // Applied late, it would take away an allowance that is in use by then.
    if (result.outcome == CommitStatus::unknown) recorder_.require_new_fences(e.compares);
  }
}

}  // namespace finchrun::scheduling
