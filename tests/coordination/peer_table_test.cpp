#include "coordination/peer_table.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "peer/messages.hpp"

namespace finchrun::coordination {
namespace {

using std::chrono::milliseconds;

core::TimePoint at(double seconds) { return core::TimePoint(core::to_duration(seconds)); }

// Answers every frame with `answer`, and stores the last frame sent.
struct FixedLink : peer::Link {
  asio::awaitable<std::optional<std::string>> call(std::string frame, milliseconds) override {
    sent = std::move(frame);
    co_return answer;
  }
  std::optional<std::string> sent, answer;
};

class PeerTableTest : public testing::Test {
 protected:
  PeerTableTest() { core::SteadyClock::simulate(at(1000)); }
  ~PeerTableTest() override { core::SteadyClock::simulate(std::nullopt); }

  static std::vector<std::unique_ptr<peer::Link>> make_links(std::vector<FixedLink*>& fixed) {
    std::vector<std::unique_ptr<peer::Link>> links;
    for (int peer = 0; peer < 2; ++peer) {
      auto link = std::make_unique<FixedLink>();
      fixed.push_back(link.get());
      links.push_back(std::move(link));
    }
    return links;
  }
  http::ClientResponse relay() {
    asio::io_context io{1};
    PeerRelay relay(peers);
    http::ClientResponse result{-1, "not run"};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          result = co_await relay.call(http::Verb::post, "/commit", "{}", milliseconds(1000));
        },
        asio::detached);
    io.run();
    return result;
  }

  std::vector<FixedLink*> links;
  PeerTable peers{make_links(links)};
};

TEST_F(PeerTableTest, RelaysThroughPeerWithFreshView) {
  peers.record_answer(0, at(1000), at(997.9));
  peers.record_answer(1, at(1000), at(998.1));
  links[1]->answer = peer::encode(peer::Reply{200, "done"});
  const auto response = relay();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "done");
  EXPECT_FALSE(links[0]->sent);
  ASSERT_TRUE(links[1]->sent);
  EXPECT_EQ(*links[1]->sent, peer::encode(peer::StoreRequest{true, "/commit", "{}"}));
}

// 503 says that the request was certainly not executed; status 0 would leave that open.
TEST_F(PeerTableTest, AnswersUnavailableWithoutSendingIfNoPeerHasFreshView) {
  peers.record_answer(0, at(1000), at(997.9));
  EXPECT_EQ(relay().status, 503);
  EXPECT_FALSE(links[0]->sent);
  EXPECT_FALSE(links[1]->sent);
}

TEST_F(PeerTableTest, LostAnswerHasStatusZero) {
  peers.record_answer(0, at(1000), at(1000));
  EXPECT_EQ(relay().status, 0);
  EXPECT_TRUE(links[0]->sent);
}

TEST_F(PeerTableTest, ViewAgesUntilPeerAnswersAgain) {
  peers.record_answer(1, at(1000), at(1000));
  core::SteadyClock::simulate(at(1001.9));
  EXPECT_EQ(peers.find_peer_with_fresh_state(), 1u);
  core::SteadyClock::simulate(at(1002.1));
  EXPECT_EQ(peers.find_peer_with_fresh_state(), std::nullopt);
}

// Answers may arrive in a different order than their requests were sent.
TEST_F(PeerTableTest, OlderViewDoesNotReplaceNewerOne) {
  peers.record_answer(0, at(1000), at(999.5));
  peers.record_answer(0, at(1000), at(990));
  EXPECT_EQ(peers.find_peer_with_fresh_state(), 0u);
}

TEST_F(PeerTableTest, PeerWithStaleViewCountsAsAnswering) {
  EXPECT_FALSE(peers.any_answered_within(3, at(1000)));
  peers.record_answer(1, at(1000), at(900));
  EXPECT_TRUE(peers.any_answered_within(3, at(1002.9)));
  EXPECT_FALSE(peers.any_answered_within(3, at(1003.1)));
  EXPECT_EQ(peers.find_peer_with_fresh_state(), std::nullopt);
}

}  // namespace
}  // namespace finchrun::coordination
