#include "gateway/job_api.hpp"

#include <spdlog/spdlog.h>

#include "gateway/admission.hpp"
#include "gateway/responses.hpp"

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;
using state::CommitStatus;

// The timeout of a linearizable read, after which the user gets 503.
constexpr auto kReadTimeout = 1200ms;
// The timeout after an unanswered commit is shorter, since the user has already waited for the commit.
constexpr auto kReadAfterCommitTimeout = 1000ms;
// Limits of the retries of a cancellation whose job's record has changed concurrently.
constexpr auto kCancelTimeout = 3000ms;
constexpr int kMaxCancelAttempts = 5;

// With an older state cache and no peer in touch with the store, requests are refused at once.
constexpr double kMaxStateAgeS = 2.0;
// For readiness: the maximum age of the state cache and of the last answer of a peer.
constexpr double kMaxReadyStateAgeS = 3.0, kMaxReadyPeerAgeS = 4.0;
// Longer than the usual second, since an upgrade of all controllers takes a while.
constexpr int kUpgradeRetryAfterS = 5;

constexpr const char* kStoreUnreachableText = "no news from the state service";
constexpr const char* kStateUnknownText = "state unknown";
constexpr const char* kNoSuchJobText = "no such job";

}  // namespace

http::Response JobApi::status_of(core::JobId id) {
  return state_.with([&](ControllerState& state) {
    const auto& name = state.names.jobs.name(id);
    const auto* job = state.cache.job(id);
    if (!job)
      return state.cache.is_unreadable(id) ? retry_later(kStateUnknownText)
                                           : error_response(http::status::kNotFound, kNoSuchJobText);
    if (job->status == jobs::Status::cancelled)
      return http::Response{http::status::kOk, wire::render_status(name, "cancelled")};
    if (job->status == jobs::Status::done)
      return http::Response{http::status::kOk, wire::render_status(name, "done", job->spec.tasks, 0)};
    const auto running = state.cache.placed_tasks(id);
    const char* status = running > 0 ? "running" : "pending";
    return http::Response{http::status::kOk,
                          wire::render_status(name, status, state.cache.done_tasks(id), running)};
  });
}

bool JobApi::job_exists(const std::string& job) {
  return state_.with([&](ControllerState& state) { return state.find_job(job) != nullptr; });
}

// During an outage of the store for all controllers, users get 503 from each of them, and taking one out of
// the load balancer would only delay its return. A controller that alone has a stale state cache, or that no
// peer answers, is not ready: it would refuse each request at once, and with its few open connections the
// load balancer would send it the next requests too.
bool JobApi::is_ready() {
  const auto now = core::SteadyClock::now();
  const bool fresh = state_.with([&](ControllerState& state) {
    return state.cache_loaded && core::seconds_between(state.synchronized_at, now) < kMaxReadyStateAgeS;
  });
  if (fresh) return true;
  const bool isolated = !peers_.any_answered_within(kMaxReadyPeerAgeS, now);
  return !peers_.find_peer_with_fresh_state() && !(isolated && !peers_.empty());
}

// Returns true if neither this controller nor a peer reaches the store. Requests are then refused at once.
bool JobApi::is_store_unreachable() {
  const auto now = core::SteadyClock::now();
  const bool stale = state_.with([&](ControllerState& state) {
    return !state.cache_loaded || core::seconds_between(state.synchronized_at, now) > kMaxStateAgeS;
  });
  return stale && !peers_.find_peer_with_fresh_state();
}

asio::awaitable<http::Response> JobApi::query(std::string id) {
  // A final state can't change any more, so it is answered from the cache.
  const auto final_id = state_.with([&](ControllerState& state) -> std::optional<core::JobId> {
    const auto known_id = state.names.jobs.find(id);
    if (!known_id) return std::nullopt;
    const auto* job = state.cache.job(*known_id);
    return job && job->status != jobs::Status::live ? known_id : std::nullopt;
  });
  if (final_id) co_return status_of(*final_id);
  if (is_store_unreachable()) co_return retry_later(kStoreUnreachableText);
  if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadTimeout))
    co_return retry_later(kStateUnknownText);
  const auto known_id = state_.with([&](ControllerState& state) { return state.names.jobs.find(id); });
  if (!known_id) co_return error_response(http::status::kNotFound, kNoSuchJobText);
  co_return status_of(*known_id);
}

