#include "state/key_value_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "metrics/metrics.hpp"

namespace finchrun::state {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 1500ms;
constexpr auto kProbeTimeout = 400ms;    // direct reads are only probes while the store counts as refusing
constexpr double kRefusalDurationS = 1;  // the store counts as refusing for this long after a refusal
constexpr std::size_t kConnections = 6;
constexpr std::size_t kRenewalConnections = 1;

// Share of a burst that each kind of request leaves to more important ones.
constexpr double kForwardReserve = 0.2;
constexpr double kCommitReserve = 0.15;
constexpr double kReadReserve = 0.1;
constexpr double kRecordWriteReserve = 0.25;
// Reserve of lease requests: they never wait, and may overdraw the budget by ten bursts.
constexpr double kLeaseReserve = -10;

constexpr double kRequestBurstS = 0.7;  // burst, in seconds of the rate
constexpr double kWriteBurstS = 1;

// A controller may use more than an equal share, since the others seldom use all of theirs.
double controller_rate(double total_rate, int controllers) {
  constexpr double kMaxEqualShares = 1.5;
  return total_rate * std::min(1.0, kMaxEqualShares / controllers);
}

RateLimiter make_rate_limiter(double total_rate, int controllers, double burst_s) {
  const double rate = controller_rate(total_rate, controllers);
  return {rate, rate * burst_s, core::SteadyClock::now()};
}

// Returns the key that names the transaction in log lines: that of its largest value, else the first one.
std::string named_key(const Transaction& transaction, const CommitBody& body) {
  if (!body.largest_key.empty()) return body.largest_key;
  if (!transaction.writes.empty()) return transaction.writes.front().key;
  return transaction.compares.empty() ? "-" : transaction.compares.front().key;
}

}  // namespace

KeyValueStore::KeyValueStore(http::Network& network, const config::Settings& settings,
                             std::unique_ptr<http::Transport> peer_relay)
    : client_(network.connect(settings.store_endpoint, kConnections)),
      lease_client_(network.connect(settings.store_endpoint, kRenewalConnections)),
      peer_relay_(std::move(peer_relay)),
      limits_(settings.store_limits),
      request_limiter_(make_rate_limiter(limits_.requests_per_s, settings.controller_count, kRequestBurstS)),
      write_limiter_(make_rate_limiter(limits_.writes_per_s, settings.controller_count, kWriteBurstS)) {}

void KeyValueStore::set_write_share(double share) {
  // A minimum burst lets a controller that writes little accept submissions that arrive together. It is at
  // most a quarter of what the store grants.
  const double min_burst = std::clamp(limits_.writes_per_s / 4, 4.0, 8.0);
  const double rate = limits_.writes_per_s * std::min(1.0, share);
  write_limiter_.set_rate(rate, std::max(min_burst, rate * kWriteBurstS));
}

bool KeyValueStore::try_spend_writes(int writes, WritePurpose purpose) {
  const double reserve = purpose == WritePurpose::records ? kRecordWriteReserve : 0;
  // A request larger than a burst could never be granted: it is granted when the whole burst is available.
  const double tokens = std::min<double>(writes, write_limiter_.burst() * (1 - reserve));
  return write_limiter_.try_take(tokens, reserve, core::SteadyClock::now());
}

// After 503 the request was not executed and may be sent through a peer. Without an answer that holds only
// for reads: a write might have been applied, and its caller must read it back.
asio::awaitable<http::ClientResponse> KeyValueStore::call_or_relay(http::Transport& direct, http::Verb verb,
                                                                   std::string target, std::string body) {
  const bool read = verb == http::Verb::get;
  const bool refused = core::seconds_between(refused_at_, core::SteadyClock::now()) < kRefusalDurationS;
  auto answer = co_await direct.call(verb, target, body, refused && read ? kProbeTimeout : kTimeout);
  const bool not_executed = answer.status == http::status::kServiceUnavailable ||
                            (answer.status == http::status::kNoAnswer && read);
  if (not_executed) refused_at_ = core::SteadyClock::now();
  if (not_executed && peer_relay_)
    answer = co_await peer_relay_->call(verb, std::move(target), std::move(body), kTimeout);
  co_return answer;
}

asio::awaitable<http::ClientResponse> KeyValueStore::forward(http::Verb verb, std::string target,
                                                             std::string body) {
  if (!request_limiter_.try_take(1, kForwardReserve, core::SteadyClock::now()))
    co_return http::ClientResponse{http::status::kTooManyRequests, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), kTimeout);
}

asio::awaitable<http::ClientResponse> KeyValueStore::call(http::Verb verb, std::string target,
                                                          std::string body, double reserve) {
  if (!request_limiter_.try_take(1, reserve, core::SteadyClock::now()))
    co_return http::ClientResponse{http::status::kTooManyRequests, {}};
  http::ClientResponse answer = co_await call_or_relay(*client_, verb, std::move(target), std::move(body));
  if (answer.status == http::status::kTooManyRequests) request_limiter_.drain(core::SteadyClock::now());
  co_return answer;
}

asio::awaitable<http::ClientResponse> KeyValueStore::call_unthrottled(std::string target, std::string body) {
  request_limiter_.try_take(1, kLeaseReserve, core::SteadyClock::now());
  co_return co_await call_or_relay(*lease_client_, http::Verb::post, std::move(target), std::move(body));
}

// Logs each key and limit only once, since the caller tries again on every change.
void KeyValueStore::log_excess(const std::string& key, const LimitExcess& excess) {
  auto& logged = logged_excesses_[key];
  if (logged.limit == excess.limit && logged.needed == excess.needed) return;
  constexpr std::size_t kMaxLoggedKeys = 1000;
  if (logged_excesses_.size() > kMaxLoggedKeys) logged_excesses_.clear();
  logged_excesses_[key] = excess;
  spdlog::error("commit not sent key={} limit={} needed={} allowed={} reason=too_large", key,
                name_of(excess.limit), excess.needed, excess.allowed);
}

asio::awaitable<CommitResult> KeyValueStore::commit(Transaction transaction) {
  const auto result = co_await commit_within_limits(transaction);
  metrics::count_commit(name_of(result.outcome));
  co_return result;
}

asio::awaitable<CommitResult> KeyValueStore::commit_within_limits(const Transaction& transaction) {
  auto body = commit_body(transaction);
  // The store would answer 400, now or as soon as the limits announced in the settings apply.
  if (const auto excess = TransactionLimits(limits_).excess(body.cost)) {
    log_excess(named_key(transaction, body), *excess);
    CommitResult not_sent;
    not_sent.outcome = CommitStatus::too_large;
    co_return not_sent;
  }
  const http::ClientResponse answer =
      co_await call(http::Verb::post, "/commit", std::move(body.text), kCommitReserve);
  if (answer.status == http::status::kTooManyRequests) write_limiter_.drain(core::SteadyClock::now());
  auto result = commit_result(answer);
  if (result.outcome == CommitStatus::malformed)
    spdlog::error("commit malformed key={} writes={} compares={} bytes={} largest_value_bytes={} reason={}",
                  named_key(transaction, body), body.cost.writes, body.cost.compares, body.cost.bytes,
                  body.cost.largest_value_bytes, answer.body);
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
  const http::ClientResponse answer = co_await call_unthrottled("/grants", lease_body(ttl_ms));
  co_return lease_result(answer);
}

asio::awaitable<LeaseRenewal> KeyValueStore::renew_lease(std::uint64_t store_lease) {
  const http::ClientResponse answer = co_await call_unthrottled(renewal_target(store_lease), {});
  co_return renewal_result(answer);
}

}  // namespace finchrun::state
