#include "assignments/exit_recorder.hpp"

#include <spdlog/spdlog.h>

#include "assignments/commit_refusal.hpp"
#include "assignments/exit_plan.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

std::vector<ExitRecorder::PartitionTransaction> ExitRecorder::plan() {
  std::vector<PartitionTransaction> planned;
  state_.with([&](ControllerState& state) {
    // While the cache is being reloaded, this controller seems to lead no partition, and would drop observed
    // exits.
    if (!state.cache_loaded) return;
    state.drop_recorded_exits();
    for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
      const core::PartitionId partition{index};
      if (!state.may_decide_for(partition)) continue;
      auto transaction = plan_next_transaction(state, partition, batch_sizes_[partition].max_changes());
      if (transaction.writes.empty()) continue;
      planned.push_back({partition, state.names.partitions.name(partition), std::move(transaction)});
    }
  });
  return planned;
}

asio::awaitable<void> ExitRecorder::flush() {
  auto planned = plan();
  for (auto& [partition, partition_name, transaction] : planned) {
    const auto writes = static_cast<int>(transaction.writes.size());
    // Each completed job has a compare.
    const auto compares = transaction.compares.size();
    if (!store_.try_spend_writes(writes, state::KeyValueStore::WritePurpose::records))
      co_return;  // the next flush does the rest
    // A named variable, since GCC 12 destroys aggregate temporaries of a co_await twice.
    state::Transaction commit{std::move(transaction.compares), std::move(transaction.writes)};
    const auto result = co_await fences_.commit(std::move(commit));
    auto& batch_size = batch_sizes_[partition];
    if (result.outcome == CommitStatus::done) {
      batch_size.grow();
      for (const auto& line : transaction.log_lines) spdlog::info("{}", line);
      continue;
    }
    log_refusal("exits not recorded", partition_name, result);
    // The exits stay observed, so the next flush retries them on the state that the next read brings.
    follower_.request_read();
    // The same transaction would be refused again, so the next flush tries a smaller one.
    const bool permanent = state::is_permanent_refusal(result.outcome);
    if (permanent) batch_size.shrink(compares);
    // Neither a conflict nor a permanent refusal says anything about the other partitions' transactions.
    if (result.outcome != CommitStatus::conflict && !permanent) co_return;
  }
}

}  // namespace finchrun::assignments
