// Client of the key-value store. All answers are typed; an answer that does not parse counts as no answer.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "http/transport.hpp"
#include "state/rate_limiter.hpp"

namespace finchrun::state {

namespace asio = boost::asio;
namespace json = boost::json;

struct Compare {
  std::string key;
  std::uint64_t revision = 0;  // 0: the key does not exist
};
struct Write {
  std::string key;
  std::optional<json::value> value;  // nothing: delete
  std::optional<std::uint64_t> store_lease = std::nullopt;
};
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

enum class CommitStatus {
  done,           // applied
  conflict,       // a condition failed, nothing applied
  lease_expired,  // the lease has ended, nothing applied
  refused,        // not executed: over a limit, or an outage
  too_large,      // not sent: a value or the transaction is over the service's limits
  malformed,      // not executed: a mistake of ours
  unknown,        // no answer: might be applied, now or later
};
struct CommitResult {
  CommitStatus outcome = CommitStatus::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
};

struct KeyUpdate {
  std::string key;
  std::optional<json::value> value;
  std::uint64_t revision = 0;
};
struct ChangesResult {
  enum class Kind { ok, too_old, failed } kind = Kind::failed;
  std::uint64_t revision = 0;
  std::vector<KeyUpdate> events;
};
struct Page {
  bool ok = false;
  bool more = false;
  std::uint64_t revision = 0;
  std::vector<KeyUpdate> items;
};

class KeyValueStore {
 public:
  // `peer relay`: another way to the service, for when it refuses this controller alone.
  KeyValueStore(http::Network& network, const config::Settings& s,
                std::unique_ptr<http::Transport> peer_relay = nullptr);

  asio::awaitable<CommitResult> commit(Transaction txn);
  // Every change after `from`; the answer is at least as new as the moment of the call.
  asio::awaitable<ChangesResult> changes(std::uint64_t from);
  asio::awaitable<Page> list(std::string after, int limit);
  asio::awaitable<std::optional<std::uint64_t>> grant_lease(int ttl_ms);
  // Status of the renewal: 200 renewed, 404 the lease has ended, 0 or 503 unknown.
  asio::awaitable<int> renew_lease(std::uint64_t store_lease);
  // Another controller's request, sent on as it is; never by our own peer relay.
  asio::awaitable<http::Answer> forward(http::Verb verb, std::string target, std::string body);
  // Room for `writes` changes now? Spends it. Records leave some of each burst to what users wait for.
  enum class For { users, records };
  bool spend(int writes, For what);
  // Most changes that one transaction may hold.
  [[nodiscard]] std::size_t max_writes() const { return limits_.max_writes(); }
  // Leaders write most: of the changes that all controllers may make together, this one takes so much.
  void use_share_of_writes(double share);

 private:
  void note_oversized(const Transaction& txn, const std::string& key, std::size_t bytes);
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body, double reserve);
  asio::awaitable<http::Answer> go(http::Transport& direct, http::Verb verb, std::string target,
                                   std::string body);

  std::unique_ptr<http::Transport> client_;
  std::unique_ptr<http::Transport> renewals_;  // own connection: a renewal never waits behind a large answer
  std::unique_ptr<http::Transport> peer_relay_;
  core::TimePoint refused_at_{};  // when the service last answered 503 to us
  config::StateLimits limits_;
  RateLimiter requests_;
  RateLimiter writes_;
  std::unordered_map<std::string, std::size_t> oversized_;  // by key: the size last logged
};

}  // namespace finchrun::state
