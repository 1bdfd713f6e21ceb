#include "scheduling/usage_recorder.hpp"

namespace finchrun::scheduling {

using controller::ControllerState;

std::vector<state::Transaction> plan_usage_records(const ControllerState& state) {
  std::vector<state::Transaction> transactions;
  for (std::uint32_t p = 0; p < state.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    const auto fencing_token = state.fencing_token(partition);
    if (!state.leads(partition) || state.usage_fencing_tokens[p] != fencing_token) continue;
    const auto& name = state.names.partitions.name(partition);
    state::Transaction transaction;
    transaction.compares.push_back({state::keys::leadership(name), fencing_token});
    const state::UsageRecord usage{state.usage[p].index(), state.usage[p].windows(), 0};
    transaction.writes.push_back(
        {state::keys::usage(name), state::encode(usage, state.settings.store_limits.max_value_bytes())});
    transactions.push_back(std::move(transaction));
  }
  return transactions;
}

asio::awaitable<void> UsageRecorder::record() {
  auto transactions = state_.with([](ControllerState& state) { return plan_usage_records(state); });
  for (auto& transaction : transactions) {
    if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return;
    co_await follower_.commit(std::move(transaction));
  }
}

}  // namespace finchrun::scheduling
