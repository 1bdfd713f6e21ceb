// The simulated network: delays, lost and late messages, lost responses. Digests all messages.
#include "sim/network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace finchrun::sim {
namespace {

constexpr double kMinLateCommandS = 2;

}  // namespace

asio::awaitable<ClientResponse> Cluster::ServiceConnection::call(http::Verb verb, std::string target,
                                                                 std::string body,
                                                                 std::chrono::milliseconds timeout) {
  struct Pending {
    core::Timer timer;
    ClientResponse answer;
  };
  auto pending = std::make_shared<Pending>(Pending{core::Timer(io, timeout), {}});
  const auto& faults = cluster.faults;
  const bool lost = cluster.chance(faults.request_loss_probability) || !cluster.can_reach(controller, to);
  const bool late = cluster.chance(faults.late_request_probability);
  const bool to_store = to.host == kStoreHost;
  const bool late_command = target == "/do" && cluster.chance(faults.late_command_probability);
  const bool delayed = (to_store && target == "/commit" && cluster.delay_write(controller, to, body)) ||
                       (target == "/do" && cluster.withhold(controller, to, body));
  if (delayed) {
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return ClientResponse{};
  }
  const double arrival_delay_s = late_command ? cluster.random_s(kMinLateCommandS, faults.max_late_command_s)
                                 : late       ? core::Seconds(timeout).count() + 20 * cluster.delay()
                                              : cluster.delay();
  const double store_delay_s = to_store ? cluster.store_delay_s(target) : 0;
  if (!lost) {
    cluster.post(arrival_delay_s + store_delay_s, [pending, verb, target, body, late_command,
                                                   &cluster = cluster, controller = controller, to = to] {
      if (!cluster.can_reach(controller, to)) return;
      auto answer = cluster.deliver(controller, to, verb, target, body);
      if (cluster.chance(cluster.faults.response_loss_probability) ||
          answer.status == http::status::kNoAnswer || late_command)
        return;
      cluster.repeat_later(controller, to, verb, target, body);
      const double slow_s = cluster.chance(cluster.faults.slow_response_probability)
                                ? cluster.random_s(0, cluster.faults.max_slow_response_s)
                                : 0;
      cluster.post(cluster.delay() + slow_s, [pending, answer] {
        pending->answer = answer;
        pending->timer.cancel();
      });
    });
  }
  boost::system::error_code ec;
  co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return pending->answer;
}

// Copies of direct commands are made by `repeat_commands` instead.
void Cluster::repeat_later(std::size_t controller, const config::Endpoint& to, http::Verb verb,
                           const std::string& target, const std::string& body) {
  const bool to_service = to.host == kStoreHost || to.host == kCloudHost;
  if (!to_service || verb == http::Verb::get || !chance(faults.repeated_request_probability)) return;
  const double delay_s = random_s(0.3, faults.max_duplicate_delay_s);
  post(delay_s, [=, this] { deliver(controller, to, verb, target, body); });
}

// Returns true if the transaction gets no response and is executed late.
bool Cluster::delay_write(std::size_t controller, const config::Endpoint& to, const std::string& body) {
  if (refused_by_store.contains(controller)) return false;
  auto execute = [this, body, controller, to] { deliver(controller, to, http::Verb::post, "/commit", body); };
  if (withhold_write && !store.outage && withhold_write(json::parse(body).as_object())) {
    withheld_writes_.push_back(std::move(execute));
    return true;
  }
  if (!chance(faults.late_write_probability)) return false;
  post(random_s(2, 12), std::move(execute));
  return true;
}

bool Cluster::withhold(std::size_t controller, const config::Endpoint& to, const std::string& body) {
  if (!withhold_command || !withhold_command(json::parse(body).as_object())) return false;
  withheld_commands_.push_back(
      [this, body, controller, to] { deliver(controller, to, http::Verb::post, "/do", body); });
  return true;
}

double Cluster::store_delay_s(const std::string& target) const {
  const bool slow_read = target.starts_with("/follow") && now_ < slow_reads_until_;
  return faults.store_delay_s + (slow_read ? faults.slow_read_delay_s : 0);
}

