#include "scheduling/quota_sharing.hpp"

#include <spdlog/spdlog.h>

#include <map>

#include "assignments/leader_compares.hpp"

namespace finchrun::scheduling {

namespace {

namespace json = boost::json;
using assignments::PlannedTransaction;
using controller::ControllerState;
using ledger::QuotaShares;
using state::CommitStatus;

constexpr std::size_t kMaxArrayTasksRequested = 16;  // limits requests to what could start soon
constexpr double kMinAmount = QuotaShares::kMinAmount;
constexpr double kRequestGrowth = 1.25;     // smaller increases of a request are not written
constexpr double kWithdrawalIntervalS = 2;  // minimum interval between two withdrawals by this controller

enum class RequestChange { none, raised, withdrawn };

bool is_significant(const core::Resources& amount) {
  return amount.cpus > kMinAmount || amount.gpus > kMinAmount;
}
bool exceeds(const core::Resources& amount, const core::Resources& other, double factor) {
  return amount.cpus > other.cpus * factor + kMinAmount || amount.gpus > other.gpus * factor + kMinAmount;
}

// Adds the demand's shortfall if the demand waits for its team's share rather than for machines.
void add_shortfall(core::Resources& shortfall, const sched::TeamQuota& quota, const sched::Demand& demand) {
  const auto need_to_start = demand.need_to_start();
  if (quota.allows(need_to_start)) return;
  if (demand.gang) {
    auto total = quota.used;
    total += need_to_start;
    shortfall.cpus = std::max(shortfall.cpus, total.cpus - quota.cpus_max);
    shortfall.gpus = std::max(shortfall.gpus, total.gpus - quota.gpus_max);
  } else {
    const auto requested = static_cast<double>(std::min(demand.tasks.size(), kMaxArrayTasksRequested));
    shortfall.cpus += demand.need.cpus * requested;
    shortfall.gpus += demand.need.gpus * requested;
  }
}

// Raises or withdraws the partition's request if the change is large enough to write the record.
RequestChange update_request(QuotaShares& shares, const QuotaShortage& shortage, bool may_withdraw) {
  const auto before = shares.requested(shortage.partition);
  // Other partitions cannot grant more than the unused part of the team's limit.
  auto more = shortage.shortfall;
  more.cpus = std::min(more.cpus, shares.limit().cpus - shortage.team_used.cpus);
  more.gpus = std::min(more.gpus, shares.limit().gpus - shortage.team_used.gpus);
  if (is_significant(more)) {
    if (!exceeds(more, before, kRequestGrowth)) return RequestChange::none;
    shares.request(shortage.partition, more);
    // `request` may have reduced the amount.
    const bool raised = exceeds(shares.requested(shortage.partition), before, 1);
    return raised ? RequestChange::raised : RequestChange::none;
  }
  if (!is_significant(before) || !may_withdraw) return RequestChange::none;
  shares.request(shortage.partition, {});
  return RequestChange::withdrawn;
}

json::value to_record(const ControllerState& state, const QuotaShares& shares) {
  state::QuotaRecord record;
  for (std::uint32_t p = 0; p < state.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    record.partitions.emplace_back(shares.share(partition), shares.requested(partition));
  }
  return state::encode(record, state.names);
}

/// What changes in a team's record for one partition.
struct PartitionChange {
  RequestChange request = RequestChange::none;
  bool granted = false;
  [[nodiscard]] bool any() const { return request != RequestChange::none || granted; }
};

PartitionChange change_shares(QuotaShares& shares, const QuotaShortage& shortage, bool may_withdraw) {
  PartitionChange change;
  change.request = update_request(shares, shortage, may_withdraw);
  change.granted = shares.grant_surplus(shortage.partition, shortage.used);
  return change;
}

// Returns nullopt if the team's record does not change. Changes that would take the transaction over the
// store's limits are left to a later round.
std::optional<PlannedTransaction> plan_team(const ControllerState& state, core::TeamId team,
                                            const std::vector<QuotaShortage>& shortages,
                                            core::TimePoint& request_withdrawn_at, core::TimePoint now) {
  const auto& team_name = state.names.teams.name(team);
  const auto key = state::keys::quota(team_name);
  const state::TransactionLimits limits(state.settings.store_limits);
  auto cost = state::compare_cost(key) + state::write_cost(key, 0);
  auto shares = state.quota_shares(team);
  PlannedTransaction transaction;
  for (const auto& shortage : shortages) {
    const auto partition = shortage.partition;
    if (shortage.team != team || !state.may_decide_for(partition)) continue;
    const auto with_partition = cost + assignments::leadership_cost(state, partition);
    if (!limits.allow(with_partition)) break;
    const bool may_withdraw = core::seconds_between(request_withdrawn_at, now) > kWithdrawalIntervalS;
    const auto change = change_shares(shares, shortage, may_withdraw);
    if (!change.any()) continue;
    cost = with_partition;
    if (change.request == RequestChange::withdrawn) request_withdrawn_at = now;
    if (change.granted)
      transaction.log_lines.push_back(
          fmt::format("quota granted team={} from={}", team_name, state.names.partitions.name(partition)));
    assignments::require_leadership(state, partition, transaction);
  }
  if (transaction.compares.empty()) return std::nullopt;
  transaction.require_revision(key, state.cache.quota(team).revision);
  transaction.writes.push_back({key, to_record(state, shares)});
  return transaction;
}

}  // namespace

std::vector<QuotaShortage> quota_shortages(core::PartitionId partition, const sched::Plan& plan,
                                           const std::vector<sched::Demand>& demands,
                                           const std::vector<core::Resources>& team_used) {
  std::vector<QuotaShortage> shortages;
  for (std::uint32_t t = 0; t < plan.team_quotas.size(); ++t)
    shortages.push_back({partition, core::TeamId{t}, plan.team_quotas[t].used, {}, team_used[t]});
  for (const auto i : plan.unplaced) {
    const auto team = demands[i].team.index;
    add_shortfall(shortages.at(team).shortfall, plan.team_quotas.at(team), demands[i]);
  }
  return shortages;
}

QuotaSharingPlan plan_quota_sharing(const ControllerState& state, const std::vector<QuotaShortage>& shortages,
                                    core::TimePoint request_withdrawn_at, core::TimePoint now) {
  QuotaSharingPlan plan{{}, request_withdrawn_at};
  for (std::uint32_t t = 0; t < state.settings.teams.size(); ++t) {
    const auto& team = state.settings.teams[t];
    if (team.cpus_max <= 0 && team.gpus_max <= 0) continue;
    if (auto transaction = plan_team(state, core::TeamId{t}, shortages, plan.request_withdrawn_at, now))
      plan.transactions.push_back(std::move(*transaction));
  }
  return plan;
}

void QuotaSharing::collect(core::PartitionId partition, const sched::Plan& plan,
                           const std::vector<sched::Demand>& demands,
                           const std::vector<core::Resources>& team_used) {
  const auto found = quota_shortages(partition, plan, demands, team_used);
  shortages_.insert(shortages_.end(), found.begin(), found.end());
}

asio::awaitable<void> QuotaSharing::commit_changes() {
  const auto now = core::SteadyClock::now();
  auto plan = state_.with([&](ControllerState& state) {
    return plan_quota_sharing(state, shortages_, request_withdrawn_at_, now);
  });
  request_withdrawn_at_ = plan.request_withdrawn_at;
  // Each team has its own transaction, so that a conflict on one record does not delay other teams.
  for (auto& planned : plan.transactions) {
    if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return;
    state::Transaction transaction{std::move(planned.compares), std::move(planned.writes)};
    const auto result = co_await fences_.commit(std::move(transaction));
    if (result.outcome != CommitStatus::done) continue;
    for (const auto& line : planned.log_lines) spdlog::info("{}", line);
  }
}

}  // namespace finchrun::scheduling
