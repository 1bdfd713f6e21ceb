#include "state/key_value_store.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "sim/scripted_network.hpp"

namespace finchrun::state {
namespace {

using sim::ScriptedNetwork;

config::Settings settings(double write_rps, int txn_ops) {
  config::Settings s;
  s.controller_count = 3;
  s.store_limits.writes_per_s = write_rps;
  s.store_limits.max_transaction_writes = txn_ops;
  return s;
}

struct CommitCase {
  int status;
  const char* body;
  CommitStatus outcome;
};
class Commit : public testing::TestWithParam<CommitCase> {};
TEST_P(Commit, AnswerMeans) {
  ScriptedNetwork net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({GetParam().status, GetParam().body});
  const auto result = sim::run_to_completion([&] { return store.commit(Transaction{}); });
  EXPECT_EQ(result.outcome, GetParam().outcome);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Commit,
    testing::Values(CommitCase{200, R"({"epoch":432})", CommitStatus::done},
                    CommitCase{409, R"({"failed":["a/b"],"epoch":431})", CommitStatus::conflict},
                    CommitCase{400, R"({"error":"no such lease"})", CommitStatus::lease_expired},
                    CommitCase{400, R"({"error":"value too large"})", CommitStatus::malformed},
                    CommitCase{429, "", CommitStatus::refused}, CommitCase{503, "", CommitStatus::refused},
                    CommitCase{0, "", CommitStatus::unknown}, CommitCase{500, "", CommitStatus::unknown},
                    CommitCase{200, "<html>", CommitStatus::unknown},
                    CommitCase{200, R"({"epoch":"x"})", CommitStatus::unknown},
                    CommitCase{409, R"({"epoch":431})", CommitStatus::unknown}));

// Sent, it would be answered 400 again and again.
TEST(KeyValueStore, DoesNotSendWhatIsOverALimit) {
  struct Case {
    std::size_t changes, bytes;
    CommitStatus outcome;
  };
  for (const auto& c : {Case{5, 100, CommitStatus::done}, Case{6, 100, CommitStatus::too_large},
                        Case{1, 2046, CommitStatus::done}, Case{1, 2047, CommitStatus::too_large}}) {
    ScriptedNetwork net;
    auto s = settings(20, 5);
    s.store_limits.max_value_kb = 2;
    KeyValueStore store(net, s);
    net.answers.push_back({200, R"({"epoch":432})"});
    Transaction txn;
    for (std::size_t i = 0; i < c.changes; ++i)
      txn.writes.push_back({"a/" + std::to_string(i), json::value(std::string(c.bytes, 'x'))});
    EXPECT_EQ(sim::run_to_completion([&] { return store.commit(std::move(txn)); }).outcome, c.outcome)
        << c.changes << " " << c.bytes;
    EXPECT_EQ(net.targets.size(), c.outcome == CommitStatus::done ? 1u : 0u);
  }
}

TEST(KeyValueStore, WritesATransactionAsTheProtocolSays) {
  ScriptedNetwork net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({200, R"({"epoch":432})"});
  Transaction txn;
  txn.compares.push_back({"a/b", 0});
  txn.writes.push_back({"a/b", json::object{{"x", 1}}, 7});
  txn.writes.push_back({"c/\"d", std::nullopt});
  sim::run_to_completion([&] { return store.commit(std::move(txn)); });
  ASSERT_EQ(net.bodies.size(), 1u);
  EXPECT_EQ(json::parse(net.bodies[0]), json::parse(R"({"when":[{"k":"a/b","stamp":0}],
      "then":[{"set":"a/b","data":{"x":1},"hold":7},{"delete":"c/\"d"}]})"));
}

struct ChangesCase {
  int status;
  const char* body;
  std::optional<StoreError> error;
  std::size_t events;
};
class ReadChanges : public testing::TestWithParam<ChangesCase> {};
TEST_P(ReadChanges, AnswerMeans) {
  ScriptedNetwork net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({GetParam().status, GetParam().body});
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
    Table, ReadChanges,
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
  ScriptedNetwork net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back(
      {200, R"({"epoch":9,"hasNext":true,"items":[{"k":"jobs/a b","data":{"x":1},"stamp":8}]})"});
  net.answers.push_back({200, R"({"epoch":9,"items":[]})"});
  const auto first = sim::run_to_completion([&] { return store.list("", 500); });
  ASSERT_TRUE(std::holds_alternative<ListPage>(first));
  const auto& page = std::get<ListPage>(first);
  EXPECT_TRUE(page.more);
  EXPECT_EQ(page.revision, 9u);
  ASSERT_EQ(page.items.size(), 1u);
  EXPECT_EQ(page.items[0].revision, 8u);
  const auto second = sim::run_to_completion([&] { return store.list("jobs/a b", 500); });
  EXPECT_EQ(std::get<StoreError>(second), StoreError::malformed_answer)
      << "does not say whether there is more";
  EXPECT_EQ(net.targets,
            (std::vector<std::string>{"/store?under=&limit=500", "/store?under=&limit=500&from=jobs/a%20b"}));
}

TEST(KeyValueStore, LeaseIsGrantedOnlyByAnAnswerThatNamesIt) {
  struct Case {
    http::ClientResponse answer;
    Result<std::uint64_t> result;
  };
  for (const auto& c :
       {Case{{200, R"({"hold":71})"}, std::uint64_t{71}}, Case{{200, "{}"}, StoreError::malformed_answer},
        Case{{200, R"({"hold":"x"})"}, StoreError::malformed_answer}, Case{{503, ""}, StoreError::refused},
        Case{{0, ""}, StoreError::no_answer}}) {
    ScriptedNetwork net;
    KeyValueStore store(net, settings(20, 16));
    net.answers.push_back(c.answer);
    EXPECT_EQ(sim::run_to_completion([&] { return store.grant_lease(4000); }), c.result)
        << c.answer.status << c.answer.body;
    EXPECT_EQ(net.targets.at(0), "/grants");
    EXPECT_EQ(net.bodies.at(0), R"({"ttlMs":4000})");
  }
}

// A process that took an outage for the end of its store lease would join anew, and lose all that it leads.
TEST(KeyValueStore, LeaseHasExpiredOnlyIfTheServiceSaysSo) {
  for (const auto& [status, renewal] :
       {std::pair{200, LeaseRenewal::renewed}, std::pair{404, LeaseRenewal::expired},
        std::pair{503, LeaseRenewal::unknown}, std::pair{429, LeaseRenewal::unknown},
        std::pair{0, LeaseRenewal::unknown}}) {
    ScriptedNetwork net;
    KeyValueStore store(net, settings(20, 16));
    net.answers.push_back({status, ""});
    EXPECT_EQ(sim::run_to_completion([&] { return store.renew_lease(71); }), renewal) << status;
    EXPECT_EQ(net.targets.at(0), "/grants/71/extend");
  }
}

// A round once made transactions larger than the budget could ever grant, and nothing was placed any more.
TEST(WriteBudget, LargestTransactionCanBeSpent) {
  for (const double rps : {5.0, 20.0, 50.0}) {
    ScriptedNetwork net;
    KeyValueStore store(net, settings(rps, 16));
    EXPECT_LE(store.max_writes(), 16u);
    EXPECT_TRUE(store.spend(static_cast<int>(store.max_writes()), KeyValueStore::For::records)) << rps;
  }
}

// Five controllers, two of them leaders: together they ask for little more than the service grants, the
// leaders can write a round's shards at once, and records never take what a submission needs.
TEST(WriteBudget, IsSharedByWhoLeadsPartitions) {
  for (const double rps : {20.0, 50.0}) {
    ScriptedNetwork net;
    KeyValueStore leader(net, settings(rps, 16)), other(net, settings(rps, 16));
    leader.use_share_of_writes(1.0 / 2);
    other.use_share_of_writes(0.25 / 3);
    EXPECT_TRUE(leader.spend(6, KeyValueStore::For::records)) << rps;
    while (leader.spend(1, KeyValueStore::For::records)) continue;
    EXPECT_TRUE(leader.spend(2, KeyValueStore::For::users)) << rps;
    int n = 0;
    while (other.spend(1, KeyValueStore::For::users)) ++n;
    EXPECT_GE(n, 4) << "submissions that come together";
    EXPECT_LE(n, rps / 4);
  }
}

TEST(RateLimiter, KeepsTheReserveAndRefills) {
  const auto t0 = core::TimePoint(core::secs(100));
  RateLimiter b(10, 10, t0);
  EXPECT_FALSE(b.take(9, 0.2, t0));
  EXPECT_TRUE(b.take(8, 0.2, t0));
  EXPECT_FALSE(b.take(1, 0.2, t0));
  EXPECT_TRUE(b.take(2, 0, t0));  // what is reserved serves renewals
  EXPECT_TRUE(b.take(5, 0, t0 + core::secs(0.5)));
  b.refused(t0 + core::secs(5));
  EXPECT_FALSE(b.take(1, 0, t0 + core::secs(5)));
}

}  // namespace
}  // namespace finchrun::state
