#include "core/in_flight.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace finchrun::core {
namespace {

TEST(InFlightCounter, CountsSlotsUntilTheyAreDestroyed) {
  InFlightCounter counter;
  {
    const auto first = counter.acquire();
    auto second = counter.acquire();
    EXPECT_EQ(counter.count(), 2u);
    const auto moved = std::move(second);
    EXPECT_EQ(counter.count(), 2u);
  }
  EXPECT_EQ(counter.count(), 0u);
}

// Coroutines that are destroyed with the event loop may outlive the component that started them.
TEST(InFlightCounter, SlotMayOutliveCounter) {
  std::optional<InFlightCounter> counter(std::in_place);
  const auto slot = counter->acquire();
  counter.reset();
}

}  // namespace
}  // namespace finchrun::core
