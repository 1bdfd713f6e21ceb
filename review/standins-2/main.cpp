// review_cases CASE FOLDER COMMAND...: plays a case and judges its rule. Exit status: 1 if the rule was
// broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <cstdio>
#include <cstdlib>

#include "cases.hpp"

namespace finchrun::review {
namespace {

constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;
// Of the rule: "no job is left waiting for 90 s while a machine that fits has room".
constexpr double kMaxWaitS = 90;
constexpr double kRunS = 117;  // of the 120 s that a script may take

// Watches the job until it is done, or the rule is broken, or the time is over.
asio::awaitable<int> judge_waiting(World& world, const std::string& job) {
  std::optional<core::TimePoint> since;
  while (world.elapsed_s() < kRunS) {
    if (world.any_ended()) {
      world.record("VERDICT: a controller ended by itself");
      co_return kNotRun;
    }
    const auto machine = world.machine_with_room(job);
    if (machine.empty()) {
      if (since) world.record("judge: no waiting task of " + job + " with room any more");
      since.reset();
    } else if (!since) {
      since = core::SteadyClock::now();
      world.record(fmt::format("judge: a task of {} waits, and {} fits and has room", job, machine));
    } else if (core::seconds_between(*since, core::SteadyClock::now()) > kMaxWaitS) {
      world.record(fmt::format("VERDICT: broken: {} was left waiting for {:.0f} s while {} had room", job,
                               kMaxWaitS, machine));
      co_return kBroken;
    }
    if (world.is_done(job)) {
      world.record("VERDICT: held: " + job + " is done");
      co_return kHeld;
    }
    co_await world.sleep(0.05);
  }
  world.record("VERDICT: held: the job did not wait for 90 s in a row while a machine that fits had room");
  co_return kHeld;
}

// Asks about the job for 80 s.
asio::awaitable<int> judge_answers(World& world, const std::string& job) {
  // Of the rule: "a job about which no question is answered for 75 s counts as forgotten".
  constexpr double kMaxSilenceS = 75, kWatchS = 80, kPauseS = 1;
  const auto began = core::SteadyClock::now();
  auto last_answer = std::make_shared<core::TimePoint>(began);
  world.record("judge: asks about " + job + " at all controllers in turn");
  // Named variables: GCC 12 destroys the temporaries of an expression with co_await twice.
  const auto executor = co_await asio::this_coro::executor;
  std::function<void()> answered = [last_answer] { *last_answer = core::SteadyClock::now(); };
  auto asking = world.keep_asking(job, kPauseS, std::move(answered));
  asio::co_spawn(executor, std::move(asking), asio::detached);
  while (core::seconds_between(began, core::SteadyClock::now()) < kWatchS && world.elapsed_s() < kRunS) {
    if (world.any_ended()) {
      world.record("VERDICT: a controller ended by itself");
      co_return kNotRun;
    }
    if (core::seconds_between(*last_answer, core::SteadyClock::now()) > kMaxSilenceS) {
      world.record(
          fmt::format("VERDICT: broken: no question about {} was answered for {:.0f} s", job, kMaxSilenceS));
      co_return kBroken;
    }
    co_await world.sleep(0.05);
  }
  world.record("VERDICT: held: questions about " + job + " were answered");
  co_return kHeld;
}

asio::awaitable<int> play(World& world, const CaseEntry& entry, bool trouble) {
  const Condition is_ready = [&] { return world.is_ready(); };
  if (!co_await world.wait_until(is_ready, 25)) {
    world.record("VERDICT: not run: the controllers did not come up");
    co_return kNotRun;
  }
  const auto job = co_await entry.play(world, trouble);
  if (!job) {
    world.record("VERDICT: not run: a step before the judged part did not happen in time");
    co_return kNotRun;
  }
  if (job->rule == JudgedJob::Rule::forgotten) co_return co_await judge_answers(world, job->id);
  co_return co_await judge_waiting(world, job->id);
}

int run(int number, const std::string& folder, std::vector<std::string> command) {
  const auto* entry = find_case(number);
  if (!entry) return kNotRun;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  asio::io_context io{1};
  int result = kNotRun;
  {
    World world(io, std::move(command), folder);
    world.record(fmt::format("case {} trouble={}", number, trouble ? 1 : 0));
    entry->prepare(world);
    world.start();
    asio::co_spawn(io, play(world, *entry, trouble), [&](std::exception_ptr error, int status) {
      result = error ? kNotRun : status;
      io.stop();
    });
    io.run();
  }
  return result;
}

}  // namespace
}  // namespace finchrun::review

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  try {
    const int result = finchrun::review::run(std::atoi(argv[1]), argv[2], {argv + 3, argv + argc});
    std::printf("case %s: %s\n", argv[1], result == 1 ? "broken" : result == 0 ? "held" : "not run");
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "review: %s\n", error.what());
    return 2;
  }
}