asio::awaitable<std::optional<std::string>> Cluster::PeerConnection::call(std::string frame,
                                                                          std::chrono::milliseconds timeout) {
  struct Pending {
    core::Timer timer;
    std::optional<std::string> answer;
  };
  auto pending = std::make_shared<Pending>(Pending{core::Timer(io, timeout), {}});
  if (!cluster.chance(cluster.faults.request_loss_probability) &&
      !cluster.blocked_links.contains({from, "peers"}) && !cluster.blocked_links.contains({to, "peers"}))
    cluster.post(cluster.delay(), [pending, frame, &cluster = cluster, to = to] {
      cluster.deliver_frame(to, frame, [pending](std::string answer) {
        pending->answer = std::move(answer);
        pending->timer.cancel();
      });
    });
  boost::system::error_code ec;
  co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return pending->answer;
}

void Cluster::send_request(std::size_t controller, http::Request request,
                           std::function<void(std::optional<http::Response>)> done, double timeout_s) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](std::optional<http::Response> response) {
    if (*finished) return;
    *finished = true;
    done(std::move(response));
  };
  post(timeout_s, [finish] { finish(std::nullopt); });
  if (chance(faults.request_loss_probability)) return;
  const double arrival_delay_s = chance(faults.late_request_probability) ? timeout_s + 20 * delay() : delay();
  post(arrival_delay_s, [this, controller, finish, request = std::move(request)]() mutable {
    if (!processes_[controller]) {
      finish(std::nullopt);
      return;
    }
    traffic_.add(now_, controller, request.target, request.body, "", 0);
    asio::co_spawn(processes_[controller]->io, processes_[controller]->controller.handle(std::move(request)),
                   [this, controller, finish](std::exception_ptr, http::Response response) {
                     traffic_.add(now_, controller, "api", "", response.body, response.status);
                     if (chance(faults.response_loss_probability)) return;
                     post(delay(), [finish, response = std::move(response)] { finish(response); });
                   });
  });
}

bool Cluster::can_reach(std::size_t controller, const config::Endpoint& to) const {
  if (to.host == kStoreHost) return !blocked_links.contains({controller, "state"});
  if (to.host == kCloudHost) return !blocked_links.contains({controller, "cloud"});
  for (const auto& [_, agent] : agents)
    if (agent.endpoint == to.text()) return !blocked_links.contains({controller, "zone " + agent.zone});
  return true;
}

void Cluster::deliver_frame(std::size_t controller, const std::string& frame,
                            std::function<void(std::string)> done) {
  if (!processes_[controller]) return;
  asio::co_spawn(processes_[controller]->io, processes_[controller]->controller.handle_peer(frame),
                 [this, controller, frame, done = std::move(done)](std::exception_ptr, std::string answer) {
                   traffic_.add(now_, controller, "peer", frame, answer, 0);
                   if (chance(faults.response_loss_probability)) return;
                   post(delay(), [done, answer = std::move(answer)] { done(answer); });
                 });
}

ClientResponse Cluster::deliver(std::size_t controller, const config::Endpoint& to, http::Verb verb,
                                const std::string& target, const std::string& body) {
  auto answer = deliver_unrecorded(controller, to, verb, target, body);
  traffic_.add(now_, controller, target, body, answer.body, answer.status);
  return answer;
}

ClientResponse Cluster::deliver_unrecorded(std::size_t controller, const config::Endpoint& to,
                                           http::Verb verb, const std::string& target,
                                           const std::string& body) {
  if (to.host == kStoreHost)
    return refused_by_store.contains(controller) ? ClientResponse{http::status::kServiceUnavailable, "{}"}
                                                 : store.handle(verb, target, body, now_);
  if (to.host == kCloudHost) return cloud.handle(verb, target, body, now_);
  for (auto& [_, agent] : agents) {
    if (agent.endpoint != to.text() || agent.dead || agent.inbound_blocked) continue;
    if (!agent.suspended) return agent.handle_commands(body, jobs, now_);
    agent.deferred_commands.push_back(body);
  }
  return {};
}

}  // namespace finchrun::sim