asio::awaitable<http::Response> JobApi::submit(std::string body) {
  auto parsed = wire::parse_submission(body);
  if (const auto* malformed = std::get_if<wire::Malformed>(&parsed))
    co_return error_response(http::status::kBadRequest, malformed->reason);
  const auto& submission = std::get<wire::Submission>(parsed);
  auto admission = state_.with([&](ControllerState& state) {
    return decide_admission(state, submission, core::SteadyClock::now(), core::unix_time_s());
  });

  if (std::holds_alternative<NotReady>(admission)) co_return retry_later("not ready to decide");
  if (std::holds_alternative<AwaitingUpgrade>(admission))
    co_return retry_later("standing jobs wait for the upgrade of all controllers", kUpgradeRetryAfterS);
  if (is_store_unreachable()) co_return retry_later(kStoreUnreachableText);
  if (std::holds_alternative<Infeasible>(admission)) {
    // 422 is final to the user. Another controller may have accepted the job under settings or machine types
    // that allowed it; a repeated submission must then be answered with the job's state.
    if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadTimeout))
      co_return retry_later(kStateUnknownText);
    if (!job_exists(submission.id))
      co_return error_response(http::status::kUnprocessable,
                               error_text(std::get<Infeasible>(admission).reason));
  }
  if (!std::holds_alternative<Admitted>(admission)) co_return co_await query(submission.id);

  if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::user_requests))
    co_return retry_later("too many submissions");
  auto& transaction = std::get<Admitted>(admission).transaction;
  auto response = co_await commit_submission(submission.id, std::move(transaction));
  if (response.status == http::status::kCreated)
    spdlog::info("job accepted job={} team={} tasks={} shape={}", submission.id, submission.team,
                 submission.spec.tasks, jobs::name_of(submission.spec.shape));
  co_return response;
}

asio::awaitable<http::Response> JobApi::commit_submission(std::string job, state::Transaction transaction) {
  const auto result = co_await follower_.commit(std::move(transaction));
  switch (result.outcome) {
    case CommitStatus::done:
      co_return http::Response{http::status::kCreated, wire::render_status(job, "pending")};
    case CommitStatus::conflict:  // another controller has accepted the same job
      co_return co_await query(job);
    case CommitStatus::unknown:
      // The commit may have been applied; a later read of the record decides.
      if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadAfterCommitTimeout))
        co_return retry_later(kStateUnknownText);
      if (job_exists(job)) co_return co_await query(job);
      co_return retry_later(kStateUnknownText);
    default:
      co_return retry_later("state service refuses");
  }
}

asio::awaitable<http::Response> JobApi::cancel(std::string id) {
  const auto deadline = core::SteadyClock::now() + kCancelTimeout;
  for (int attempt = 0; attempt < kMaxCancelAttempts && core::SteadyClock::now() < deadline; ++attempt) {
    auto decision = state_.with([&](ControllerState& state) { return decide_cancellation(state, id); });
    if (const auto* finished = std::get_if<AlreadyFinished>(&decision)) co_return status_of(finished->job);
    if (is_store_unreachable()) co_return retry_later(kStoreUnreachableText);
    auto* cancellable = std::get_if<Cancellable>(&decision);
    if (cancellable) {
      // The write counts against the write budget but does not wait for it: other writes must not delay a
      // cancellation, since the job's tasks keep running until then.
      store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::user_requests);
      const auto result = co_await follower_.commit(std::move(cancellable->transaction));
      if (result.outcome == CommitStatus::done) {
        spdlog::info("job cancelled job={} revision={}", id, result.revision);
        peer_service_.announce_cancellation(id);
        co_return status_of(cancellable->job);
      }
      if (result.outcome == CommitStatus::refused) co_return retry_later("state service refuses");
    }
    // The record has changed, the commit got no answer, or the job is unknown here. The loop retries after a
    // read.
    if (!co_await follower_.linearizable_read(deadline)) co_return retry_later(kStateUnknownText);
    if (std::holds_alternative<UnknownJob>(decision) && !job_exists(id))
      co_return error_response(http::status::kNotFound, kNoSuchJobText);
  }
  co_return retry_later(kStateUnknownText);
}

}  // namespace finchrun::gateway
