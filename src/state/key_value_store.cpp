#include "state/key_value_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::state {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 1500ms;
constexpr auto kProbeTimeout = 400ms;  // while refused, the direct way is only probed
constexpr double kRefusedForS = 1;     // after a refusal
constexpr std::size_t kConnections = 6;
constexpr std::size_t kRenewalConnections = 1;

// What each kind of request leaves of a burst, as a share of it, to those that matter more.
constexpr double kForwardReserve = 0.2;
constexpr double kCommitReserve = 0.15;
constexpr double kReadReserve = 0.1;
constexpr double kRecordsWriteReserve = 0.25;
// Lease requests may overdraw the budget: they never wait.
constexpr double kOverdraft = -10;

constexpr double kRequestBurstS = 0.7;  // of the rate
constexpr double kWriteBurstS = 1;

// A controller may use somewhat more than an equal part, since the others seldom use all of theirs.
double rate_of_one(double rate_of_all, int controllers) {
  constexpr double kEqualParts = 1.5;
  return rate_of_all * std::min(1.0, kEqualParts / controllers);
}

RateLimiter limiter(double rate_of_all, int controllers, double burst_s) {
  const double rate = rate_of_one(rate_of_all, controllers);
  return {rate, rate * burst_s, core::Steady::now()};
}

}  // namespace

KeyValueStore::KeyValueStore(http::Network& network, const config::Settings& settings,
                             std::unique_ptr<http::Transport> peer_relay)
    : client_(network.connect(settings.store_endpoint, kConnections)),
      renewals_(network.connect(settings.store_endpoint, kRenewalConnections)),
      peer_relay_(std::move(peer_relay)),
      limits_(settings.store_limits),
      requests_(limiter(limits_.requests_per_s, settings.controller_count, kRequestBurstS)),
      writes_(limiter(limits_.writes_per_s, settings.controller_count, kWriteBurstS)) {}

void KeyValueStore::use_share_of_writes(double share) {
  // Submissions that come together, where little else is written; a quarter of what the service grants at
  // most.
  const double least_burst = std::clamp(limits_.writes_per_s / 4, 4.0, 8.0);
  const double rate = limits_.writes_per_s * std::min(1.0, share);
  writes_.resize(rate, std::max(least_burst, rate * kWriteBurstS));
}

bool KeyValueStore::spend(int writes, For what) {
  const double reserve = what == For::records ? kRecordsWriteReserve : 0;
  // More than a burst could never be there: it is let go when all of a burst is.
  const double tokens = std::min<double>(writes, writes_.burst() * (1 - reserve));
  return writes_.take(tokens, reserve, core::Steady::now());
}

// 503 means that the request was not executed, so it may be sent another way. Without any answer that is only
// true of reads; a write might have been applied, and its caller must read it back.
asio::awaitable<http::ClientResponse> KeyValueStore::call_or_relay(http::Transport& direct, http::Verb verb,
                                                                   std::string target, std::string body) {
  const bool read = verb == http::Verb::get;
  const bool refused = core::since(refused_at_, core::Steady::now()) < kRefusedForS;
  auto answer = co_await direct.call(verb, target, body, refused && read ? kProbeTimeout : kTimeout);
  const bool not_executed = answer.status == http::status::kServiceUnavailable ||
                            (answer.status == http::status::kNoAnswer && read);
  if (not_executed) refused_at_ = core::Steady::now();
  if (not_executed && peer_relay_)
    answer = co_await peer_relay_->call(verb, std::move(target), std::move(body), kTimeout);
  co_return answer;
}

asio::awaitable<http::ClientResponse> KeyValueStore::forward(http::Verb verb, std::string target,
                                                             std::string body) {
  if (!requests_.take(1, kForwardReserve, core::Steady::now()))
    co_return http::ClientResponse{http::status::kTooManyRequests, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), kTimeout);
}

asio::awaitable<http::ClientResponse> KeyValueStore::call(http::Verb verb, std::string target,
                                                          std::string body, double reserve) {
  if (!requests_.take(1, reserve, core::Steady::now()))
    co_return http::ClientResponse{http::status::kTooManyRequests, {}};
  http::ClientResponse answer = co_await call_or_relay(*client_, verb, std::move(target), std::move(body));
  if (answer.status == http::status::kTooManyRequests) requests_.refused(core::Steady::now());
  co_return answer;
}

asio::awaitable<http::ClientResponse> KeyValueStore::call_without_waiting(std::string target,
                                                                          std::string body) {
  requests_.take(1, kOverdraft, core::Steady::now());
  co_return co_await call_or_relay(*renewals_, http::Verb::post, std::move(target), std::move(body));
}

// Logged once for each key and size: its owner tries again whenever something about it has changed.
void KeyValueStore::log_oversized(const Transaction& transaction, const CommitBody& body) {
  const bool too_many_writes = body.oversized_key.empty();
  const auto& key = too_many_writes ? transaction.writes.front().key : body.oversized_key;
  const auto size = too_many_writes ? transaction.writes.size() : body.oversized_bytes;
  if (oversized_[key] == size) return;
  constexpr std::size_t kMostKeys = 1000;
  if (oversized_.size() > kMostKeys) oversized_.clear();
  oversized_[key] = size;
  spdlog::error("commit not sent key={} {}={} reason=too_large", key, too_many_writes ? "writes" : "bytes",
                size);
}

asio::awaitable<CommitResult> KeyValueStore::commit(Transaction transaction) {
  auto body = commit_body(transaction, limits_);
  // Sent, it would be answered 400, now or from the moment on at which the announced limits hold.
  if (!body.oversized_key.empty() || transaction.writes.size() > limits_.max_writes()) {
    log_oversized(transaction, body);
    CommitResult not_sent;
    not_sent.outcome = CommitStatus::too_large;
    co_return not_sent;
  }
  const http::ClientResponse answer =
      co_await call(http::Verb::post, "/commit", std::move(body.text), kCommitReserve);
  if (answer.status == http::status::kTooManyRequests) writes_.refused(core::Steady::now());
  auto result = commit_result(answer);
  if (result.outcome == CommitStatus::malformed) spdlog::error("commit malformed reason={}", answer.body);
  co_return result;
}

asio::awaitable<Result<Changes>> KeyValueStore::changes(std::uint64_t from) {
  const http::ClientResponse answer = co_await call(http::Verb::get, changes_target(from), {}, kReadReserve);
  co_return changes_result(answer);
}

asio::awaitable<Result<ListPage>> KeyValueStore::list(std::string after, int limit) {
  const http::ClientResponse answer =
      co_await call(http::Verb::get, list_target(after, limit), {}, kReadReserve);
  co_return list_result(answer);
}

asio::awaitable<Result<std::uint64_t>> KeyValueStore::grant_lease(int ttl_ms) {
  const http::ClientResponse answer = co_await call_without_waiting("/grants", lease_body(ttl_ms));
  co_return lease_result(answer);
}

asio::awaitable<LeaseRenewal> KeyValueStore::renew_lease(std::uint64_t store_lease) {
  const http::ClientResponse answer = co_await call_without_waiting(renewal_target(store_lease), {});
  co_return renewal_result(answer);
}

}  // namespace finchrun::state
