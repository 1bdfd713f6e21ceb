#include "assignments/exit_recorder.hpp"

#include <spdlog/spdlog.h>

#include "assignments/commit_refusal.hpp"
#include "assignments/exit_plan.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

std::vector<ExitRecorder::PartitionTransaction> ExitRecorder::plan() {
  std::vector<PartitionTransaction> planned;
  state_.with([&](ControllerState& state) {
    // While the cache is read anew, no partition is known to be ours, and observed exits would be dropped.
    if (!state.loaded) return;
    state.drop_recorded_exits();
    for (std::uint32_t p = 0; p < state.partitions.size(); ++p) {
      const core::PartitionId partition{p};
      if (!state.leads(partition)) continue;
      auto transaction = plan_next(state, partition);
      if (transaction.writes.empty()) continue;
      planned.push_back({state.names.partitions.name(partition), std::move(transaction)});
    }
  });
  return planned;
}

asio::awaitable<void> ExitRecorder::flush() {
  auto planned = plan();
  for (auto& [partition, transaction] : planned) {
    const auto writes = static_cast<int>(transaction.writes.size());
    if (!store_.try_spend_writes(writes, state::KeyValueStore::WritePurpose::records)) co_return;  // the rest in the next flush
    // Named: GCC 12 destroys aggregates twice that are temporaries of a co_await.
    state::Transaction commit{transaction.compares, std::move(transaction.writes)};
    const auto result = co_await follower_.commit(std::move(commit));
    if (result.outcome == CommitStatus::done) {
      for (const auto& line : transaction.log) spdlog::info("{}", line);
      continue;
    }
    log_refusal("exits not recorded", partition, result);
    // The exits stay observed, so the next flush tries again on what the next read of the changes shows.
    follower_.request_read();
    if (result.outcome != CommitStatus::conflict) co_return;
  }
}

}  // namespace finchrun::assignments
