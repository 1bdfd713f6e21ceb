#include "coordination/peer_service.hpp"

#include <spdlog/spdlog.h>

#include "http/status.hpp"

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

constexpr double kPingIntervalS = 1.0;
constexpr auto kCallTimeout = std::chrono::milliseconds(1500);
// An announcement to a peer that does not answer occupies a socket for seconds. Cancellations that are not
// announced reach the peers with the next ping.
constexpr std::size_t kMaxAnnouncementsInFlight = 32;

// Frames are created outside the coroutines: GCC 12 destroys aggregate temporaries of a co_await twice.
std::string ping_frame(const std::string& label, std::uint64_t revision) {
  return peer::encode(peer::Ping{label, revision});
}

std::string reply_frame(int status, const std::string& body) {
  return peer::encode(peer::Reply{status, body});
}

peer::CancellationNotice cancellation_notice(const ControllerState& state, core::JobId id) {
  const auto* job = state.cache.job(id);
  return {state.names.jobs.name(id), boost::json::serialize(jobs::to_json(*job, state.names)), job->revision};
}

// Returns an empty frame if the job is not known here.
std::string cancellation_frame(const ControllerState& state, const std::string& job) {
  const auto id = state.names.jobs.find(job);
  return id && state.cache.job(*id) ? peer::encode(cancellation_notice(state, *id)) : std::string();
}

// Applies the change ahead of the next read of the store, as this controller's own commits are.
void apply_cancellation(ControllerState& state, const peer::CancellationNotice& notice,
                        agent::CancellationSource source) {
  boost::system::error_code ec;
  auto record = boost::json::parse(notice.record, ec);
  if (ec) return;
  state.cache.apply({state::keys::job(notice.job), std::move(record), notice.revision});
  state.learn_cancellations(source, core::SteadyClock::now());
}

// Returns the cancellations that the sender of a ping may lack after reading everything up to `revision`.
std::string pong_frame(const ControllerState& state, std::uint64_t revision) {
  peer::Pong pong;
  pong.state_age_s = core::seconds_between(state.synchronized_at, core::SteadyClock::now());
  const auto cancelled = state.cache.cancelled_after(revision);
  // While the state cache is reloaded, it may lack cancellations that this controller has confirmed.
  pong.complete = state.cache_loaded && cancelled.has_value();
  for (const auto id : cancelled.value_or(std::vector<core::JobId>{}))
    pong.cancelled.push_back(cancellation_notice(state, id));
  return peer::encode(pong);
}

// Applies a pong. It need not contain cancellations that were confirmed after `ping_sent_at`.
void apply_pong(ControllerState& state, std::size_t peer, const peer::Pong& pong,
                core::TimePoint ping_sent_at) {
  for (const auto& notice : pong.cancelled)
    apply_cancellation(state, notice, agent::CancellationSource::ping);
  if (!pong.complete) return;
  auto& confirmed_at = state.cancellations_confirmed_at[peer];
  confirmed_at = std::max(confirmed_at, ping_sent_at);
}

const char* name_of(peer::DecodeError error) {
  switch (error) {
    case peer::DecodeError::other_version:
      return "other_version";
    case peer::DecodeError::malformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace

asio::awaitable<void> PeerService::run() {
  while (true) {
    co_await runtime_.sleep(kPingIntervalS);
    for (std::size_t peer = 0; peer < peers_.size(); ++peer) runtime_.spawn(ping(peer));
  }
}

asio::awaitable<void> PeerService::ping(std::size_t peer) {
  const auto ping_sent_at = core::SteadyClock::now();
  const auto revision = state_.with([](ControllerState& state) { return state.cache.revision(); });
  std::string request = ping_frame(settings_.label, revision);
  const auto frame = co_await peers_.link(peer).call(std::move(request), kCallTimeout);
  const auto pong = peer::decode_answer<peer::Pong>(frame);
  update_reachability(peer, pong ? Reachability::reachable : Reachability::unreachable);
  if (!pong) co_return;
  peers_.record_answer(peer, core::SteadyClock::now(), ping_sent_at - core::to_duration(pong->state_age_s));
  state_.with([&](ControllerState& state) { apply_pong(state, peer, *pong, ping_sent_at); });
}

void PeerService::update_reachability(std::size_t peer, Reachability reachability) {
  if (reachability_[peer] == reachability) return;
  reachability_[peer] = reachability;
  spdlog::debug("peer {} peer={}", reachability == Reachability::reachable ? "reachable" : "unreachable",
                peer < settings_.members.size() ? settings_.members[peer].label : std::to_string(peer));
}

asio::awaitable<std::string> PeerService::handle(std::string frame) {
  auto message = peer::decode(frame);
  if (!message) {
    spdlog::debug("peer frame rejected reason={} bytes={}", name_of(message.error()), frame.size());
    co_return reply_frame(http::status::kBadRequest, "");
  }
  auto reply = std::visit([this](auto& request) { return answer(std::move(request)); }, *message);
  co_return co_await std::move(reply);
}

asio::awaitable<std::string> PeerService::answer(peer::Ping ping) {
  co_return state_.with([&](ControllerState& state) { return pong_frame(state, ping.revision); });
}

asio::awaitable<std::string> PeerService::answer(peer::HeartbeatRelay relay) {
  const auto response = handle_heartbeat_(relay.heartbeat);
  co_return reply_frame(response.status, response.body);
}

asio::awaitable<std::string> PeerService::answer(peer::StoreRequest request) {
  const auto verb = request.post ? http::Verb::post : http::Verb::get;
  const auto response = co_await store_.forward(verb, request.target, request.body);
  co_return reply_frame(response.status, response.body);
}

asio::awaitable<std::string> PeerService::answer(peer::CancellationNotice notice) {
  state_.with([&](ControllerState& state) {
    apply_cancellation(state, notice, agent::CancellationSource::announcement);
  });
  co_return reply_frame(http::status::kOk, "");
}

// Pong and Reply are answers, never requests.
asio::awaitable<std::string> PeerService::answer(peer::Pong) {
  co_return reply_frame(http::status::kBadRequest, "");
}
asio::awaitable<std::string> PeerService::answer(peer::Reply) {
  co_return reply_frame(http::status::kBadRequest, "");
}

// Announcements complement the bound on the age of the state cache: without them, a leader that the key-value
// store refuses would continue the job's tasks, and start more of them, until its next read.
void PeerService::announce_cancellation(const std::string& job) {
  const auto frame = state_.with([&](ControllerState& state) { return cancellation_frame(state, job); });
  if (frame.empty()) return;
  if (announcements_.count() >= kMaxAnnouncementsInFlight) {
    spdlog::debug("cancellation not announced job={} reason=announcements_in_flight", job);
    return;
  }
  for (std::size_t peer = 0; peer < peers_.size(); ++peer) runtime_.spawn(announce(peer, frame));
}

asio::awaitable<void> PeerService::announce(std::size_t peer, std::string frame) {
  const auto slot = announcements_.acquire();
  co_await peers_.link(peer).call(std::move(frame), kCallTimeout);
}

}  // namespace finchrun::coordination
