// Client of the state service. All answers are typed; an answer that does not parse counts as no answer.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "http/transport.hpp"
#include "state/budget.hpp"

namespace finchrun::state {

namespace asio = boost::asio;
namespace json = boost::json;

struct Condition {
  std::string key;
  std::uint64_t stamp = 0;  // 0: the key does not exist
};
struct Change {
  std::string key;
  std::optional<json::value> value;  // nothing: delete
  std::optional<std::uint64_t> hold = std::nullopt;
};
struct Txn {
  std::vector<Condition> when;
  std::vector<Change> then;
};

enum class Outcome {
  done,       // applied
  conflict,   // a condition failed, nothing applied
  no_hold,    // the hold has ended, nothing applied
  refused,    // not executed: over a limit, or an outage
  too_large,  // not sent: a value or the transaction is over the service's limits
  malformed,  // not executed: a mistake of ours
  unknown,    // no answer: might be applied, now or later
};
struct Committed {
  Outcome outcome = Outcome::unknown;
  std::uint64_t epoch = 0;
  std::vector<std::string> failed;
};

struct Event {
  std::string key;
  std::optional<json::value> value;
  std::uint64_t stamp = 0;
};
struct Changes {
  enum class Kind { ok, too_old, failed } kind = Kind::failed;
  std::uint64_t epoch = 0;
  std::vector<Event> events;
};
struct Page {
  bool ok = false;
  bool more = false;
  std::uint64_t epoch = 0;
  std::vector<Event> items;
};

class Store {
 public:
  // `detour`: another way to the service, for when it refuses this controller alone.
  Store(http::Network& network, const config::Settings& s, std::unique_ptr<http::Transport> detour = nullptr);

  asio::awaitable<Committed> commit(Txn txn);
  // Every change after `from`; the answer is at least as new as the moment of the call.
  asio::awaitable<Changes> changes(std::uint64_t from);
  asio::awaitable<Page> list(std::string after, int limit);
  asio::awaitable<std::optional<std::uint64_t>> grant(int ttl_ms);
  // Status of the renewal: 200 renewed, 404 the hold has ended, 0 or 503 unknown.
  asio::awaitable<int> extend(std::uint64_t hold);
  // Another controller's request, sent on as it is; never by our own detour.
  asio::awaitable<http::Answer> forward(http::Verb verb, std::string target, std::string body);
  // Room for `writes` changes now? Spends it. Records leave some of each burst to what users wait for.
  enum class For { users, records };
  bool spend(int writes, For what);
  // Most changes that one transaction may hold.
  [[nodiscard]] std::size_t most_changes() const { return limits_.most_changes(); }
  // Owners write most: of the changes that all controllers may make together, this one takes so much.
  void use_share_of_writes(double share);

 private:
  void note_oversized(const Txn& txn, const std::string& key, std::size_t bytes);
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body, double reserve);
  asio::awaitable<http::Answer> go(http::Transport& direct, http::Verb verb, std::string target,
                                   std::string body);

  std::unique_ptr<http::Transport> client_;
  std::unique_ptr<http::Transport> renewals_;  // own connection: a renewal never waits behind a large answer
  std::unique_ptr<http::Transport> detour_;
  core::TimePoint refused_at_{};  // when the service last answered 503 to us
  config::StateLimits limits_;
  Budget requests_;
  Budget writes_;
  std::unordered_map<std::string, std::size_t> oversized_;  // by key: the size last logged
};

}  // namespace finchrun::state
