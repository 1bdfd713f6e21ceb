// The other controllers: the links to them, and how lately each was in touch.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "http/transport.hpp"
#include "peer/link.hpp"

namespace finchrun::coordination {

namespace asio = boost::asio;

/// The links to the other controllers, in the order of the settings' members: a peer's index here is its
/// index there.
class PeerTable {
 public:
  explicit PeerTable(std::vector<std::unique_ptr<peer::Link>> links)
      : links_(std::move(links)), heard_at_(links_.size()), state_seen_at_(links_.size()) {}

  [[nodiscard]] std::size_t size() const { return links_.size(); }
  [[nodiscard]] bool empty() const { return links_.empty(); }
  [[nodiscard]] peer::Link& link(std::size_t peer) { return *links_.at(peer); }
  /// The peer has answered at `now`; its view of the key-value store is at least as new as `state_seen_at`.
  void heard(std::size_t peer, core::TimePoint now, core::TimePoint state_seen_at);
  /// The first peer whose newest known view of the key-value store is less than 2 s old, so that it can relay
  /// requests to the store. What it said of itself ages here: it is judged by when its answer was asked for.
  [[nodiscard]] std::optional<std::size_t> in_touch_with_store() const;
  /// Some peer has answered within the last `seconds`.
  [[nodiscard]] bool any_heard_within(double seconds, core::TimePoint now) const;

 private:
  std::vector<std::unique_ptr<peer::Link>> links_;
  std::vector<core::TimePoint> heard_at_;
  std::vector<core::TimePoint> state_seen_at_;
};

/// Sends requests to the key-value store through whichever peer has a fresh view of it: for a controller that
/// the store refuses alone.
///
/// A relayed response proves what a direct one proves: the peer carries the request out after it was sent
/// here, and sends on the store's status and body as they are (or 429, when its own budget of requests is
/// spent). So a commit is done, and a read of the store's changes is as new as the moment when its request
/// left this controller. Without a response (status 0) nothing is proved: the request might have been carried
/// out, or might still be.
///
/// Without a peer in touch with the store the answer is 503, the store's own word for an outage: the request
/// was certainly not carried out, and may be sent again. Status 0 would leave that open, and a placement that
/// may be applied late blocks its partition.
class PeerRelay : public http::Transport {
 public:
  explicit PeerRelay(PeerTable& peers) : peers_(peers) {}
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body,
                                             std::chrono::milliseconds limit) override;

 private:
  PeerTable& peers_;
};

/// The HTTP response in a peer's answer; status 0 if none came, or one that can't be read.
http::ClientResponse read_relayed_response(const std::optional<std::string>& frame);

}  // namespace finchrun::coordination
