#include "assignments/write_fences.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

#include "assignments/commit_refusal.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

std::vector<core::PartitionId> fenced_partitions(const ControllerState& state,
                                                 const std::vector<state::Compare>& compares) {
  std::vector<core::PartitionId> partitions;
  for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
    const core::PartitionId partition{index};
    const auto key = state::keys::fence(state.names.partitions.name(partition));
    if (std::any_of(compares.begin(), compares.end(),
                    [&](const auto& compare) { return compare.key == key; }))
      partitions.push_back(partition);
  }
  return partitions;
}

std::vector<FenceMove> plan_fence_moves(const ControllerState& state) {
  std::vector<FenceMove> moves;
  for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
    const core::PartitionId partition{index};
    if (!state.fence_due[index] || !state.leads(partition)) continue;
    const auto& name = state.names.partitions.name(partition);
    FenceMove move{partition, {}};
    move.transaction.compares.push_back({state::keys::leadership(name), state.fencing_token(partition)});
    move.transaction.writes.push_back(
        {state::keys::fence(name), state::encode_fence(state.cache.newest_revision())});
    moves.push_back(std::move(move));
  }
  return moves;
}

void WriteFences::mark_due(const std::vector<state::Compare>& compares) {
  const auto due = state_.with([&](ControllerState& state) {
    std::vector<std::string> names;
    for (const auto partition : fenced_partitions(state, compares)) {
      state.fence_due[partition.index] = 1;
      names.push_back(state.names.partitions.name(partition));
    }
    return names;
  });
  for (const auto& name : due) spdlog::warn("fence due partition={} reason=commit_unanswered", name);
}

asio::awaitable<void> WriteFences::move_due_fences() {
  auto moves = state_.with([](ControllerState& state) {
    for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
      // Once another leader has a newer fencing token, the unanswered write fails by its own compares.
      if (!state.leads(core::PartitionId{index})) state.fence_due[index] = 0;
    }
    return plan_fence_moves(state);
  });
  for (auto& move : moves) {
    if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return;
    const auto result = co_await follower_.commit(std::move(move.transaction));
    const bool moved = result.outcome == CommitStatus::done;
    const auto partition = state_.with([&](ControllerState& state) {
      if (moved) {
        state.fence_due[move.partition.index] = 0;
        state.fence_move_revision[move.partition.index] = result.revision;
      }
      return state.names.partitions.name(move.partition);
    });
    if (!moved) {
      log_refusal("fence not moved", partition, result);
      continue;
    }
    spdlog::info("fence moved partition={} revision={}", partition, result.revision);
    follower_.request_read();
  }
}

}  // namespace finchrun::assignments
