// The records of part a.0 as the version in production left them, and the same store seen with smaller
// limits.
#pragma once

#include <memory>

#include "app/one_part.hpp"
#include "app/production_reader.hpp"

namespace finchrun::app {

inline constexpr std::uint64_t kAttempt = 1234567;  // as long as they become in a few days

struct Upgrade {
  explicit Upgrade(const config::StateLimits& limits) : Upgrade(with(limits)) {}
  explicit Upgrade(const config::Settings& settings) : after(settings) {}
  static config::Settings with(const config::StateLimits& limits) {
    auto s = one_part_settings();
    s.state_limits = limits;
    return s;
  }
  // Makes the edit durable: whoever reads the store sees it, in the order of the keys or the reverse.
  void commit(PartWriter& writer) {
    Edit e;
    writer.finish(e);
    ++stamp;
    for (const auto& c : e.then) store[c.key] = {c.key, c.value, stamp};
    for (auto* world : {&before, &after})
      for (const auto& c : e.then) world->w.mirror.apply({c.key, c.value, stamp});
    auto reversed = e.then;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& c : e.then) shards_first.read({c.key, c.value, stamp});
    for (const auto& c : reversed) ends_first.read({c.key, c.value, stamp});
    changes = e.then.size();
    largest = largest_value(e);
    for (const auto& c : e.then)
      if (c.key.starts_with("runs/"))
        largest_shard = std::max(largest_shard, boost::json::serialize(*c.value).size());
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang = false) {
    before.stamp = after.stamp = ++stamp;
    after.job(name, tasks, gang);
    store["jobs/" + name] = {
        "jobs/" + name, jobs::to_json(*after.w.mirror.job(*after.w.names.jobs.find(name)), after.w.names),
        stamp};
    return before.job(name, tasks, gang);
  }
  // What a controller knows that starts now and reads the store.
  [[nodiscard]] std::unique_ptr<World> fresh_reader() const {
    auto reader = std::make_unique<World>(one_part_settings(), config::Tuning{});
    for (const auto& [_, e] : store) reader->mirror.apply(e);
    return reader;
  }
  [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> done_and_placed(const std::string& name) const {
    return done_and_placed(*fresh_reader(), name);
  }
  [[nodiscard]] static std::pair<std::uint32_t, std::uint32_t> done_and_placed(const World& reader,
                                                                               const std::string& name) {
    const auto id = *reader.names.jobs.find(name);
    return {reader.mirror.done(id), reader.mirror.placed(id)};
  }
  OnePart before, after;
  ProductionReader shards_first{before.w.names}, ends_first{before.w.names};
  std::map<std::string, state::Event> store;
  std::uint64_t stamp = 100;
  std::size_t changes = 0, largest = 0;  // of the last edit
  std::size_t largest_shard = 0;         // of all
};

}  // namespace finchrun::app
