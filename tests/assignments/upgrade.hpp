// The records of partition a.0 as an earlier release wrote them, on a store whose limits are smaller after
// the upgrade.
#pragma once

#include <memory>

#include "assignments/earlier_release_reader.hpp"
#include "assignments/single_partition.hpp"

namespace finchrun::assignments {

inline constexpr std::uint64_t kAttempt = 1234567;  // as many digits as attempt numbers have after a few days

/// Controllers before and after an upgrade that lowers the limits, on the same store.
struct Upgrade {
  explicit Upgrade(const config::StoreLimits& limits) : Upgrade(settings_with(limits)) {}
  explicit Upgrade(const config::Settings& settings) : after(settings) {}
  static config::Settings settings_with(const config::StoreLimits& limits) {
    auto settings = single_partition_settings();
    settings.store_limits = limits;
    return settings;
  }
  /// Makes the writer's transaction durable. The readers see its keys in both possible orders.
  void commit(AssignmentWriter& writer) {
    PlannedTransaction transaction;
    writer.write_to(transaction);
    ++revision;
    for (const auto& write : transaction.writes) store[write.key] = {write.key, write.value, revision};
    for (auto* controller : {&before, &after})
      for (const auto& write : transaction.writes)
        controller->state.cache.apply({write.key, write.value, revision});
    auto reversed = transaction.writes;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& write : transaction.writes) shards_first_reader.read({write.key, write.value, revision});
    for (const auto& write : reversed) tombstones_first_reader.read({write.key, write.value, revision});
    writes = transaction.writes.size();
    largest_value_bytes = largest_value(transaction);
    for (const auto& write : transaction.writes)
      if (write.key.starts_with("runs/"))
        largest_shard_bytes = std::max(largest_shard_bytes, boost::json::serialize(*write.value).size());
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
  /// The state of a controller that starts now and reads the store.
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
  EarlierReleaseReader shards_first_reader{before.state.names}, tombstones_first_reader{before.state.names};
  std::map<std::string, state::KeyUpdate> store;
  std::uint64_t revision = 100;
  std::size_t writes = 0, largest_value_bytes = 0;  // of the last transaction
  std::size_t largest_shard_bytes = 0;              // of all transactions
};

}  // namespace finchrun::assignments
