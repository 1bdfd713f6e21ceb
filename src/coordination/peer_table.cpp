#include "coordination/peer_table.hpp"

#include "http/status.hpp"
#include "peer/messages.hpp"

namespace finchrun::coordination {
namespace {

constexpr double kFreshStateS = 2.0;  // a peer whose view is older may have lost the store as well

// Made outside the coroutine: GCC 12 destroys aggregates twice that are temporaries of a co_await.
std::string store_request_frame(bool post, const std::string& target, const std::string& body) {
  return peer::encode(peer::StoreRequest{post, target, body});
}

}  // namespace

void PeerTable::heard(std::size_t peer, core::TimePoint now, core::TimePoint state_seen_at) {
  heard_at_.at(peer) = now;
  state_seen_at_.at(peer) = std::max(state_seen_at_.at(peer), state_seen_at);
}

std::optional<std::size_t> PeerTable::in_touch_with_store() const {
  const auto now = core::Steady::now();
  for (std::size_t peer = 0; peer < links_.size(); ++peer)
    if (core::since(state_seen_at_[peer], now) < kFreshStateS) return peer;
  return std::nullopt;
}

bool PeerTable::any_heard_within(double seconds, core::TimePoint now) const {
  return std::any_of(heard_at_.begin(), heard_at_.end(),
                     [&](core::TimePoint heard) { return core::since(heard, now) < seconds; });
}

asio::awaitable<http::ClientResponse> PeerRelay::call(http::Verb verb, std::string target, std::string body,
                                                      std::chrono::milliseconds limit) {
  const auto peer = peers_.in_touch_with_store();
  if (!peer) {
    http::ClientResponse not_sent;
    not_sent.status = http::status::kServiceUnavailable;
    co_return not_sent;
  }
  std::string request = store_request_frame(verb == http::Verb::post, target, body);
  const auto frame = co_await peers_.link(*peer).call(std::move(request), limit);
  co_return read_relayed_response(frame);
}

http::ClientResponse read_relayed_response(const std::optional<std::string>& frame) {
  const auto reply = peer::decode_answer<peer::Reply>(frame);
  return reply ? http::ClientResponse{reply->status, reply->body} : http::ClientResponse{};
}

}  // namespace finchrun::coordination
