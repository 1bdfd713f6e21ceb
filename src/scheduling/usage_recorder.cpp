#include "scheduling/usage_recorder.hpp"

#include <cmath>

namespace finchrun::scheduling {

namespace {

namespace json = boost::json;
using controller::ControllerState;

// Newest windows first; the oldest, which count least, are left out if all of them are too long for one
// value.
json::value usage_record(const ledger::UsageWindows& usage, std::size_t max_bytes) {
  constexpr std::size_t kFrame = 48;
  std::size_t bytes = kFrame;
  json::array windows;
  for (const auto& window : usage.windows()) {
    json::array values;
    for (const double v : window) values.push_back(static_cast<std::int64_t>(std::llround(v)));
    bytes += json::serialize(values).size() + 1;
    if (bytes > max_bytes) break;
    windows.push_back(std::move(values));
  }
  return json::object{{"i", usage.index()}, {"w", std::move(windows)}};
}

}  // namespace

asio::awaitable<void> UsageRecorder::record() {
  std::vector<state::Transaction> txns;
  state_.with([&](ControllerState& w) {
    for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
      const core::PartitionId partition{p};
      if (!w.leads(partition) || w.usage_from[p] != w.fencing_token(partition)) continue;
      const auto& name = w.names.partitions.name(partition);
      state::Transaction txn;
      txn.compares.push_back({state::keys::partition(name), w.fencing_token(partition)});
      txn.writes.push_back(
          {state::keys::usage(name), usage_record(w.usage[p], w.settings.state_limits.value_bytes())});
      txns.push_back(std::move(txn));
    }
  });
  for (auto& txn : txns) {
    if (!store_.spend(1, state::KeyValueStore::For::records)) co_return;
    co_await follower_.commit(std::move(txn));
  }
}

}  // namespace finchrun::scheduling
