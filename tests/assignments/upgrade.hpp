// The records of partition a.0 as the version in production left them, and the same store seen with smaller
// limits.
#pragma once

#include <memory>

#include "assignments/production_reader.hpp"
#include "assignments/single_partition.hpp"

namespace finchrun::assignments {

inline constexpr std::uint64_t kAttempt = 1234567;  // as long as they become in a few days

struct Upgrade {
  explicit Upgrade(const config::StateLimits& limits) : Upgrade(with(limits)) {}
  explicit Upgrade(const config::Settings& settings) : after(settings) {}
  static config::Settings with(const config::StateLimits& limits) {
    auto s = single_partition_settings();
    s.state_limits = limits;
    return s;
  }
  // Makes the edit durable: whoever reads the store sees it, in the order of the keys or the reverse.
  void commit(AssignmentWriter& writer) {
    PlannedTransaction e;
    writer.finish(e);
    ++revision;
    for (const auto& c : e.writes) store[c.key] = {c.key, c.value, revision};
    for (auto* world : {&before, &after})
      for (const auto& c : e.writes) world->w.cache.apply({c.key, c.value, revision});
    auto reversed = e.writes;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& c : e.writes) shards_first.read({c.key, c.value, revision});
    for (const auto& c : reversed) ends_first.read({c.key, c.value, revision});
    changes = e.writes.size();
    largest = largest_value(e);
    for (const auto& c : e.writes)
      if (c.key.starts_with("runs/"))
        largest_shard = std::max(largest_shard, boost::json::serialize(*c.value).size());
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang = false) {
    before.revision = after.revision = ++revision;
    after.job(name, tasks, gang);
    store["jobs/" + name] = {"jobs/" + name,
                             jobs::to_json(*after.w.cache.job(*after.w.names.jobs.find(name)), after.w.names),
                             revision};
    return before.job(name, tasks, gang);
  }
  // What a controller knows that starts now and reads the store.
  [[nodiscard]] std::unique_ptr<ControllerState> fresh_reader() const {
    auto reader = std::make_unique<ControllerState>(single_partition_settings(), config::Tuning{});
    for (const auto& [_, e] : store) reader->cache.apply(e);
    return reader;
  }
  [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> done_and_placed(const std::string& name) const {
    return done_and_placed(*fresh_reader(), name);
  }
  [[nodiscard]] static std::pair<std::uint32_t, std::uint32_t> done_and_placed(const ControllerState& reader,
                                                                               const std::string& name) {
    const auto id = *reader.names.jobs.find(name);
    return {reader.cache.done(id), reader.cache.placed(id)};
  }
  SinglePartition before, after;
  ProductionReader shards_first{before.w.names}, ends_first{before.w.names};
  std::map<std::string, state::KeyUpdate> store;
  std::uint64_t revision = 100;
  std::size_t changes = 0, largest = 0;  // of the last edit
  std::size_t largest_shard = 0;         // of all
};

}  // namespace finchrun::assignments
