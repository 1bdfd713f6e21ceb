// A world with one partition that we own, for tests of its records.
#pragma once

#include <gtest/gtest.h>

#include "assignments/assignment_writer.hpp"

namespace finchrun::assignments {

inline config::Settings single_partition_settings() {
  config::Settings s;
  s.label = "perch-0";
  s.zone = "a";
  s.zones = {"a"};
  s.teams = {{"red", 0, 0, 400, 800}};
  return s;
}

// The part "a.0"; machines host-100000, host-100001, ...
struct SinglePartition {
  explicit SinglePartition(const config::Settings& s = single_partition_settings()) : w(s, {}) {
    w.loaded = true;
    w.incarnation = 7;
    w.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
    w.cache.synchronized(40);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, jobs::Shape shape) {
    jobs::JobRecord r;
    r.spec.job_class = w.names.job_classes.intern("lane");
    r.spec.team = core::TeamId{0};
    r.spec.image = w.names.images.intern("img");
    r.spec.shape = shape;
    r.spec.tasks = tasks;
    r.ranges = {{0, tasks, partition}};
    w.cache.apply({"jobs/" + name, jobs::to_json(r, w.names), ++revision});
    return *w.names.jobs.find(name);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang) {
    return job(name, tasks, gang ? jobs::Shape::gang : jobs::Shape::array);
  }
  std::vector<jobs::TaskAssignment> assignments(std::uint32_t n, std::uint64_t attempt) {
    std::vector<jobs::TaskAssignment> out;
    for (std::uint32_t i = 0; i < n; ++i)
      out.push_back({i, attempt, w.names.machines.intern("host-" + std::to_string(100000 + i)), 1});
    return out;
  }
  void apply(const PlannedTransaction& e) {
    ++revision;
    for (const auto& c : e.writes) w.cache.apply({c.key, c.value, revision});
  }
  ControllerState w;
  core::PartitionId partition{0};
  std::uint64_t revision = 50;
};

inline std::size_t largest_value(const PlannedTransaction& e) {
  std::size_t most = 0;
  for (const auto& c : e.writes) most = std::max(most, boost::json::serialize(*c.value).size());
  return most;
}

}  // namespace finchrun::assignments
