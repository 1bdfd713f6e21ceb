#include "coordination/peer_service.hpp"

#include <spdlog/spdlog.h>

#include "peer/messages.hpp"

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

constexpr double kPingIntervalS = 1.0;

// Frames are made outside the coroutines: GCC 12 destroys aggregates twice that are temporaries of a
// co_await.
std::string ping_frame(const std::string& label, std::uint64_t revision) {
  return peer::encode(peer::Ping{label, revision});
}
peer::CancellationNotice cancellation_notice(const ControllerState& w, core::JobId id) {
  const auto* job = w.cache.job(id);
  return {w.names.jobs.name(id), boost::json::serialize(jobs::to_json(*job, w.names)), job->revision};
}
// A change like any other that the next read would show: taken in ahead of it, as our own commits are.
void apply_cancellation(ControllerState& w, const peer::CancellationNotice& c) {
  boost::system::error_code ec;
  auto record = boost::json::parse(c.record, ec);
  if (!ec) w.cache.apply({state::keys::job(c.job), std::move(record), c.revision});
}
std::string pong_frame(const ControllerState& w, std::uint64_t revision) {
  peer::Pong pong;
  pong.state_age_s = core::since(w.synchronized_at, core::Steady::now());
  const auto cancelled = w.cache.cancelled_after(revision);
  // While it is read anew, our copy may lack what we have told.
  pong.complete = w.loaded && cancelled.has_value();
  for (const auto id : cancelled.value_or(std::vector<core::JobId>{}))
    pong.cancelled.push_back(cancellation_notice(w, id));
  return peer::encode(pong);
}
std::string reply_frame(int status, const std::string& body) {
  return peer::encode(peer::Reply{status, body});
}

}  // namespace

asio::awaitable<void> PeerService::ping(std::size_t peer) {
  const auto sent = core::Steady::now();
  const auto revision = state_.with([](ControllerState& w) { return w.cache.revision(); });
  std::string request = ping_frame(settings_.label, revision);
  const auto frame = co_await peers_.link(peer).call(std::move(request), std::chrono::milliseconds(1500));
  const auto message = frame ? peer::decode(*frame) : std::nullopt;
  if (const auto* pong = message ? std::get_if<peer::Pong>(&*message) : nullptr) {
    peers_.heard(peer, core::Steady::now(), sent - core::secs(pong->state_age_s));
    state_.with([&](ControllerState& w) {
      for (const auto& c : pong->cancelled) apply_cancellation(w, c);
      if (pong->complete)
        w.cancellations_confirmed_at[peer] = std::max(w.cancellations_confirmed_at[peer], sent);
    });
  }
}

asio::awaitable<void> PeerService::run() {
  while (true) {
    co_await runtime_.sleep(kPingIntervalS);
    for (std::size_t i = 0; i < peers_.size(); ++i) runtime_.spawn(ping(i));
  }
}

asio::awaitable<std::string> PeerService::handle(std::string frame) {
  const auto message = peer::decode(frame);
  if (const auto* ping = message ? std::get_if<peer::Ping>(&*message) : nullptr)
    co_return state_.with([&](ControllerState& w) { return pong_frame(w, ping->revision); });
  if (const auto* relay = message ? std::get_if<peer::HeartbeatRelay>(&*message) : nullptr) {
    const auto response = handle_heartbeat_(relay->heartbeat);
    co_return reply_frame(response.status, response.body);
  }
  if (const auto* call = message ? std::get_if<peer::StoreRequest>(&*message) : nullptr) {
    const auto verb = call->post ? http::Verb::post : http::Verb::get;
    const auto answer = co_await store_.forward(verb, call->target, call->body);
    co_return reply_frame(answer.status, answer.body);
  }
  if (const auto* notice = message ? std::get_if<peer::CancellationNotice>(&*message) : nullptr) {
    state_.with([&](ControllerState& w) { apply_cancellation(w, *notice); });
    co_return reply_frame(200, "");
  }
  co_return reply_frame(400, "");
}

// A help on top of the bound on old news, never instead of it: a leader that the key-value store refuses
// would else go on with the job's tasks until its next read, and start others of them.
void PeerService::announce_cancellation(const std::string& id) {
  const auto frame = state_.with([&](ControllerState& w) {
    const auto known = w.names.jobs.find(id);
    return known && w.cache.job(*known) ? peer::encode(cancellation_notice(w, *known)) : std::string();
  });
  // To peers that don't answer each holds a socket for seconds; what is left out comes with the next ping.
  constexpr std::size_t kMostInFlight = 32;
  if (frame.empty() || announcements_in_flight_ >= kMostInFlight) return;
  for (std::size_t i = 0; i < peers_.size(); ++i) runtime_.spawn(announce(i, frame));
}

asio::awaitable<void> PeerService::announce(std::size_t peer, std::string frame) {
  ++announcements_in_flight_;
  co_await peers_.link(peer).call(std::move(frame), std::chrono::milliseconds(1500));
  --announcements_in_flight_;
}

}  // namespace finchrun::coordination
