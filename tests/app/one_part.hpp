// A world with one part that we own, for tests of its records.
#pragma once

#include <gtest/gtest.h>

#include "app/edits.hpp"

namespace finchrun::app {

inline config::Settings one_part_settings() {
  config::Settings s;
  s.label = "perch-0";
  s.zone = "a";
  s.zones = {"a"};
  s.teams = {{"red", 0, 0, 400, 800}};
  return s;
}

// The part "a.0"; machines host-100000, host-100001, ...
struct OnePart {
  explicit OnePart(const config::Settings& s = one_part_settings()) : w(s, {}) {
    w.loaded = true;
    w.incarnation = 7;
    w.mirror.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
    w.mirror.synced(40);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, jobs::Shape shape) {
    jobs::JobRecord r;
    r.spec.lane = w.names.lanes.intern("lane");
    r.spec.team = core::TeamId{0};
    r.spec.image = w.names.images.intern("img");
    r.spec.shape = shape;
    r.spec.tasks = tasks;
    r.ranges = {{0, tasks, part}};
    w.mirror.apply({"jobs/" + name, jobs::to_json(r, w.names), ++stamp});
    return *w.names.jobs.find(name);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang) {
    return job(name, tasks, gang ? jobs::Shape::gang : jobs::Shape::array);
  }
  std::vector<jobs::Entry> entries(std::uint32_t n, std::uint64_t attempt) {
    std::vector<jobs::Entry> out;
    for (std::uint32_t i = 0; i < n; ++i)
      out.push_back({i, attempt, w.names.machines.intern("host-" + std::to_string(100000 + i)), 1});
    return out;
  }
  void apply(const Edit& e) {
    ++stamp;
    for (const auto& c : e.then) w.mirror.apply({c.key, c.value, stamp});
  }
  World w;
  core::PartId part{0};
  std::uint64_t stamp = 50;
};

inline std::size_t largest_value(const Edit& e) {
  std::size_t most = 0;
  for (const auto& c : e.then) most = std::max(most, boost::json::serialize(*c.value).size());
  return most;
}

}  // namespace finchrun::app
