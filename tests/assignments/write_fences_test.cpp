// Commits of a partition's leader that get no response, for each component that commits.
#include "assignments/write_fences.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/exit_recorder.hpp"
#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"
#include "sim/scripted_network.hpp"

namespace finchrun::assignments {
namespace {

constexpr std::uint64_t kFencingToken = 40;  // of SinglePartition
const core::PartitionId kPartition{0};

/// A leader of partition "a.0" whose store gives prepared responses.
struct Leader {
  Leader()
      : settings(single_partition_settings()),
        runtime(io, 1),
        state(settings, tuning),
        store(network, settings),
        follower(runtime, state, store, tuning),
        fences(state, store, follower) {
    state.with([](ControllerState& shared) {
      shared.cache_loaded = true;
      shared.incarnation = 7;
      shared.cache.apply({"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"), kFencingToken});
      shared.cache.synchronized(kFencingToken);
    });
  }
  bool is_fence_due() {
    return state.with([](ControllerState& shared) { return shared.is_fence_due(kPartition); });
  }
  bool may_decide() {
    return state.with([](ControllerState& shared) { return shared.may_decide_for(kPartition); });
  }
  void commit_unanswered(std::uint64_t fencing_token) {
    network.answers.push_back({http::status::kNoAnswer, ""});
    sim::run_to_completion([&]() -> asio::awaitable<state::CommitResult> {
      state::Transaction transaction{{{"parts/a.0", fencing_token}, {"fence/a.0", 0}}, {}};
      co_return co_await fences.commit(std::move(transaction));
    });
  }
  void move_fences() {
    sim::run_to_completion([&] { return fences.move_due_fences(); });
  }
  boost::asio::io_context io;
  config::Settings settings;
  config::Tuning tuning;
  sim::ScriptedNetwork network;
  controller::Runtime runtime;
  controller::SharedState state;
  state::KeyValueStore store;
  coordination::StateFollower follower;
  WriteFences fences;
};

struct AnswerCase {
  const char* name;
  int status;
  const char* body;
  bool due;
};
class FencedCommit : public testing::TestWithParam<AnswerCase> {};
TEST_P(FencedCommit, MakesTheFenceDueOnlyWithoutACertainOutcome) {
  Leader leader;
  leader.network.answers.push_back({GetParam().status, GetParam().body});
  sim::run_to_completion([&]() -> asio::awaitable<state::CommitResult> {
    state::Transaction transaction{{{"parts/a.0", kFencingToken}, {"fence/a.0", 0}}, {}};
    co_return co_await leader.fences.commit(std::move(transaction));
  });
  EXPECT_EQ(leader.is_fence_due(), GetParam().due);
}
INSTANTIATE_TEST_SUITE_P(Table, FencedCommit,
                         testing::Values(AnswerCase{"applied", 200, R"({"epoch":41})", false},
                                         AnswerCase{"conflict", 409, R"({"failed":["a"],"epoch":41})", false},
                                         AnswerCase{"refused", 503, "", false},
                                         AnswerCase{"no_answer", 0, "", true},
                                         AnswerCase{"internal_error", 500, "", true}),
                         kCaseName);

// Guards against a late placement that starts its task twice: the fence was no longer due after a moment in
// which the process did not lead, although its fencing token was the same afterwards.
struct InterruptionCase {
  const char* name;
  std::function<void(ControllerState&)> begin, end;
  bool due_after;
};
class FenceDue : public testing::TestWithParam<InterruptionCase> {};
TEST_P(FenceDue, EndsOnlyWithANewFencingToken) {
  Leader leader;
  leader.commit_unanswered(kFencingToken);
  leader.state.with(GetParam().begin);
  EXPECT_FALSE(leader.may_decide());
  leader.move_fences();  // as each scheduling round does
  leader.state.with(GetParam().end);
  EXPECT_EQ(leader.is_fence_due(), GetParam().due_after);
  EXPECT_EQ(leader.may_decide(), !GetParam().due_after);
}
INSTANTIATE_TEST_SUITE_P(
    Table, FenceDue,
    testing::Values(InterruptionCase{"while_the_cache_is_reloaded",
                                     [](ControllerState& state) { state.cache_loaded = false; },
                                     [](ControllerState& state) { state.cache_loaded = true; }, true},
                    InterruptionCase{"while_the_membership_is_renewed",
                                     [](ControllerState& state) { state.incarnation = 0; },
                                     [](ControllerState& state) { state.incarnation = 7; }, true},
                    InterruptionCase{"while_the_reloaded_records_lack_the_leadership",
                                     [](ControllerState& state) { state.cache.reset(); },
                                     [](ControllerState& state) {
                                       state.cache.apply(
                                           {"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"),
                                            kFencingToken});
                                       state.cache.synchronized(kFencingToken);
                                     },
                                     true},
                    InterruptionCase{"leadership_acquired_again",
                                     [](ControllerState& state) { state.cache_loaded = false; },
                                     [](ControllerState& state) {
                                       state.cache_loaded = true;
                                       state.cache.apply(
                                           {"parts/a.0", boost::json::parse(R"({"owner":"perch-0","inc":7})"),
                                            kFencingToken + 1});
                                       state.cache.synchronized(kFencingToken + 1);
                                     },
                                     false}),
    kCaseName);

