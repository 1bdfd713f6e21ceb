#include "state/key_value_store.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "sim/scripted_network.hpp"

namespace finchrun::state {
namespace {

using sim::ScriptedNetwork;

config::Settings make_settings(double writes_per_s, int max_transaction_writes) {
  config::Settings settings;
  settings.controller_count = 3;
  settings.store_limits.writes_per_s = writes_per_s;
  settings.store_limits.max_transaction_writes = max_transaction_writes;
  return settings;
}

struct CommitCase {
  int status;
  const char* body;
  CommitStatus outcome;
};
class CommitAnswer : public testing::TestWithParam<CommitCase> {};
TEST_P(CommitAnswer, HasExpectedStatus) {
  ScriptedNetwork network;
  KeyValueStore store(network, make_settings(20, 16));
  network.answers.push_back({GetParam().status, GetParam().body});
  const auto result = sim::run_to_completion([&] { return store.commit(Transaction{}); });
  EXPECT_EQ(result.outcome, GetParam().outcome);
}
INSTANTIATE_TEST_SUITE_P(
    Answers, CommitAnswer,
    testing::Values(CommitCase{200, R"({"epoch":432})", CommitStatus::done},
                    CommitCase{409, R"({"failed":["a/b"],"epoch":431})", CommitStatus::conflict},
                    CommitCase{400, R"({"error":"no such lease"})", CommitStatus::lease_expired},
                    CommitCase{400, R"({"error":"value too large"})", CommitStatus::malformed},
                    CommitCase{429, "", CommitStatus::refused}, CommitCase{503, "", CommitStatus::refused},
                    CommitCase{0, "", CommitStatus::unknown}, CommitCase{500, "", CommitStatus::unknown},
                    CommitCase{200, "<html>", CommitStatus::unknown},
                    CommitCase{200, R"({"epoch":"x"})", CommitStatus::unknown},
                    CommitCase{409, R"({"epoch":431})", CommitStatus::unknown}));

// The store would answer 400 to every attempt.
TEST(KeyValueStore, DoesNotSendTransactionOverALimit) {
  struct Case {
    std::size_t writes, bytes;
    CommitStatus outcome;
    std::size_t compares = 0;
    int max_writes = 5;
  };
  constexpr auto done = CommitStatus::done, too_large = CommitStatus::too_large;
  // 32 values of 2,000 bytes fit into a body of 64 KiB with their keys, 33 do not.
  for (const auto& test_case :
       {Case{5, 100, done}, Case{6, 100, too_large}, Case{1, 2046, done}, Case{1, 2047, too_large},
        Case{1, 100, done, 20}, Case{1, 100, too_large, 21}, Case{0, 0, too_large, 21},
        Case{32, 2000, done, 0, 100}, Case{33, 2000, too_large, 0, 100}}) {
    ScriptedNetwork network;
    auto settings = make_settings(20, test_case.max_writes);
    settings.store_limits.max_value_kb = 2;
    KeyValueStore store(network, settings);
    network.answers.push_back({200, R"({"epoch":432})"});
    Transaction transaction;
    for (std::size_t i = 0; i < test_case.writes; ++i)
      transaction.writes.push_back(
          {"a/" + std::to_string(i), json::value(std::string(test_case.bytes, 'x'))});
    for (std::size_t i = 0; i < test_case.compares; ++i)
      transaction.compares.push_back({"a/" + std::to_string(i), 0});
    EXPECT_EQ(sim::run_to_completion([&] { return store.commit(std::move(transaction)); }).outcome,
              test_case.outcome)
        << test_case.writes << " " << test_case.bytes << " " << test_case.compares;
    EXPECT_EQ(network.targets.size(), test_case.outcome == CommitStatus::done ? 1u : 0u);
  }
}

TEST(KeyValueStore, SerializesTransaction) {
  ScriptedNetwork network;
  KeyValueStore store(network, make_settings(20, 16));
  network.answers.push_back({200, R"({"epoch":432})"});
  Transaction transaction;
  transaction.compares.push_back({"a/b", 0});
  transaction.writes.push_back({"a/b", json::object{{"x", 1}}, 7});
  transaction.writes.push_back({"c/\"d", std::nullopt});
  sim::run_to_completion([&] { return store.commit(std::move(transaction)); });
  ASSERT_EQ(network.bodies.size(), 1u);
  EXPECT_EQ(json::parse(network.bodies[0]), json::parse(R"({"when":[{"k":"a/b","stamp":0}],
      "then":[{"set":"a/b","data":{"x":1},"hold":7},{"delete":"c/\"d"}]})"));
}

struct ChangesCase {
  int status;
  const char* body;
  std::optional<StoreError> error;
  std::size_t events;
};
class ChangesAnswer : public testing::TestWithParam<ChangesCase> {};
TEST_P(ChangesAnswer, IsParsedOrHasError) {
  ScriptedNetwork network;
  KeyValueStore store(network, make_settings(20, 16));
  network.answers.push_back({GetParam().status, GetParam().body});
  const auto result = sim::run_to_completion([&] { return store.changes(7); });
  ASSERT_EQ(std::holds_alternative<StoreError>(result), GetParam().error.has_value());
  if (GetParam().error) {
    EXPECT_EQ(std::get<StoreError>(result), *GetParam().error);
  } else {
    EXPECT_EQ(std::get<Changes>(result).revision, 433u);
    EXPECT_EQ(std::get<Changes>(result).events.size(), GetParam().events);
  }
}
INSTANTIATE_TEST_SUITE_P(
    Answers, ChangesAnswer,
    testing::Values(
        ChangesCase{
            200,
            R"({"epoch":433,"events":[{"set":"c/9","data":{},"stamp":433},{"delete":"c/d","stamp":432}]})",
            std::nullopt, 2},
        ChangesCase{200, R"({"epoch":433,"events":[]})", std::nullopt, 0},
        ChangesCase{410, "", StoreError::revision_too_old, 0}, ChangesCase{429, "", StoreError::refused, 0},
        ChangesCase{503, "", StoreError::refused, 0},
        ChangesCase{200, R"({"epoch":433,"events":[{"set":3}]})", StoreError::malformed_answer, 0},
        ChangesCase{200, "<html>", StoreError::malformed_answer, 0},
        ChangesCase{500, "", StoreError::malformed_answer, 0}, ChangesCase{0, "", StoreError::no_answer, 0}));

TEST(KeyValueStore, ListsPageByPage) {
  ScriptedNetwork network;
  KeyValueStore store(network, make_settings(20, 16));
  network.answers.push_back(
      {200, R"({"epoch":9,"hasNext":true,"items":[{"k":"jobs/a b","data":{"x":1},"stamp":8}]})"});
  network.answers.push_back({200, R"({"epoch":9,"items":[]})"});
  const auto first = sim::run_to_completion([&] { return store.list("", 500); });
  ASSERT_TRUE(std::holds_alternative<ListPage>(first));
  const auto& page = std::get<ListPage>(first);
  EXPECT_TRUE(page.has_more);
  EXPECT_EQ(page.revision, 9u);
  ASSERT_EQ(page.items.size(), 1u);
  EXPECT_EQ(page.items[0].revision, 8u);
  const auto second = sim::run_to_completion([&] { return store.list("jobs/a b", 500); });
  EXPECT_EQ(std::get<StoreError>(second), StoreError::malformed_answer) << "hasNext is missing";
  EXPECT_EQ(network.targets,
            (std::vector<std::string>{"/store?under=&limit=500", "/store?under=&limit=500&from=jobs/a%20b"}));
}

TEST(KeyValueStore, LeaseIsGrantedOnlyIfAnswerHasItsNumber) {
  struct Case {
    http::ClientResponse answer;
    Result<std::uint64_t> result;
  };
  for (const auto& test_case :
       {Case{{200, R"({"hold":71})"}, std::uint64_t{71}}, Case{{200, "{}"}, StoreError::malformed_answer},
        Case{{200, R"({"hold":"x"})"}, StoreError::malformed_answer}, Case{{503, ""}, StoreError::refused},
        Case{{0, ""}, StoreError::no_answer}}) {
    ScriptedNetwork network;
    KeyValueStore store(network, make_settings(20, 16));
    network.answers.push_back(test_case.answer);
    EXPECT_EQ(sim::run_to_completion([&] { return store.grant_lease(4000); }), test_case.result)
        << test_case.answer.status << test_case.answer.body;
    EXPECT_EQ(network.targets.at(0), "/grants");
    EXPECT_EQ(network.bodies.at(0), R"({"ttlMs":4000})");
  }
}

// A process that treated an outage as the end of its store lease would join again, and lose all partitions
// that it leads.
TEST(KeyValueStore, LeaseIsExpiredOnlyIfStoreDoesNotKnowIt) {
  for (const auto& [status, renewal] :
       {std::pair{200, LeaseRenewal::renewed}, std::pair{404, LeaseRenewal::expired},
        std::pair{503, LeaseRenewal::unknown}, std::pair{429, LeaseRenewal::unknown},
        std::pair{0, LeaseRenewal::unknown}}) {
    ScriptedNetwork network;
    KeyValueStore store(network, make_settings(20, 16));
    network.answers.push_back({status, ""});
    EXPECT_EQ(sim::run_to_completion([&] { return store.renew_lease(71); }), renewal) << status;
    EXPECT_EQ(network.targets.at(0), "/grants/71/extend");
  }
}

// If a round's transaction were larger than the budget ever grants, nothing would be placed any more.
TEST(WriteBudget, LargestTransactionFitsIntoABurst) {
  for (const double writes_per_s : {5.0, 20.0, 50.0}) {
    ScriptedNetwork network;
    KeyValueStore store(network, make_settings(writes_per_s, 16));
    EXPECT_LE(store.max_writes(), 16u);
    EXPECT_TRUE(
        store.try_spend_writes(static_cast<int>(store.max_writes()), KeyValueStore::WritePurpose::records))
        << writes_per_s;
  }
}

// Five controllers, two of them leaders: together they request little more than the store grants, leaders
// can write all shards of a round at once, and records leave enough for a submission.
TEST(WriteBudget, LeadersHaveALargerShare) {
  for (const double writes_per_s : {20.0, 50.0}) {
    ScriptedNetwork network;
    KeyValueStore leader(network, make_settings(writes_per_s, 16)),
        other(network, make_settings(writes_per_s, 16));
    leader.set_write_share(1.0 / 2);
    other.set_write_share(0.25 / 3);
    EXPECT_TRUE(leader.try_spend_writes(6, KeyValueStore::WritePurpose::records)) << writes_per_s;
    while (leader.try_spend_writes(1, KeyValueStore::WritePurpose::records)) continue;
    EXPECT_TRUE(leader.try_spend_writes(2, KeyValueStore::WritePurpose::user_requests)) << writes_per_s;
    int granted_writes = 0;
    while (other.try_spend_writes(1, KeyValueStore::WritePurpose::user_requests)) ++granted_writes;
    EXPECT_GE(granted_writes, 4) << "submissions that arrive together";
    EXPECT_LE(granted_writes, writes_per_s / 4);
  }
}

TEST(RateLimiter, KeepsTheReserveAndRefills) {
  const auto start = core::TimePoint(core::to_duration(100));
  RateLimiter limiter(10, 10, start);
  EXPECT_FALSE(limiter.try_take(9, 0.2, start));
  EXPECT_TRUE(limiter.try_take(8, 0.2, start));
  EXPECT_FALSE(limiter.try_take(1, 0.2, start));
  EXPECT_TRUE(limiter.try_take(2, 0, start));  // callers without a reserve may use all of it
  EXPECT_TRUE(limiter.try_take(5, 0, start + core::to_duration(0.5)));
  limiter.drain(start + core::to_duration(5));
  EXPECT_FALSE(limiter.try_take(1, 0, start + core::to_duration(5)));
}

}  // namespace
}  // namespace finchrun::state
