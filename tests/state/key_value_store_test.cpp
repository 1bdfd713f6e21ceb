#include "state/key_value_store.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>

namespace finchrun::state {
namespace {

// Answers with what the test has prepared, and keeps what it was asked.
struct Scripted : http::Network {
  struct Line : http::Transport {
    explicit Line(Scripted& s) : script(s) {}
    asio::awaitable<http::Answer> call(http::Verb, std::string target, std::string body,
                                       std::chrono::milliseconds) override {
      script.asked.push_back(std::move(target));
      script.bodies.push_back(std::move(body));
      if (script.answers.empty()) co_return http::Answer{};
      auto a = script.answers.front();
      script.answers.pop_front();
      co_return a;
    }
    Scripted& script;
  };
  std::unique_ptr<http::Transport> connect(const config::Endpoint&, std::size_t) override {
    return std::make_unique<Line>(*this);
  }
  std::deque<http::Answer> answers;
  std::vector<std::string> asked, bodies;
};

template <class F>
auto run(F&& f) {
  asio::io_context io;
  using T = typename decltype(f())::value_type;
  std::optional<T> out;
  asio::co_spawn(
      io, [&]() -> asio::awaitable<void> { out = co_await f(); }, asio::detached);
  io.run();
  return *out;
}

config::Settings settings(double write_rps, int txn_ops) {
  config::Settings s;
  s.nodes = 3;
  s.state_limits.writes_per_s = write_rps;
  s.state_limits.transaction_writes = txn_ops;
  return s;
}

struct CommitCase {
  int status;
  const char* body;
  CommitStatus outcome;
};
class Commit : public testing::TestWithParam<CommitCase> {};
TEST_P(Commit, AnswerMeans) {
  Scripted net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({GetParam().status, GetParam().body});
  const auto result = run([&] { return store.commit(Transaction{}); });
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
    Scripted net;
    auto s = settings(20, 5);
    s.state_limits.value_kb = 2;
    KeyValueStore store(net, s);
    net.answers.push_back({200, R"({"epoch":432})"});
    Transaction txn;
    for (std::size_t i = 0; i < c.changes; ++i)
      txn.writes.push_back({"a/" + std::to_string(i), json::value(std::string(c.bytes, 'x'))});
    EXPECT_EQ(run([&] { return store.commit(std::move(txn)); }).outcome, c.outcome)
        << c.changes << " " << c.bytes;
    EXPECT_EQ(net.asked.size(), c.outcome == CommitStatus::done ? 1u : 0u);
  }
}

TEST(KeyValueStore, WritesATransactionAsTheProtocolSays) {
  Scripted net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({200, R"({"epoch":432})"});
  Transaction txn;
  txn.compares.push_back({"a/b", 0});
  txn.writes.push_back({"a/b", json::object{{"x", 1}}, 7});
  txn.writes.push_back({"c/\"d", std::nullopt});
  run([&] { return store.commit(std::move(txn)); });
  ASSERT_EQ(net.bodies.size(), 1u);
  EXPECT_EQ(json::parse(net.bodies[0]), json::parse(R"({"when":[{"k":"a/b","stamp":0}],
      "then":[{"set":"a/b","data":{"x":1},"hold":7},{"delete":"c/\"d"}]})"));
}

struct ChangesCase {
  int status;
  const char* body;
  ChangesResult::Kind kind;
  std::size_t events;
};
class ReadChanges : public testing::TestWithParam<ChangesCase> {};
TEST_P(ReadChanges, AnswerMeans) {
  Scripted net;
  KeyValueStore store(net, settings(20, 16));
  net.answers.push_back({GetParam().status, GetParam().body});
  const auto result = run([&] { return store.changes(7); });
  EXPECT_EQ(result.kind, GetParam().kind);
  EXPECT_EQ(result.events.size(), GetParam().events);
}
INSTANTIATE_TEST_SUITE_P(
    Table, ReadChanges,
    testing::Values(
        ChangesCase{
            200,
            R"({"epoch":433,"events":[{"set":"c/9","data":{},"stamp":433},{"delete":"c/d","stamp":432}]})",
            ChangesResult::Kind::ok, 2},
        ChangesCase{200, R"({"epoch":433,"events":[]})", ChangesResult::Kind::ok, 0},
        ChangesCase{410, "", ChangesResult::Kind::too_old, 0},
        ChangesCase{503, "", ChangesResult::Kind::failed, 0},
        ChangesCase{200, R"({"epoch":433,"events":[{"set":3}]})", ChangesResult::Kind::failed, 0},
        ChangesCase{0, "", ChangesResult::Kind::failed, 0}));

// A round once made transactions larger than the budget could ever grant, and nothing was placed any more.
TEST(WriteBudget, LargestTransactionCanBeSpent) {
  for (const double rps : {5.0, 20.0, 50.0}) {
    Scripted net;
    KeyValueStore store(net, settings(rps, 16));
    EXPECT_LE(store.max_writes(), 16u);
    EXPECT_TRUE(store.spend(static_cast<int>(store.max_writes()), KeyValueStore::For::records)) << rps;
  }
}

// Five controllers, two of them leaders: together they ask for little more than the service grants, the
// leaders can write a round's shards at once, and records never take what a submission needs.
TEST(WriteBudget, IsSharedByWhoOwnsParts) {
  for (const double rps : {20.0, 50.0}) {
    Scripted net;
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
