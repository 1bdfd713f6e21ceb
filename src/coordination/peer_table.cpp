#include "coordination/peer_table.hpp"

#include "http/status.hpp"
#include "peer/messages.hpp"

namespace finchrun::coordination {
namespace {

constexpr double kMaxStateAgeS = 2.0;  // a peer with an older view may have lost the store as well

// Created outside the coroutine: GCC 12 destroys aggregate temporaries of a co_await twice.
std::string store_request_frame(bool post, const std::string& target, const std::string& body) {
  return peer::encode(peer::StoreRequest{post, target, body});
}

}  // namespace

void PeerTable::record_answer(std::size_t peer, core::TimePoint now, core::TimePoint state_seen_at) {
  answered_at_.at(peer) = now;
  state_seen_at_.at(peer) = std::max(state_seen_at_.at(peer), state_seen_at);
}

std::optional<std::size_t> PeerTable::find_peer_with_fresh_state() const {
  const auto now = core::SteadyClock::now();
  for (std::size_t peer = 0; peer < links_.size(); ++peer)
    if (core::seconds_between(state_seen_at_[peer], now) < kMaxStateAgeS) return peer;
  return std::nullopt;
}

bool PeerTable::any_answered_within(double seconds, core::TimePoint now) const {
  return std::any_of(answered_at_.begin(), answered_at_.end(), [&](core::TimePoint answered_at) {
    return core::seconds_between(answered_at, now) < seconds;
  });
}

asio::awaitable<http::ClientResponse> PeerRelay::call(http::Verb verb, std::string target, std::string body,
                                                      std::chrono::milliseconds timeout) {
  const auto peer = peers_.find_peer_with_fresh_state();
  if (!peer) {
    http::ClientResponse not_sent;
    not_sent.status = http::status::kServiceUnavailable;
    co_return not_sent;
  }
  std::string request = store_request_frame(verb == http::Verb::post, target, body);
  const auto frame = co_await peers_.link(*peer).call(std::move(request), timeout);
  co_return read_relayed_response(frame);
}

http::ClientResponse read_relayed_response(const std::optional<std::string>& frame) {
  const auto reply = peer::decode_answer<peer::Reply>(frame);
  return reply ? http::ClientResponse{reply->status, reply->body} : http::ClientResponse{};
}

}  // namespace finchrun::coordination
