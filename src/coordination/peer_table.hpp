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

/// One entry for each other controller, in the order of the settings.
class PeerTable {
 public:
  explicit PeerTable(std::vector<std::unique_ptr<peer::Link>> links)
      : links_(std::move(links)), heard_at_(links_.size()), state_seen_at_(links_.size()) {}

  [[nodiscard]] std::size_t size() const { return links_.size(); }
  [[nodiscard]] bool empty() const { return links_.empty(); }
  [[nodiscard]] peer::Link& link(std::size_t peer) { return *links_.at(peer); }
  /// The peer has answered; its view of the key-value store is at least as new as `state_seen_at`.
  void heard(std::size_t peer, core::TimePoint now, core::TimePoint state_seen_at);
  /// A peer whose view of the key-value store is fresh, so that it can relay requests to the store.
  [[nodiscard]] std::optional<std::size_t> in_touch_with_store() const;
  /// Some peer has answered within the last `seconds`.
  [[nodiscard]] bool any_heard_within(double seconds, core::TimePoint now) const;

 private:
  std::vector<std::unique_ptr<peer::Link>> links_;
  std::vector<core::TimePoint> heard_at_;
  std::vector<core::TimePoint> state_seen_at_;
};

/// Sends requests to the key-value store through whichever peer has a fresh view of it: for a controller that
/// the store refuses alone. Answers 503 when there is no such peer.
class PeerRelay : public http::Transport {
 public:
  explicit PeerRelay(PeerTable& peers) : peers_(peers) {}
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body,
                                     std::chrono::milliseconds limit) override;

 private:
  PeerTable& peers_;
};

/// The response in a peer's frame; status 0 without one.
http::Answer read_relayed_response(const std::optional<std::string>& frame);

}  // namespace finchrun::coordination
