#include "assignments/write_fences.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

#include "assignments/commit_refusal.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

namespace {

constexpr double kMoveRetryS = 2;    // after a move that failed, as in an outage of the store
constexpr double kReadTimeoutS = 1;  // of the read of all changes up to the move

// Returns the fencing token that the transaction compares; without one, the newest that is known here.
std::uint64_t compared_token(const ControllerState& state, core::PartitionId partition,
                             const std::vector<state::Compare>& compares) {
  const auto key = state::keys::leadership(state.names.partitions.name(partition));
  const auto found =
      std::find_if(compares.begin(), compares.end(), [&](const auto& compare) { return compare.key == key; });
  return found == compares.end() ? state.fencing_token(partition) : found->revision;
}

}  // namespace

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
    if (!state.is_fence_due(partition) || !state.leads(partition)) continue;
    const auto& name = state.names.partitions.name(partition);
    FenceMove move{partition, state.fencing_token(partition), {}};
    move.transaction.compares.push_back({state::keys::leadership(name), move.fencing_token});
    move.transaction.writes.push_back(
        {state::keys::fence(name), state::encode_fence(state.cache.newest_revision())});
    moves.push_back(std::move(move));
  }
  return moves;
}

void mark_fences_due(ControllerState& state, const std::vector<state::Compare>& compares) {
  for (const auto partition : fenced_partitions(state, compares)) {
    const auto token = compared_token(state, partition, compares);
    auto& unanswered_write_token = state.fences[partition.index].unanswered_write_token;
    unanswered_write_token = std::max(unanswered_write_token, token);
    spdlog::warn("fence due partition={} fencing_token={} reason=commit_unanswered",
                 state.names.partitions.name(partition), token);
  }
}

void mark_fence_moved(ControllerState& state, const FenceMove& move, std::uint64_t revision) {
  auto& fence = state.fences[move.partition.index];
  fence.moved_at_revision = revision;
  // A write under a newer token may have been left without an answer meanwhile.
  if (fence.unanswered_write_token <= move.fencing_token) fence.unanswered_write_token = 0;
}

asio::awaitable<state::CommitResult> WriteFences::commit(state::Transaction transaction) {
  const auto compares = transaction.compares;
  const auto result = co_await follower_.commit(std::move(transaction));
  if (result.outcome == CommitStatus::unknown)
    state_.with([&](ControllerState& state) { mark_fences_due(state, compares); });
  co_return result;
}

asio::awaitable<bool> WriteFences::move(const FenceMove& move) {
  if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::records)) co_return false;
  state::Transaction transaction = move.transaction;
  const auto result = co_await follower_.commit(std::move(transaction));
  const bool moved = result.outcome == CommitStatus::done;
  const auto partition = state_.with([&](ControllerState& state) {
    if (moved) mark_fence_moved(state, move, result.revision);
    return state.names.partitions.name(move.partition);
  });
  if (moved) {
    spdlog::info("fence moved partition={} fencing_token={} revision={}", partition, move.fencing_token,
                 result.revision);
  } else {
    log_refusal("fence not moved", partition, result);
  }
  co_return moved;
}

asio::awaitable<bool> WriteFences::move_due_fences() {
  const auto now = core::SteadyClock::now();
  if (now < next_move_at_) co_return false;
  const auto moves = state_.with([](const ControllerState& state) { return plan_fence_moves(state); });
  bool any_moved = false;
  for (const auto& planned : moves) {
    const bool moved = co_await move(planned);
    any_moved = any_moved || moved;
    if (!moved) next_move_at_ = now + core::to_duration(kMoveRetryS);
  }
  co_return any_moved;
}

asio::awaitable<void> WriteFences::settle() {
  const bool any_moved = co_await move_due_fences();
  if (any_moved)
    co_await follower_.linearizable_read(core::SteadyClock::now() + core::to_duration(kReadTimeoutS));
}

}  // namespace finchrun::assignments
