#include "scheduling/usage_recorder.hpp"

#include <cmath>

namespace finchrun::scheduling {

namespace {

namespace json = boost::json;
using controller::ControllerState;

// The stored form. Newest windows first; those are left out that would make the value too long.
json::value to_record(const ledger::UsageWindows& usage, std::size_t max_bytes) {
  constexpr std::size_t kBytesAroundWindows = 48;
  std::size_t bytes = kBytesAroundWindows;
  json::array windows;
  for (const auto& window : usage.windows()) {
    json::array values;
    for (const double core_seconds : window)
      values.push_back(static_cast<std::int64_t>(std::llround(core_seconds)));
    bytes += json::serialize(values).size() + 1;
    if (bytes > max_bytes) break;
    windows.push_back(std::move(values));
  }
  return json::object{{"i", usage.index()}, {"w", std::move(windows)}};
}

}  // namespace

std::vector<state::Transaction> plan_usage_records(const ControllerState& state) {
  std::vector<state::Transaction> transactions;
  for (std::uint32_t p = 0; p < state.partitions.size(); ++p) {
    const core::PartitionId partition{p};
    const auto fencing_token = state.fencing_token(partition);
    if (!state.leads(partition) || state.usage_from[p] != fencing_token) continue;
    const auto& name = state.names.partitions.name(partition);
    state::Transaction transaction;
    transaction.compares.push_back({state::keys::partition(name), fencing_token});
    transaction.writes.push_back(
        {state::keys::usage(name), to_record(state.usage[p], state.settings.state_limits.value_bytes())});
    transactions.push_back(std::move(transaction));
  }
  return transactions;
}

asio::awaitable<void> UsageRecorder::record() {
  auto transactions = state_.with([](ControllerState& state) { return plan_usage_records(state); });
  for (auto& transaction : transactions) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    co_await follower_.commit(std::move(transaction));
  }
}

}  // namespace finchrun::scheduling
