#include "controller/runtime.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace finchrun::controller {
namespace {

// Runs the event loop under a simulated clock.
class SimulatedTime : public testing::Test {
 protected:
  void SetUp() override { core::SteadyClock::simulate(now_); }
  void TearDown() override { core::SteadyClock::simulate(std::nullopt); }
  void advance(double seconds) {
    now_ += core::to_duration(seconds);
    core::SteadyClock::simulate(now_);
    // The event loop learns from a descriptor of the system that a timer is due, a little after it was set.
    constexpr std::chrono::milliseconds kTimerDelay{2};
    while (io_.run_one_for(kTimerDelay) > 0) {
    }
    io_.restart();
  }
  void start(asio::awaitable<void> task) {
    asio::co_spawn(io_, std::move(task), asio::detached);
    advance(0);
  }

  core::TimePoint now_{core::to_duration(1000)};
  asio::io_context io_{1};
};

class RuntimeTest : public SimulatedTime {};
class WakeupTest : public SimulatedTime {
 protected:
  asio::awaitable<void> wait_once(double seconds) {
    co_await wakeup_.wait(seconds);
    ++woken_;
  }
  Wakeup wakeup_{io_};
  int woken_ = 0;
};

TEST_F(RuntimeTest, JitterCoversPlusMinusTwentyPercent) {
  Runtime runtime(io_, 7);
  const core::SteadyClock::duration min_delay = core::to_duration(8), max_delay = core::to_duration(12);
  int low = 0, high = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto delay = runtime.jitter(10);
    ASSERT_GE(delay, min_delay);
    ASSERT_LE(delay, max_delay);
    low += delay < core::to_duration(8.5) ? 1 : 0;
    high += delay > core::to_duration(11.5) ? 1 : 0;
  }
  EXPECT_GT(low, 0);
  EXPECT_GT(high, 0);
}

TEST_F(RuntimeTest, JitterDependsOnlyOnTheSeed) {
  Runtime one(io_, 7), same(io_, 7), other(io_, 8);
  const auto first = one.jitter(10);
  EXPECT_EQ(first, same.jitter(10));
  EXPECT_NE(first, other.jitter(10));
}

TEST_F(RuntimeTest, SleepLastsForTheJitteredTime) {
  Runtime runtime(io_, 7);
  bool over = false;
  const auto sleep = [&]() -> asio::awaitable<void> {
    co_await runtime.sleep(10);
    over = true;
  };
  start(sleep());
  advance(7.9);
  EXPECT_FALSE(over);
  advance(4.2);
  EXPECT_TRUE(over);
}

TEST_F(RuntimeTest, ExceptionInTaskEndsOnlyThatTask) {
  Runtime runtime(io_, 7);
  const auto fails = []() -> asio::awaitable<void> {
    throw std::runtime_error("no answer");
    co_return;
  };
  bool ran = false;
  const auto runs = [&]() -> asio::awaitable<void> {
    ran = true;
    co_return;
  };
  runtime.spawn(fails());
  runtime.spawn(runs());
  advance(0);
  EXPECT_TRUE(ran);
}

TEST_F(RuntimeTest, ExceptionInLoopEndsTheProcess) {
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  const auto fails = []() -> asio::awaitable<void> {
    throw std::runtime_error("bug");
    co_return;
  };
  EXPECT_EXIT(
      {
        Runtime runtime(io_, 7);
        runtime.run_forever(fails());
        advance(0);
      },
      testing::ExitedWithCode(3), "");
}

TEST_F(WakeupTest, WaitEndsWhenNotified) {
  start(wait_once(10));
  EXPECT_EQ(woken_, 0);
  wakeup_.notify();
  advance(0);
  EXPECT_EQ(woken_, 1);
}

TEST_F(WakeupTest, WaitEndsAfterTimeoutWithoutJitter) {
  start(wait_once(10));
  advance(9.99);
  EXPECT_EQ(woken_, 0);
  advance(0.02);
  EXPECT_EQ(woken_, 1);
}

TEST_F(WakeupTest, NotificationWithoutWaiterIsLost) {
  wakeup_.notify();
  start(wait_once(10));
  advance(5);
  EXPECT_EQ(woken_, 0);
  advance(6);
  EXPECT_EQ(woken_, 1);
}

}  // namespace
}  // namespace finchrun::controller
