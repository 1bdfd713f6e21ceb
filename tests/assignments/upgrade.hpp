// The records of partition a.0 as the version in production left them, and the same store seen with smaller
// limits.
#pragma once

#include <memory>

#include "assignments/production_reader.hpp"
#include "assignments/single_partition.hpp"

namespace finchrun::assignments {

inline constexpr std::uint64_t kAttempt = 1234567;  // as long as they become in a few days

/// Controllers before and after an upgrade that lowers the limits, on one store.
struct Upgrade {
  explicit Upgrade(const config::StateLimits& limits) : Upgrade(with(limits)) {}
  explicit Upgrade(const config::Settings& settings) : after(settings) {}
  static config::Settings with(const config::StateLimits& limits) {
    auto settings = single_partition_settings();
    settings.state_limits = limits;
    return settings;
  }
  /// Makes the writer's transaction durable: whoever reads the store sees it, in the order of the keys or the
  /// reverse.
  void commit(AssignmentWriter& writer) {
    PlannedTransaction transaction;
    writer.finish(transaction);
    ++revision;
    for (const auto& write : transaction.writes) store[write.key] = {write.key, write.value, revision};
    for (auto* controller : {&before, &after})
      for (const auto& write : transaction.writes)
        controller->state.cache.apply({write.key, write.value, revision});
    auto reversed = transaction.writes;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& write : transaction.writes) shards_first.read({write.key, write.value, revision});
    for (const auto& write : reversed) tombstones_first.read({write.key, write.value, revision});
    writes = transaction.writes.size();
    largest = largest_value(transaction);
    for (const auto& write : transaction.writes)
      if (write.key.starts_with("runs/"))
        largest_shard = std::max(largest_shard, boost::json::serialize(*write.value).size());
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang = false) {
    before.revision = after.revision = ++revision;
    after.job(name, tasks, gang);
    store["jobs/" + name] = {
        "jobs/" + name,
        jobs::to_json(*after.state.cache.job(*after.state.names.jobs.find(name)), after.state.names),
        revision};
    return before.job(name, tasks, gang);
  }
  /// What a controller knows that starts now and reads the store.
  [[nodiscard]] std::unique_ptr<ControllerState> fresh_reader() const {
    auto reader = std::make_unique<ControllerState>(single_partition_settings(), config::Tuning{});
    for (const auto& [_, update] : store) reader->cache.apply(update);
    return reader;
  }
  [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> done_and_placed(const std::string& name) const {
    return done_and_placed(*fresh_reader(), name);
  }
  [[nodiscard]] static std::pair<std::uint32_t, std::uint32_t> done_and_placed(const ControllerState& reader,
                                                                               const std::string& name) {
    const auto id = *reader.names.jobs.find(name);
    return {reader.cache.done_tasks(id), reader.cache.placed_tasks(id)};
  }
  SinglePartition before, after;
  ProductionReader shards_first{before.state.names}, tombstones_first{before.state.names};
  std::map<std::string, state::KeyUpdate> store;
  std::uint64_t revision = 100;
  std::size_t writes = 0, largest = 0;  // of the last transaction
  std::size_t largest_shard = 0;        // of all transactions
};

}  // namespace finchrun::assignments