TEST(WriteFences, DecideAgainOnceTheMovedFenceHasBeenRead) {
  Leader leader;
  leader.commit_unanswered(kFencingToken);
  leader.network.answers.push_back({http::status::kOk, R"({"epoch":45})"});
  leader.move_fences();
  EXPECT_FALSE(leader.is_fence_due());
  EXPECT_FALSE(leader.may_decide()) << "the unanswered commit may have been applied before the move";
  leader.state.with([](ControllerState& state) { state.cache.synchronized(45); });
  EXPECT_TRUE(leader.may_decide());
}

struct FailedMove {
  const char* name;
  int status;
};
class FailedFenceMove : public testing::TestWithParam<FailedMove> {};
TEST_P(FailedFenceMove, LeavesTheFenceDueAndIsNotRepeatedAtOnce) {
  Leader leader;
  leader.commit_unanswered(kFencingToken);
  const auto requests = leader.network.bodies.size();
  leader.network.answers.push_back({GetParam().status, R"({"failed":[],"epoch":44})"});
  leader.move_fences();
  EXPECT_TRUE(leader.is_fence_due());
  leader.move_fences();
  EXPECT_EQ(leader.network.bodies.size(), requests + 1);
}
INSTANTIATE_TEST_SUITE_P(Table, FailedFenceMove,
                         testing::Values(FailedMove{"refused", 503}, FailedMove{"conflict", 409},
                                         FailedMove{"no_answer", 0}),
                         kCaseName);

// Guards against a late split of a shard: after an exit transaction without a response, tombstones were
// recorded that the late transaction did not compare.
TEST(ExitRecorder, RecordsNothingMoreAfterAnUnansweredCommit) {
  Leader leader;
  ExitRecorder recorder(leader.state, leader.store, leader.follower, leader.fences);
  leader.state.with([](ControllerState& state) {
    jobs::JobRecord record;
    record.spec.team = core::TeamId{0};
    record.spec.image = state.names.images.intern("img");
    record.spec.job_class = state.names.job_classes.intern("lane");
    record.spec.tasks = 2;
    record.ranges = {{0, 2, kPartition}};
    state.cache.apply({"jobs/req-1", jobs::to_json(record, state.names), 41});
    jobs::JobAssignments assigned;
    assigned.assignments = {{0, 9, state.names.machines.intern("host-1"), 1}};
    boost::json::object stored{{"req-1", jobs::to_json(assigned, state.names)}};
    state.cache.apply({"runs/a.0/0", boost::json::object{{"jobs", std::move(stored)}}, 42});
    state.fleet.observed_exits.insert(
        {*state.names.jobs.find("req-1"), kPartition, 0, 9, true, state.fencing_token(kPartition)});
  });
  const auto flush = [&] {
    sim::run_to_completion([&]() -> asio::awaitable<bool> {
      co_await recorder.flush();
      co_return true;
    });
    return leader.network.bodies.size();
  };
  EXPECT_EQ(flush(), 1u);
  EXPECT_TRUE(leader.is_fence_due());
  EXPECT_EQ(flush(), 1u) << "nothing is recorded until the fence has moved";
  leader.network.answers.push_back({http::status::kOk, R"({"epoch":45})"});
  leader.move_fences();
  leader.state.with([](ControllerState& state) { state.cache.synchronized(45); });
  leader.network.answers.push_back({http::status::kOk, R"({"epoch":46})"});
  EXPECT_EQ(flush(), 3u) << "the fence and the exit";
  EXPECT_FALSE(leader.is_fence_due());
}

}  // namespace
}  // namespace finchrun::assignments
