// Simulated agents: their tasks' lives, their heartbeats, and the rules that are checked when a task starts.
#include <utility>

#include "http/status.hpp"
#include "sim/cluster.hpp"

namespace finchrun::sim {
namespace {

constexpr double kForeverS = 1e6;
// An agent's time-out for a heartbeat; without a way to any controller it notices sooner.
constexpr double kHeartbeatTimeoutS = 4, kNoRouteS = 1;
constexpr double kSoonS = 0.5, kRedirectedS = 0.1;

}  // namespace

void Cluster::step_agent(Agent& agent) {
  if (agent.dead || agent.hanging) return;
  expire_lease(agent);
  std::vector<std::string> completed;
  for (auto& [key, task] : agent.tasks)
    if (step_task(agent, task)) completed.push_back(key.first);
  for (const auto& id : completed)
    if (on_end) on_end(id);
  if (agent.in_flight || agent.next_report > now_) return;
  send_heartbeat(agent);
}

void Cluster::expire_lease(Agent& agent) {
  const auto before = agent.agent_incarnation;
  const auto lost =
      static_cast<std::size_t>(std::count_if(agent.tasks.begin(), agent.tasks.end(), [&](const auto& item) {
        return item.second.on_machine() && !jobs.at(item.first.first).asked_cancel;
      }));
  agent.expire(settings_.lease_s, now_);
  killed_by_lease += agent.agent_incarnation != before ? lost : 0;
}

// One step of what a task does by itself. True if it has completed.
bool Cluster::step_task(Agent& agent, Task& task) {
  if (task.state == "pulling" && task.next <= now_) {
    task.state = "waiting";
    start_task(agent, task);
    agent.changed = true;
  }
  if (task.state == "waiting") {
    run_task(agent, task);
    return false;
  }
  if (task.next > now_) return false;
  if (task.state == "running") {
    task.state = "ended";
    task.cause = "done";
    agent.changed = true;
    auto& job = jobs.at(task.job);
    job.done.insert(task.number);
    if (job.gang)
      for (std::uint32_t i = 0; i < job.tasks; ++i) job.done.insert(i);
    return true;
  }
  if (task.state == "flushing") {
    task.state = "ended";
    task.cause = "halted";
    task.saved = true;
    agent.changed = true;
  }
  return false;
}

// Runs a task that waits, unless it is a gang's and others of its attempt are not there yet.
void Cluster::run_task(Agent& agent, Task& task) {
  auto& job = jobs.at(task.job);
  if (job.gang) {
    std::size_t present = 0;
    for_each_task([&](const Agent&, const Task& other) {
      const bool started = other.state == "waiting" || other.state == "running";
      present += other.job == task.job && other.attempt == task.attempt && started ? 1 : 0;
    });
    if (present != job.tasks) return;
  }
  task.state = "running";
  if (job.standing) job.run_s = kForeverS;
  task.next = now_ + core::to_duration(job.done.contains(task.number) ? 0 : job.run_s + job.apart_s * task.number);
  agent.changed = true;
}

void Cluster::start_task(Agent& agent, Task& task) {
  ++starts;
  started_cancelled += jobs.at(task.job).told_cancelled ? 1 : 0;
  check_start(agent, task);
}

void Cluster::send_heartbeat(Agent& agent) {
  agent.in_flight = true;
  agent.changed = false;
  http::Request request{"POST", "/hello", json::serialize(agent.heartbeat())};
  const bool blocked = agent.mute || cut.contains({agent.node, "zone " + agent.zone});
  auto done = [this, name = agent.name, sent = now_,
               incarnation = agent.agent_incarnation](std::optional<http::Response> response) {
    const auto it = agents.find(name);
    if (it == agents.end() || it->second.dead || it->second.hanging) return;
    it->second.in_flight = false;
    it->second.next_report = now_ + core::to_duration(settings_.report_s);
    take_heartbeat_answer(it->second, sent, incarnation, response);
  };
  if (blocked) {
    post(agent.mute ? kNoRouteS : kHeartbeatTimeoutS, [done] { done(std::nullopt); });
    return;
  }
  const auto ignore = [](std::optional<http::Response>) {};
  if (chance(faults.copy_report)) {
    const double after = std::uniform_real_distribution<double>(0.5, faults.copy_after_s)(random);
    post(after,
         [this, request, ignore] { ask(random() % nodes_.size(), request, ignore, kHeartbeatTimeoutS); });
  }
  if (agent.unreachable) {
    ask(agent.node, std::move(request), ignore, kHeartbeatTimeoutS);
    post(kHeartbeatTimeoutS, [done] { done(std::nullopt); });
    return;
  }
  ask(agent.node, std::move(request), std::move(done), kHeartbeatTimeoutS);
}

// What an agent does with the answer to a heartbeat that it sent at `sent`, in that incarnation; nothing: no
// answer.
void Cluster::take_heartbeat_answer(Agent& agent, TimePoint sent, std::uint64_t incarnation,
                                    const std::optional<http::Response>& response) {
  const int status = response ? response->status : http::status::kNoAnswer;
  if (status == http::status::kOk) {
    const auto answer = json::parse(response->body).as_object();
    const auto fencing_token = answer.at("baton").to_number<std::uint64_t>();
    if (fencing_token < agent.fencing_token || incarnation != agent.agent_incarnation) return;
    agent.fencing_token = fencing_token;
    agent.last_answered = sent;
    agent.execute(answer.at("orders").as_array(), jobs, now_);
    if (agent.changed) agent.next_report = now_ + core::to_duration(kSoonS);
    return;
  }
  if (status == http::status::kMisdirectedRequest) {
    const auto answer = json::parse(response->body).as_object();
    if (const auto* leader = answer.if_contains("foreman")) {
      const auto node = static_cast<std::size_t>(leader->as_string().back() - '0');
      if (node != agent.node) {
        agent.node = node;
        agent.next_report = now_ + core::to_duration(kRedirectedS);
        return;
      }
    }
  }
  agent.node = (agent.node + 1) % nodes_.size();
}

void Cluster::hang(Agent& agent, double for_s) {
  agent.hanging = true;
  at(for_s, [this, name = agent.name] {
    const auto it = agents.find(name);
    if (it == agents.end()) return;
    Agent& resumed = it->second;
    resumed.hanging = resumed.in_flight = false;
    resumed.expire(settings_.lease_s, now_);
    for (const auto& body : std::exchange(resumed.held, {})) resumed.direct(body, jobs, now_);
  });
}

}  // namespace finchrun::sim
