// Helpers for test scenarios of the simulated cluster.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "sim/cluster.hpp"

namespace finchrun::sim {

// Turns off the controllers' log for all tests, unless LOG_LEVEL is set, to trace a scenario.
struct LogSilencer {
  LogSilencer() {
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  }
};
inline const LogSilencer log_silencer;

inline void submit_mixed_jobs(Cluster& cluster, int jobs, double period_s) {
  for (int i = 0; i < jobs; ++i) {
    cluster.after(5 + period_s * i / jobs, [&cluster, i] {
      const bool gang = i % 3 == 0;
      cluster.submit(gang ? 1 + i % 2 : 1 + i % 5, gang, gang ? 4 : 1, 3 + i % 7, i % 2 ? "red" : "blue",
                     i % 4 == 0 ? "high" : "normal");
    });
  }
}

// Returns true if the transaction writes assignments.
inline bool places_something(const json::object& transaction) {
  const auto& writes = transaction.at("then").as_array();
  return std::any_of(writes.begin(), writes.end(), [](const json::value& write) {
    const auto* key = write.as_object().if_contains("set");
    return key && key->as_string().starts_with("runs/");
  });
}

inline std::size_t finished_job_count(const Cluster& cluster) {
  std::size_t count = 0;
  for (const auto& [_, job] : cluster.jobs) count += job.reported_done || job.reported_cancelled_at ? 1 : 0;
  return count;
}

inline void expect_no_violations(const Cluster& cluster) {
  EXPECT_TRUE(cluster.violations.empty())
      << cluster.violations.size() << " violations, first: " << cluster.violations.front();
  EXPECT_GT(cluster.task_starts, 0u);
  EXPECT_EQ(cluster.store.rejected_for_size, 0u) << "requests over a limit of the store";
}

}  // namespace finchrun::sim
