// Links to the other controllers, and when each last answered.
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

/// Links to the other controllers, in the order of the settings' members: a peer has the same index in both.
class PeerTable {
 public:
  explicit PeerTable(std::vector<std::unique_ptr<peer::Link>> links)
      : links_(std::move(links)), answered_at_(links_.size()), state_seen_at_(links_.size()) {}

  [[nodiscard]] std::size_t size() const { return links_.size(); }
  [[nodiscard]] bool empty() const { return links_.empty(); }
  [[nodiscard]] peer::Link& link(std::size_t peer) { return *links_.at(peer); }
  /// Records that the peer answered at `now`, and that its view of the key-value store is at least as new as
  /// `state_seen_at`.
  void record_answer(std::size_t peer, core::TimePoint now, core::TimePoint state_seen_at);
  /// Returns the first peer whose view of the key-value store is less than 2 s old, so that it can relay
  /// requests. The age includes the time since the peer was asked.
  [[nodiscard]] std::optional<std::size_t> find_peer_with_fresh_state() const;
  /// True if some peer has answered within the last `seconds`.
  [[nodiscard]] bool any_answered_within(double seconds, core::TimePoint now) const;

 private:
  std::vector<std::unique_ptr<peer::Link>> links_;
  std::vector<core::TimePoint> answered_at_;
  std::vector<core::TimePoint> state_seen_at_;
};

/// Sends requests to the key-value store through a peer with a fresh view of it, while the store refuses
/// this controller alone.
///
/// A relayed response is as conclusive as a direct one: the peer executes the request after receiving it,
/// and returns the store's status and body unchanged (or 429 if its own request budget is used up). So a
/// commit is done, and a read of the store's changes is as new as the moment when this controller sent it.
/// Without a response (status 0) the request might have been executed, or might still be.
///
/// Without a peer that has a fresh view of the store, the answer is 503, as in an outage: the request was
/// certainly not executed, and may be sent again. Status 0 would leave that open, and a placement that may be
/// applied late blocks its partition.
class PeerRelay : public http::Transport {
 public:
  explicit PeerRelay(PeerTable& peers) : peers_(peers) {}
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body,
                                             std::chrono::milliseconds timeout) override;

 private:
  PeerTable& peers_;
};

/// Returns the HTTP response in a peer's answer; status 0 if no answer came or it can't be read.
http::ClientResponse read_relayed_response(const std::optional<std::string>& frame);

}  // namespace finchrun::coordination
