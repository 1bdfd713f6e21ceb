#include "gateway/agent_gateway.hpp"

#include "gateway/responses.hpp"
#include "peer/messages.hpp"

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

std::string relay_frame(const std::string& heartbeat) {
  return peer::encode(peer::HeartbeatRelay{heartbeat});
}

}  // namespace

http::Response AgentGateway::handle_heartbeat(const std::string& body) {
  auto parsed = wire::parse_heartbeat(body);
  if (const auto* bad = std::get_if<wire::Malformed>(&parsed)) return error_response(400, bad->why);
  const auto& r = std::get<wire::Heartbeat>(parsed);
  const auto now = core::Steady::now();
  bool changed = false;
  auto response = state_.with([&](ControllerState& w) -> http::Response {
    const auto zone = w.names.zones.find(r.zone);
    const auto partition = zone ? w.partitions.partition_of(r.machine, *zone) : std::nullopt;
    if (!partition) return http::Response{421, wire::render_redirect(std::nullopt)};
    if (!w.leads(*partition)) {
      const auto& leader = w.cache.leadership(*partition).leader;
      const bool elsewhere = w.loaded && !leader.empty() && leader != w.settings.label && w.alive(leader);
      if (!elsewhere) return retry_later("no owner");
      return http::Response{421, wire::render_redirect(leader)};
    }
    if (!w.may_renew_leases(now)) return retry_later("no news from the state service");
    // A late copy, or the cloud is slower than its answer: it does not bring the machine back.
    if (w.fleet.was_deleted(w.names, r.machine)) return retry_later("machine was returned");
    auto& m = w.fleet.intern(w.names, r.machine);
    if (m.first_seen == core::TimePoint{}) m.first_seen = now;
    m.type = w.names.types.intern(r.type);
    m.zone = *zone;
    m.partition = *partition;
    m.spot = r.spot;
    auto result = w.take(m, r, now, false);
    if (result.kind == agent::HeartbeatResult::Kind::deposed)
      return http::Response{421, wire::render_redirect(std::nullopt)};
    changed = result.changed;
    // An older heartbeat changes nothing and is answered without commands: an answer to one of our direct
    // commands may have overtaken it, and turning its agent away would only send it round the other
    // controllers.
    return http::Response{200, wire::render_commands(w.fencing_token(*partition), result.commands)};
  });
  if (changed) writer_wakeup_.notify();
  return response;
}

// The member to relay a heartbeat to: the leader of the machine's part, when the agent seems not to get there
// by itself. Nothing if it should go there.
std::optional<std::size_t> AgentGateway::peer_to_relay_to(const std::string& body) {
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

asio::awaitable<http::Response> AgentGateway::receive(std::string body) {
  http::Response response = handle_heartbeat(body);
  if (response.status != 421) co_return response;
  const auto leader = peer_to_relay_to(body);
  if (!leader) co_return response;
  std::string request = relay_frame(body);
  const auto frame = co_await peers_.link(*leader).call(std::move(request), std::chrono::milliseconds(2500));
  const auto reply = coordination::read_relayed_response(frame);
  // Not relayed: the agent goes on trying by itself.
  if (reply.status == 200) response = {200, reply.body};
  co_return response;
}

}  // namespace finchrun::gateway
