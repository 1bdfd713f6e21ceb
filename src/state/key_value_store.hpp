// Client of the key-value store. An answer that does not parse counts as no answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "http/transport.hpp"
#include "state/rate_limiter.hpp"
#include "state/store_protocol.hpp"
#include "state/transaction.hpp"

namespace finchrun::state {

namespace asio = boost::asio;

/// Sends requests within this controller's part of the store's rate limits, and through a peer while the
/// store refuses this controller.
///
/// The outcome is certain if a transaction has any status but `unknown`, or if a store lease is granted or
/// `expired`. Any other write may still take effect: only the records, read back, show whether it did.
class KeyValueStore {
 public:
  /// `peer_relay`: transport through a peer, used while the store refuses this controller.
  KeyValueStore(http::Network& network, const config::Settings& settings,
                std::unique_ptr<http::Transport> peer_relay = nullptr);

  /// Applies the whole transaction or none of it. After `unknown`, it may be applied at any later time: the
  /// caller reads the records back, or writes a key that the transaction compares (see `keys::fence`). The
  /// caller has to take the writes from the write budget first (`try_spend_writes`).
  asio::awaitable<CommitResult> commit(Transaction transaction);
  /// Returns every change after `from`; the answer is at least as new as the moment of the call.
  asio::awaitable<Result<Changes>> changes(std::uint64_t from);
  /// Returns at most `limit` keys with their values, in key order: those after `after`, or the first ones if
  /// it is empty. Pages are read at different revisions.
  asio::awaitable<Result<ListPage>> list(std::string after, int limit);
  /// Requests a store lease, which expires `ttl_ms` after its last renewal. Lease numbers are never reused.
  /// After an error an unused lease may exist, which expires by itself.
  asio::awaitable<Result<std::uint64_t>> grant_lease(int ttl_ms);
  asio::awaitable<LeaseRenewal> renew_lease(std::uint64_t store_lease);
  /// Forwards another controller's request unchanged, and never through a peer. Status 429 if the rate
  /// budget is used up, 0 if no answer came.
  asio::awaitable<http::ClientResponse> forward(http::Verb verb, std::string target, std::string body);

  /// Purpose of a write. Records leave a part of each burst to requests that users wait for.
  enum class WritePurpose { user_requests, records };
  /// Takes the writes from the write budget; false if it does not have that many now.
  bool try_spend_writes(int writes, WritePurpose purpose);
  [[nodiscard]] std::size_t max_writes() const { return limits_.max_writes(); }
  /// Sets this controller's share (0..1) of all controllers' writes. Leaders write the most.
  void set_write_share(double share);

 private:
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body,
                                             double reserve);
  asio::awaitable<http::ClientResponse> call_unthrottled(std::string target, std::string body);
  asio::awaitable<http::ClientResponse> call_or_relay(http::Transport& direct, http::Verb verb,
                                                      std::string target, std::string body);
  asio::awaitable<CommitResult> commit_within_limits(const Transaction& transaction);
  void log_excess(const std::string& key, const LimitExcess& excess);

  std::unique_ptr<http::Transport> client_;
  std::unique_ptr<http::Transport> lease_client_;  // separate: a renewal never waits behind a large answer
  std::unique_ptr<http::Transport> peer_relay_;
  core::TimePoint refused_at_{};  // when the store last did not execute a request
  config::StoreLimits limits_;
  RateLimiter request_limiter_;
  RateLimiter write_limiter_;
  std::unordered_map<std::string, LimitExcess> logged_excesses_;  // by key: the last one logged
};

}  // namespace finchrun::state
