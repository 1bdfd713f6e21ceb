// Client of the key-value store. All answers are typed; an answer that does not parse counts as no answer.
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

/// Sends requests within this controller's part of the service's rate limits, and by way of a peer when the
/// service refuses this controller alone.
///
/// Certain are: a transaction that is `done`, and every status but `unknown` that says it was not applied; a
/// store lease that is granted, or `expired`. All else may still have happened: only the records, once read
/// back, say whether.
class KeyValueStore {
 public:
  /// `peer_relay`: another way to the service, for when it refuses this controller alone.
  KeyValueStore(http::Network& network, const config::Settings& settings,
                std::unique_ptr<http::Transport> peer_relay = nullptr);

  /// Applies all of the transaction or nothing. With `unknown`, it may be applied at any later time: the
  /// caller reads back, or writes a key that it compares with (see `keys::fence`). The caller has taken its
  /// writes from the budget before (`spend`).
  asio::awaitable<CommitResult> commit(Transaction transaction);
  /// Every change after `from`; the answer is at least as new as the moment of the call.
  asio::awaitable<Result<Changes>> changes(std::uint64_t from);
  /// At most `limit` keys with their values, in the order of the keys: those after `after`, or the first ones
  /// if it is empty. Pages are read at different revisions.
  asio::awaitable<Result<ListPage>> list(std::string after, int limit);
  /// A new store lease, which ends `ttl_ms` after its last renewal. Its number is never given out again.
  /// After an error there may be one that nobody knows of: it ends by itself.
  asio::awaitable<Result<std::uint64_t>> grant_lease(int ttl_ms);
  asio::awaitable<LeaseRenewal> renew_lease(std::uint64_t store_lease);
  /// Another controller's request, sent on as it is; never by our own peer relay. Status 429 if there is no
  /// room for it now, 0 if no answer came.
  asio::awaitable<http::ClientResponse> forward(http::Verb verb, std::string target, std::string body);

  /// What a write is for: records leave some of each burst to what users wait for.
  enum class For { users, records };
  /// True if there is room for so many writes now; they count as made then.
  bool spend(int writes, For what);
  /// Most writes that one transaction may hold.
  [[nodiscard]] std::size_t max_writes() const { return limits_.max_writes(); }
  /// Leaders write most: of the writes that all controllers may make together, this one takes so much (0..1).
  void use_share_of_writes(double share);

 private:
  asio::awaitable<http::ClientResponse> call(http::Verb verb, std::string target, std::string body,
                                             double reserve);
  asio::awaitable<http::ClientResponse> call_without_waiting(std::string target, std::string body);
  asio::awaitable<http::ClientResponse> call_or_relay(http::Transport& direct, http::Verb verb,
                                                      std::string target, std::string body);
  void log_oversized(const Transaction& transaction, const CommitBody& body);

  std::unique_ptr<http::Transport> client_;
  std::unique_ptr<http::Transport> renewals_;  // own connection: a renewal never waits behind a large answer
  std::unique_ptr<http::Transport> peer_relay_;
  core::TimePoint refused_at_{};  // when the service last didn't execute a request of ours
  config::StoreLimits limits_;
  RateLimiter requests_;
  RateLimiter writes_;
  std::unordered_map<std::string, std::size_t> oversized_;  // by key: the size last logged
};

}  // namespace finchrun::state
