#include "assignments/placement_recorder.hpp"

#include <spdlog/spdlog.h>

#include "assignments/commit_refusal.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

namespace {

constexpr double kRetryDelayS = 0.4;

}  // namespace

asio::awaitable<std::optional<core::TimePoint>> PlacementRecorder::record(
    std::vector<PlannedPlacement> placements, std::uint64_t attempt) {
  std::optional<core::TimePoint> retry_at;
  // Keeps the earliest time.
  const auto schedule_retry = [&] {
    if (!retry_at) retry_at = core::SteadyClock::now() + core::to_duration(kRetryDelayS);
  };
  BatchSize batch_size;
  for (std::size_t next = 0; next < placements.size();) {
    const auto first = next;
    auto batch = state_.with([&](const ControllerState& state) {
      return plan_placements(state, placements, first, attempt, batch_size.max_changes());
    });
    next = batch.next;
    log_too_large(batch);
    auto& transaction = batch.transaction;
    if (transaction.writes.empty()) continue;
    if (!store_.try_spend_writes(static_cast<int>(transaction.writes.size()),
                                 state::KeyValueStore::WritePurpose::records)) {
      schedule_retry();
      co_return retry_at;
    }
    // A named variable, since GCC 12 destroys aggregate temporaries of a co_await twice.
    state::Transaction commit{std::move(transaction.compares), std::move(transaction.writes)};
    const auto result = co_await fences_.commit(std::move(commit));
    if (result.outcome == CommitStatus::done) {
      batch_size.grow();
      for (const auto& line : transaction.log_lines) spdlog::info("{}", line);
      send_starts(transaction);
      continue;
    }
    log_refusal("placements not recorded", batch.partition, result);
    if (state::is_permanent_refusal(result.outcome)) {
      // The next plan from the same records would be refused too, so this round goes on with fewer placements
      // at a time, and without one that is refused by itself.
      if (batch.placements > 1) next = first;
      batch_size.shrink(batch.placements);
      continue;
    }
    // Retries once the next read of the store has brought the change that caused the failure.
    schedule_retry();
    follower_.request_read();
    if (result.outcome == CommitStatus::unknown) co_return retry_at;
  }
  co_return retry_at;
}

void PlacementRecorder::log_too_large(const PlacementBatch& batch) {
  for (const auto job : batch.too_large) {
    if (!logged_too_large_.insert(job).second) continue;
    const auto name = state_.with([&](const ControllerState& state) { return state.names.jobs.name(job); });
    spdlog::error("placement too large job={} partition={}", name, batch.partition);
  }
}

void PlacementRecorder::send_starts(const PlannedTransaction& transaction) {
  for (const auto& [machine, starts] : transaction.starts) {
    std::vector<wire::Command> commands;
    state_.with([&](const ControllerState& state) {
      for (const auto& [job, task, attempt] : starts)
        commands.push_back({wire::Command::Kind::start, state.names.jobs.name(job), task, attempt, 0});
    });
    runtime_.spawn(commands_.send(machine, std::move(commands), starts));
  }
}

}  // namespace finchrun::assignments
