#include "gateway/agent_gateway.hpp"

#include <spdlog/spdlog.h>

#include "gateway/heartbeat_routing.hpp"
#include "gateway/responses.hpp"
#include "metrics/metrics.hpp"
#include "peer/messages.hpp"

namespace finchrun::gateway {

namespace {

using namespace std::chrono_literals;
using controller::ControllerState;

constexpr auto kRelayTimeout = 2500ms;

http::Response redirect_to(const std::optional<std::string>& leader) {
  return {http::status::kMisdirectedRequest, wire::render_redirect(leader)};
}

struct RefusalResponse {
  http::Response operator()(const OutsideDeployment&) const { return redirect_to(std::nullopt); }
  http::Response operator()(const LedElsewhere& elsewhere) const { return redirect_to(elsewhere.leader); }
  http::Response operator()(const NoLeader&) const { return retry_later("no owner"); }
  http::Response operator()(const CancellationsUnknown&) const {
    metrics::count_refused_renewal("cancellations_unknown");
    return retry_later("no news from the state service");
  }
  http::Response operator()(const MachineDeleted&) const { return retry_later("machine was returned"); }
};

std::string relay_frame(const std::string& heartbeat) {
  return peer::encode(peer::HeartbeatRelay{heartbeat});
}

}  // namespace

http::Response AgentGateway::handle_heartbeat(const std::string& body) {
  const auto parsed = wire::parse_heartbeat(body);
  if (const auto* malformed = std::get_if<wire::Malformed>(&parsed))
    return error_response(http::status::kBadRequest, malformed->reason);
  const auto& heartbeat = std::get<wire::Heartbeat>(parsed);
  const auto now = core::SteadyClock::now();
  bool exits_observed = false;
  auto response = state_.with([&](ControllerState& state) {
    const auto partition = partition_of(state, heartbeat);
    if (const auto refusal = find_refusal(state, heartbeat, partition, now))
      return std::visit(RefusalResponse{}, *refusal);
    auto& machine = add_machine(state, heartbeat, *partition, now);
    auto result = state.apply_heartbeat(machine, heartbeat, now, false);
    if (result.kind == agent::HeartbeatResult::Kind::superseded) {
      spdlog::debug(
          "heartbeat refused machine={} partition={} fencing_token={} agent_fencing_token={} "
          "reason=agent_obeys_newer_leader",
          machine.name, state.names.partitions.name(*partition), state.fencing_token(*partition),
          heartbeat.fencing_token);
      return redirect_to(std::nullopt);
    }
    exits_observed = result.exits_observed;
    if (result.kind == agent::HeartbeatResult::Kind::not_renewed) {
      metrics::count_refused_renewal("cancelled_task_may_start");
      return retry_later("a cancelled task may start");
    }
    // An outdated heartbeat changes nothing. The answer to a direct command may have overtaken it, and a
    // refusal would make its agent try all other controllers in turn.
    return http::Response{http::status::kOk,
                          wire::render_commands(state.command_token(machine), result.commands)};
  });
  if (exits_observed) writer_wakeup_.notify();
  return response;
}

std::optional<std::size_t> AgentGateway::peer_to_relay_to(const std::string& body) {
  const auto parsed = wire::parse_heartbeat(body);
  const auto* heartbeat = std::get_if<wire::Heartbeat>(&parsed);
  if (!heartbeat) return std::nullopt;
  const auto now = core::SteadyClock::now();
  return state_.with([&](ControllerState& state) -> std::optional<std::size_t> {
    const auto partition = partition_of(state, *heartbeat);
    if (!partition) return std::nullopt;
    auto& machine = add_machine(state, *heartbeat, *partition, now);
    const auto forwarding = decide_forwarding(machine, *heartbeat, state.fencing_token(*partition),
                                              state.settings.heartbeat_interval_s, now);
    machine.relayed_without_redirect = forwarding == Forwarding::relay_without_redirect;
    if (!machine.relayed_without_redirect) machine.redirected_at = now;
    const auto& leader = state.cache.leadership(*partition).leader;
    const bool relay = forwarding != Forwarding::redirect;
    spdlog::debug("heartbeat {} machine={} partition={} leader={}", relay ? "relayed" : "redirected",
                  machine.name, state.names.partitions.name(*partition), leader);
    if (!relay) return std::nullopt;
    for (std::size_t peer = 0; peer < settings_.members.size(); ++peer)
      if (settings_.members[peer].label == leader) return peer;
    return std::nullopt;
  });
}

asio::awaitable<http::Response> AgentGateway::handle_request(std::string body) {
  http::Response response = handle_heartbeat(body);
  if (response.status != http::status::kMisdirectedRequest) co_return response;
  const auto leader = peer_to_relay_to(body);
  if (!leader) co_return response;
  std::string request = relay_frame(body);
  const auto frame = co_await peers_.link(*leader).call(std::move(request), kRelayTimeout);
  const auto reply = coordination::read_relayed_response(frame);
  // If the relay failed, the agent gets the redirect and retries by itself.
  if (reply.status == http::status::kOk) response = {http::status::kOk, reply.body};
  co_return response;
}

}  // namespace finchrun::gateway
