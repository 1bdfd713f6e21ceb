// The other controllers: who of them has news, relayed heartbeats, and the way round a key-value store that
// refuses us alone.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "app/controller.hpp"
#include "peer/messages.hpp"

namespace finchrun::app {
namespace {

constexpr double kFreshStateS = 2.0;  // a member whose news is older is no help
constexpr double kPingEvery = 1.0;

// Frames are made outside the coroutines: GCC 12 destroys aggregates twice that are temporaries of a
// co_await.
std::string ping_frame(const std::string& label, std::uint64_t revision) {
  return peer::encode(peer::Ping{label, revision});
}
peer::CancellationNotice cancelled_record(const ControllerState& w, core::JobId id) {
  const auto* job = w.cache.job(id);
  return {w.names.jobs.name(id), boost::json::serialize(jobs::to_json(*job, w.names)), job->revision};
}
// A change like any other that the next read would show: taken in ahead of it, as our own commits are.
void take_cancelled(ControllerState& w, const peer::CancellationNotice& c) {
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
    pong.cancelled.push_back(cancelled_record(w, id));
  return peer::encode(pong);
}
std::string reply_frame(int status, const std::string& body) {
  return peer::encode(peer::Reply{status, body});
}
std::string relay_frame(const std::string& heartbeat) {
  return peer::encode(peer::HeartbeatRelay{heartbeat});
}
std::string call_frame(bool post, const std::string& target, const std::string& body) {
  return peer::encode(peer::StoreRequest{post, target, body});
}
http::Answer read_reply(const std::optional<std::string>& frame) {
  const auto message = frame ? peer::decode(*frame) : std::nullopt;
  const auto* reply = message ? std::get_if<peer::Reply>(&*message) : nullptr;
  return reply ? http::Answer{reply->status, reply->body} : http::Answer{};
}

}  // namespace

// Sends the state client's requests through whichever member has fresh news.
class Controller::PeerRelay : public http::Transport {
 public:
  explicit PeerRelay(Controller& c) : controller_(c) {}
  asio::awaitable<http::Answer> call(http::Verb verb, std::string target, std::string body,
                                     std::chrono::milliseconds limit) override {
    const auto member = controller_.peer_in_touch_with_store();
    if (!member) {
      http::Answer nobody;
      nobody.status = 503;
      co_return nobody;
    }
    std::string request = call_frame(verb == http::Verb::post, target, body);
    const auto frame = co_await controller_.links_[*member]->call(std::move(request), limit);
    co_return read_reply(frame);
  }

