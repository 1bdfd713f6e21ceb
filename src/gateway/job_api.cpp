#include "gateway/job_api.hpp"

#include <spdlog/spdlog.h>

#include "gateway/admission.hpp"
#include "gateway/responses.hpp"

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;
using state::CommitStatus;

// How long a user waits for a linearizable read before the answer is 503.
constexpr auto kReadTimeout = 1200ms;
// The same after a commit without an answer, which has taken part of the user's time already.
constexpr auto kReadAfterCommitTimeout = 1000ms;
// A cancellation is tried again, when the job's record has changed meanwhile, at most so long and so often.
constexpr auto kCancelTimeout = 3000ms;
constexpr int kCancelAttempts = 5;

// A newest read of the store that is older than this means that nothing can be proved at present.
constexpr double kStoreSilenceS = 2.0;
// Readiness: the view of the store is fresh, and a peer has been heard, within these.
constexpr double kReadyStateAgeS = 3.0, kReadyPeerAgeS = 4.0;
// An upgrade of all controllers takes a while: users are asked to wait longer than the usual second.
constexpr int kUpgradeRetryAfterS = 5;

constexpr const char* kNoStoreText = "no news from the state service";
constexpr const char* kUnknownStateText = "state unknown";
constexpr const char* kNoSuchJobText = "no such job";

}  // namespace

http::Response JobApi::status_of(core::JobId id) {
  return state_.with([&](ControllerState& state) {
    const auto& name = state.names.jobs.name(id);
    const auto* job = state.cache.job(id);
    if (!job)
      return state.cache.is_unreadable(id) ? retry_later(kUnknownStateText)
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

bool JobApi::knows(const std::string& job) {
  return state_.with([&](ControllerState& state) { return state.find_job(job) != nullptr; });
}

// In an outage shared by all, being taken out would only cost users a slow return: they are answered 503
// either way. A controller that alone has no fresh view of the store, or that nobody answers any more, leaves
// the users to the others: it would turn each of them away at once, have few connections for it, and so be
// given the next ones too.
bool JobApi::ready() {
  const auto now = core::SteadyClock::now();
  const bool fresh = state_.with([&](ControllerState& state) {
    return state.loaded && core::seconds_between(state.synchronized_at, now) < kReadyStateAgeS;
  });
  if (fresh) return true;
  const bool alone = !peers_.any_answered_within(kReadyPeerAgeS, now);
  return !peers_.find_peer_with_fresh_state() && !(alone && !peers_.empty());
}

// Nothing can be proved or recorded at present, directly or through a peer: that is said at once.
bool JobApi::out_of_touch_with_store() {
  const auto now = core::SteadyClock::now();
  const bool stale = state_.with([&](ControllerState& state) {
    return !state.loaded || core::seconds_between(state.synchronized_at, now) > kStoreSilenceS;
  });
  return stale && !peers_.find_peer_with_fresh_state();
}

asio::awaitable<http::Response> JobApi::query(std::string id) {
  // A final state can't change any more: the cache is proof enough.
  const auto final_id = state_.with([&](ControllerState& state) -> std::optional<core::JobId> {
    const auto known = state.names.jobs.find(id);
    if (!known) return std::nullopt;
    const auto* job = state.cache.job(*known);
    return job && job->status != jobs::Status::live ? known : std::nullopt;
  });
  if (final_id) co_return status_of(*final_id);
  if (out_of_touch_with_store()) co_return retry_later(kNoStoreText);
  if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadTimeout))
    co_return retry_later(kUnknownStateText);
  const auto known = state_.with([&](ControllerState& state) { return state.names.jobs.find(id); });
  if (!known) co_return error_response(http::status::kNotFound, kNoSuchJobText);
  co_return status_of(*known);
}

asio::awaitable<http::Response> JobApi::submit(std::string body) {
  auto parsed = wire::parse_submission(body);
  if (const auto* malformed = std::get_if<wire::Malformed>(&parsed))
    co_return error_response(http::status::kBadRequest, malformed->why);
  const auto& submission = std::get<wire::Submission>(parsed);
  auto admission = state_.with([&](ControllerState& state) {
    return decide_admission(state, submission, core::SteadyClock::now(), core::unix_time_s());
  });

  if (std::holds_alternative<NotReady>(admission)) co_return retry_later("not ready to decide");
  if (std::holds_alternative<TooEarlyForUpgrade>(admission))
    co_return retry_later("standing jobs wait for the upgrade of all controllers", kUpgradeRetryAfterS);
  if (out_of_touch_with_store()) co_return retry_later(kNoStoreText);
  if (std::holds_alternative<NeverRuns>(admission)) {
    // 422 is final to the user. The job may have been accepted by another controller, under settings or
    // machine types that allowed it, and a repeated submission must then be answered with its state.
    if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadTimeout))
      co_return retry_later(kUnknownStateText);
    if (!knows(submission.id))
      co_return error_response(http::status::kUnprocessable, text_of(std::get<NeverRuns>(admission).reason));
  }
  if (!std::holds_alternative<Admitted>(admission)) co_return co_await query(submission.id);

  if (!store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::user_requests)) co_return retry_later("too many submissions");
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
    case CommitStatus::conflict:  // another controller has accepted the same job meanwhile
      co_return co_await query(job);
    case CommitStatus::unknown:
      // It might be applied: what the record says after it decides.
      if (!co_await follower_.linearizable_read(core::SteadyClock::now() + kReadAfterCommitTimeout))
        co_return retry_later(kUnknownStateText);
      if (knows(job)) co_return co_await query(job);
      co_return retry_later(kUnknownStateText);
    default:
      co_return retry_later("state service refuses");
  }
}

asio::awaitable<http::Response> JobApi::cancel(std::string id) {
  const auto deadline = core::SteadyClock::now() + kCancelTimeout;
  for (int attempt = 0; attempt < kCancelAttempts && core::SteadyClock::now() < deadline; ++attempt) {
    auto decision = state_.with([&](ControllerState& state) { return decide_cancellation(state, id); });
    if (const auto* over = std::get_if<AlreadyOver>(&decision)) co_return status_of(over->job);
    if (out_of_touch_with_store()) co_return retry_later(kNoStoreText);
    auto* cancellable = std::get_if<Cancellable>(&decision);
    if (cancellable) {
      // Counted against the write budget, yet not held up by it: whatever else is being written, a user's
      // cancellation must not be starved, for every second of it runs what nobody wants.
      store_.try_spend_writes(1, state::KeyValueStore::WritePurpose::user_requests);
      const auto result = co_await follower_.commit(std::move(cancellable->transaction));
      if (result.outcome == CommitStatus::done) {
        spdlog::info("job cancelled job={}", id);
        peer_service_.announce_cancellation(id);
        co_return status_of(cancellable->job);
      }
      if (result.outcome == CommitStatus::refused) co_return retry_later("state service refuses");
    }
    // The record has changed, the commit got no answer, or the job is not known here: look again.
    if (!co_await follower_.linearizable_read(deadline)) co_return retry_later(kUnknownStateText);
    if (std::holds_alternative<UnknownJob>(decision) && !knows(id))
      co_return error_response(http::status::kNotFound, kNoSuchJobText);
  }
  co_return retry_later(kUnknownStateText);
}

}  // namespace finchrun::gateway
