// What the scenarios of the simulated cluster share.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "sim/cluster.hpp"

namespace finchrun::sim {

struct Quiet {
  Quiet() { spdlog::set_level(spdlog::level::off); }
};
inline const Quiet quiet;

inline void load(Cluster& c, int jobs, double over_s) {
  for (int i = 0; i < jobs; ++i) {
    c.at(5 + over_s * i / jobs, [&c, i] {
      const bool gang = i % 3 == 0;
      c.submit(gang ? 1 + i % 2 : 1 + i % 5, gang, gang ? 4 : 1, 3 + i % 7, i % 2 ? "red" : "blue",
               i % 4 == 0 ? "high" : "normal");
    });
  }
}

inline std::size_t finished(const Cluster& c) {
  std::size_t n = 0;
  for (const auto& [_, j] : c.jobs) n += j.told_done || j.told_cancelled ? 1 : 0;
  return n;
}

inline void expect_rules(const Cluster& c) {
  EXPECT_TRUE(c.broken.empty()) << c.broken.size() << " broken, first: " << c.broken.front();
  EXPECT_GT(c.starts, 0u);
}

}  // namespace finchrun::sim