 private:
  Controller& controller_;
};

std::unique_ptr<http::Transport> Controller::peer_relay() { return std::make_unique<PeerRelay>(*this); }

std::optional<std::size_t> Controller::peer_in_touch_with_store() const {
  const auto now = core::Steady::now();
  for (std::size_t i = 0; i < links_.size(); ++i)
    if (core::since(peer_state_seen_[i], now) < kFreshStateS) return i;
  return std::nullopt;
}

asio::awaitable<void> Controller::ping(std::size_t member) {
  const auto sent = core::Steady::now();
  const auto revision = state_.with([](ControllerState& w) { return w.cache.revision(); });
  std::string request = ping_frame(settings_.label, revision);
  const auto frame = co_await links_[member]->call(std::move(request), std::chrono::milliseconds(1500));
  const auto message = frame ? peer::decode(*frame) : std::nullopt;
  if (const auto* pong = message ? std::get_if<peer::Pong>(&*message) : nullptr) {
    peer_heard_[member] = core::Steady::now();
    peer_state_seen_[member] = std::max(peer_state_seen_[member], sent - core::secs(pong->state_age_s));
    state_.with([&](ControllerState& w) {
      for (const auto& c : pong->cancelled) take_cancelled(w, c);
      if (pong->complete)
        w.cancellations_confirmed_at[member] = std::max(w.cancellations_confirmed_at[member], sent);
    });
  }
}

asio::awaitable<void> Controller::peer_loop() {
  while (true) {
    co_await sleep(kPingEvery);
    for (std::size_t i = 0; i < links_.size(); ++i) asio::co_spawn(io_, ping(i), asio::detached);
  }
}

asio::awaitable<std::string> Controller::handle_peer(std::string frame) {
  const auto message = peer::decode(frame);
  if (const auto* ping = message ? std::get_if<peer::Ping>(&*message) : nullptr)
    co_return state_.with([&](ControllerState& w) { return pong_frame(w, ping->revision); });
  if (const auto* relay = message ? std::get_if<peer::HeartbeatRelay>(&*message) : nullptr) {
    const auto response = heartbeat(relay->heartbeat);
    co_return reply_frame(response.status, response.body);
  }
  if (const auto* call = message ? std::get_if<peer::StoreRequest>(&*message) : nullptr) {
    const auto verb = call->post ? http::Verb::post : http::Verb::get;
    const auto answer = co_await store_.forward(verb, call->target, call->body);
    co_return reply_frame(answer.status, answer.body);
  }
  if (const auto* news = message ? std::get_if<peer::CancellationNotice>(&*message) : nullptr) {
    state_.with([&](ControllerState& w) { take_cancelled(w, *news); });
    co_return reply_frame(200, "");
  }
  co_return reply_frame(400, "");
}

// A help on top of the bound on old news, never instead of it: a leader that the key-value store refuses
// would else go on with the job's tasks until its next read, and start others of them.
void Controller::announce_cancellation(const std::string& id) {
  const auto frame = state_.with([&](ControllerState& w) {
    const auto known = w.names.jobs.find(id);
    return known && w.cache.job(*known) ? peer::encode(cancelled_record(w, *known)) : std::string();
  });
  // To members that don't answer each holds a socket for seconds; what is left out comes with the next ping.
  constexpr std::size_t kMostInFlight = 32;
  if (frame.empty() || announcements_in_flight_ >= kMostInFlight) return;
  for (std::size_t i = 0; i < links_.size(); ++i) asio::co_spawn(io_, spread(i, frame), asio::detached);
}

asio::awaitable<void> Controller::spread(std::size_t member, std::string frame) {
  ++announcements_in_flight_;
  co_await links_[member]->call(std::move(frame), std::chrono::milliseconds(1500));
  --announcements_in_flight_;
}

// The member to relay a heartbeat to: the leader of the machine's part, when the agent seems not to get there
// by itself. Nothing if it should go there.
std::optional<std::size_t> Controller::relay_to(const std::string& body) {
  const auto parsed = wire::parse_heartbeat(body);
  const auto* r = std::get_if<wire::Heartbeat>(&parsed);
  if (!r) return std::nullopt;
  const auto now = core::Steady::now();
  return state_.with([&](ControllerState& w) -> std::optional<std::size_t> {
    const auto zone = w.names.zones.find(r->zone);
    const auto partition = zone ? w.partitions.partition_of(r->machine, *zone) : std::nullopt;
    if (!partition) return std::nullopt;
    auto& m = w.fleet.intern(w.names, r->machine);
    if (m.first_seen == core::TimePoint{}) m.first_seen = now;
    // It was sent there a moment ago and is here again.
    const bool back = core::since(m.redirected_at, now) < 3 * w.settings.report_s + 8;
    // It obeys the leader's present term and has come here all the same: it has lost its way to the leader.
    // Sent there once more, it waited for a second time-out, and a lease of 10 s ran out meanwhile.
    const bool lost_leader = r->fencing_token >= w.fencing_token(*partition) && !m.relayed;
    // Whoever has only learnt the term from a direct command goes to the leader with its next heartbeat.
    m.relayed = lost_leader && !back;
    if (!m.relayed) m.redirected_at = now;
    if (!back && !lost_leader) return std::nullopt;
    for (std::size_t i = 0; i < settings_.members.size(); ++i)
      if (settings_.members[i].label == w.cache.leadership(*partition).leader) return i;
    return std::nullopt;
  });
}

asio::awaitable<http::Response> Controller::hello(std::string body) {
  http::Response response = heartbeat(body);
  if (response.status != 421) co_return response;
  const auto leader = relay_to(body);
  if (!leader) co_return response;
  std::string request = relay_frame(body);
  const auto frame = co_await links_[*leader]->call(std::move(request), std::chrono::milliseconds(2500));
  const auto reply = read_reply(frame);
  // Not relayed: the agent goes on trying by itself.
  if (reply.status == 200) response = {200, reply.body};
  co_return response;
}

}  // namespace finchrun::app
