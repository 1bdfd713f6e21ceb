// A controller that leads one partition, for tests of the partition's records.
#pragma once

#include <gtest/gtest.h>

#include "assignments/assignment_writer.hpp"

namespace finchrun::assignments {

inline config::Settings single_partition_settings() {
  config::Settings settings;
  settings.label = "perch-0";
  settings.zone = "a";
  settings.zones = {"a"};
  settings.teams = {{"red", 0, 0, 400, 800}};
  return settings;
}

/// A controller that leads partition "a.0". The machines of the partition are host-100000, host-100001, ...
struct SinglePartition {
  explicit SinglePartition(const config::Settings& settings = single_partition_settings())
      : state(settings, {}) {
    state.cache_loaded = true;
    state.incarnation = 7;
    state.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), 40});
    state.cache.synchronized(40);
  }
  /// Accepts a job with all tasks in the partition.
  core::JobId job(const std::string& name, std::uint32_t tasks, jobs::Shape shape) {
    jobs::JobRecord record;
    record.spec.job_class = state.names.job_classes.intern("lane");
    record.spec.team = core::TeamId{0};
    record.spec.image = state.names.images.intern("img");
    record.spec.shape = shape;
    record.spec.tasks = tasks;
    record.ranges = {{0, tasks, partition}};
    state.cache.apply({"jobs/" + name, jobs::to_json(record, state.names), ++revision});
    return *state.names.jobs.find(name);
  }
  core::JobId job(const std::string& name, std::uint32_t tasks, bool gang) {
    return job(name, tasks, gang ? jobs::Shape::gang : jobs::Shape::array);
  }
  /// Assignments of the first tasks, each on its own machine.
  std::vector<jobs::TaskAssignment> assignments(std::uint32_t tasks, std::uint64_t attempt) {
    std::vector<jobs::TaskAssignment> assignments;
    for (std::uint32_t task = 0; task < tasks; ++task)
      assignments.push_back(
          {task, attempt, state.names.machines.intern("host-" + std::to_string(100000 + task)), 1});
    return assignments;
  }
  /// Makes the transaction durable.
  void apply(const PlannedTransaction& transaction) {
    ++revision;
    for (const auto& write : transaction.writes) state.cache.apply({write.key, write.value, revision});
  }
  ControllerState state;
  core::PartitionId partition{0};
  std::uint64_t revision = 50;
};

inline std::size_t largest_value(const PlannedTransaction& transaction) {
  std::size_t largest = 0;
  for (const auto& write : transaction.writes)
    largest = std::max(largest, boost::json::serialize(*write.value).size());
  return largest;
}

}  // namespace finchrun::assignments
