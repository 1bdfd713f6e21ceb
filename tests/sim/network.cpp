// How messages travel: late, lost, or carried out with their answer lost; all of them digested.
#include "sim/network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace finchrun::sim {

asio::awaitable<Answer> Cluster::Line::call(http::Verb verb, std::string target, std::string body,
                                            std::chrono::milliseconds limit) {
  struct Pending {
    core::Timer timer;
    Answer answer;
  };
  auto pending = std::make_shared<Pending>(Pending{core::Timer(io, limit), {}});
  const auto& faults = cluster.faults;
  const bool lost = cluster.chance(faults.lose_request) || !cluster.reachable(node, to);
  const bool late = cluster.chance(faults.late_request);
  const bool state = to.host == kStateHost;
  if (state && target == "/commit" && !cluster.refused.contains(node) && cluster.chance(faults.late_write)) {
    const double after = std::uniform_real_distribution<double>(2, 12)(cluster.random);
    cluster.post(after, [body, &c = cluster, node = node, to = to] {
      c.deliver(node, to, http::Verb::post, "/commit", body);
    });
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return Answer{};
  }
  const double there = (late ? core::Seconds(limit).count() + 20 * cluster.delay() : cluster.delay()) +
                       (state ? faults.slow_state_s : 0);
  if (!lost) {
    cluster.post(there, [pending, verb, target, body, &c = cluster, node = node, to = to] {
      if (!c.reachable(node, to)) return;
      auto answer = c.deliver(node, to, verb, target, body);
      if (c.chance(c.faults.lose_answer) || answer.status == http::status::kNoAnswer) return;
      c.post(c.delay(), [pending, answer] {
        pending->answer = answer;
        pending->timer.cancel();
      });
    });
  }
  boost::system::error_code ec;
  co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return pending->answer;
}

asio::awaitable<std::optional<std::string>> Cluster::PeerLine::call(std::string frame,
                                                                    std::chrono::milliseconds limit) {
  struct Pending {
    core::Timer timer;
    std::optional<std::string> answer;
  };
  auto pending = std::make_shared<Pending>(Pending{core::Timer(io, limit), {}});
  if (!cluster.chance(cluster.faults.lose_request) && !cluster.cut.contains({from, "peers"}) &&
      !cluster.cut.contains({to, "peers"}))
    cluster.post(cluster.delay(), [pending, frame, &c = cluster, to = to] {
      c.deliver_frame(to, frame, [pending](std::string answer) {
        pending->answer = std::move(answer);
        pending->timer.cancel();
      });
    });
  boost::system::error_code ec;
  co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return pending->answer;
}

void Cluster::ask(std::size_t node, http::Request request,
                  std::function<void(std::optional<http::Response>)> done, double limit_s) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](std::optional<http::Response> response) {
    if (*finished) return;
    *finished = true;
    done(std::move(response));
  };
  post(limit_s, [finish] { finish(std::nullopt); });
  if (chance(faults.lose_request)) return;
  const double there = chance(faults.late_request) ? limit_s + 20 * delay() : delay();
  post(there, [this, node, finish, request = std::move(request)]() mutable {
    if (!nodes_[node]) {
      finish(std::nullopt);
      return;
    }
    traffic_.add(now_, node, request.target, request.body, "", 0);
    asio::co_spawn(nodes_[node]->io, nodes_[node]->controller.handle(std::move(request)),
                   [this, node, finish](std::exception_ptr, http::Response response) {
                     traffic_.add(now_, node, "api", "", response.body, response.status);
                     if (chance(faults.lose_answer)) return;
                     post(delay(), [finish, response = std::move(response)] { finish(response); });
                   });
  });
}

bool Cluster::reachable(std::size_t node, const config::Endpoint& to) const {
  if (to.host == kStateHost) return !cut.contains({node, "state"});
  if (to.host == kCloudHost) return !cut.contains({node, "cloud"});
  for (const auto& [_, agent] : agents)
    if (agent.endpoint == to.text()) return !cut.contains({node, "zone " + agent.zone});
  return true;
}

void Cluster::deliver_frame(std::size_t node, const std::string& frame,
                            std::function<void(std::string)> done) {
  if (!nodes_[node]) return;
  asio::co_spawn(nodes_[node]->io, nodes_[node]->controller.handle_peer(frame),
                 [this, node, frame, done = std::move(done)](std::exception_ptr, std::string answer) {
                   traffic_.add(now_, node, "peer", frame, answer, 0);
                   if (chance(faults.lose_answer)) return;
                   post(delay(), [done, answer = std::move(answer)] { done(answer); });
                 });
}

Answer Cluster::deliver(std::size_t node, const config::Endpoint& to, http::Verb verb,
                        const std::string& target, const std::string& body) {
  auto answer = deliver_undigested(node, to, verb, target, body);
  traffic_.add(now_, node, target, body, answer.body, answer.status);
  return answer;
}

Answer Cluster::deliver_undigested(std::size_t node, const config::Endpoint& to, http::Verb verb,
                                   const std::string& target, const std::string& body) {
  if (to.host == kStateHost)
    return refused.contains(node) ? Answer{http::status::kServiceUnavailable, "{}"}
                                  : state.handle(verb, target, body, now_);
  if (to.host == kCloudHost) return cloud.handle(verb, target, body, now_);
  for (auto& [_, agent] : agents) {
    if (agent.endpoint != to.text() || agent.dead || agent.unreachable) continue;
    if (!agent.hanging) return agent.direct(body, jobs, now_);
    agent.held.push_back(body);
  }
  return {};
}

}  // namespace finchrun::sim
