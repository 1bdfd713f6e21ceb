#include "agent/machine.hpp"

#include <gtest/gtest.h>

#include "agent/heartbeat_handler.hpp"

namespace finchrun::agent {
namespace {

core::TimePoint at(double seconds) { return core::TimePoint(core::to_duration(seconds)); }

TEST(Machine, MessageIsOutdatedUnlessItIsNewer) {
  struct Case {
    std::uint64_t incarnation, sequence;
    bool outdated;
  };
  Machine machine;
  EXPECT_FALSE(machine.is_outdated(0, 0));  // the first one
  machine.has_heartbeat = true;
  machine.agent_incarnation = 3;
  machine.sequence = 10;
  for (const auto& c :
       {Case{3, 9, true}, Case{3, 10, true}, Case{3, 11, false}, Case{2, 50, true}, Case{4, 1, false}})
    EXPECT_EQ(machine.is_outdated(c.incarnation, c.sequence), c.outdated)
        << c.incarnation << "." << c.sequence;
}

TEST(Machine, IsUnreachableSinceTheFirstUndeliveredMessage) {
  Machine machine;
  machine.mark_unreachable(at(100));
  machine.mark_unreachable(at(130));
  EXPECT_EQ(machine.unreachable_since, at(100));
  EXPECT_EQ(machine.last_marked_unreachable, at(130));
  machine.mark_reachable();
  EXPECT_FALSE(machine.is_unreachable());
}

TEST(Machine, EvictsLeastRecentlyUsedImages) {
  struct Case {
    const char* name;
    std::optional<double> cache_gb;
    std::vector<std::uint32_t> uses, cached;
  };
  for (const auto& c :
       {Case{"all_fit", 30, {0, 1, 2}, {0, 1, 2}}, Case{"larger_than_cache_in_total", 29, {0, 1, 2}, {1, 2}},
        Case{"used_again", 29, {0, 1, 0, 2}, {0, 2}}, Case{"single_image_larger_than_cache", 5, {0, 1}, {1}},
        Case{"unknown_type", std::nullopt, {0, 1, 2, 3}, {0, 1, 2, 3}}}) {
    Machine machine;
    for (const auto image : c.uses) machine.use_image(core::ImageId{image}, 10, c.cache_gb);
    std::vector<std::uint32_t> cached;
    for (const auto& [image, _] : machine.cached_images) cached.push_back(image.index);
    EXPECT_EQ(cached, c.cached) << c.name;
  }
}

// The backoff is 8 s with the second machine, 16 s with the third, and so on, up to 60 s.
TEST(JobFailures, BackoffGrowsWithTheNumberOfMachines) {
  JobFailures failures;
  failures.record(core::MachineId{0}, at(100));
  failures.record(core::MachineId{0}, at(101));
  EXPECT_EQ(failures.retry_at, core::TimePoint{});
  std::vector<double> backoffs_s;
  for (std::uint32_t machine = 1; machine < 5; ++machine) {
    failures.record(core::MachineId{machine}, at(110));
    backoffs_s.push_back(core::seconds_between(at(110), failures.retry_at));
  }
  EXPECT_EQ(backoffs_s, (std::vector<double>{8, 16, 32, 60}));
  EXPECT_EQ(failures.failures, 6);
}

}  // namespace
}  // namespace finchrun::agent
