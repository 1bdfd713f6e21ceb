// Simulated agents: the states of their tasks, their heartbeats, and the checks when a task starts.
#include <utility>

#include "http/status.hpp"
#include "sim/deployment.hpp"

namespace finchrun::sim {
namespace {

constexpr double kServiceRunS = 1e6;  // longer than any simulation
// An agent's timeout for a heartbeat, and the time after which it notices that it has no route.
constexpr double kHeartbeatTimeoutS = 4, kNoRouteTimeoutS = 1;
constexpr double kChangeReportDelayS = 0.5, kRedirectDelayS = 0.1;

}  // namespace

void Deployment::step_agent(Agent& agent) {
  if (agent.dead || agent.suspended) return;
  expire_lease(agent);
  std::vector<std::string> completed;
  for (auto& [key, task] : agent.tasks)
    if (step_task(agent, task)) completed.push_back(key.first);
  for (const auto& id : completed)
    if (on_task_completed) on_task_completed(id);
  if (agent.in_flight || agent.next_heartbeat > now_) return;
  send_heartbeat(agent);
}

void Deployment::expire_lease(Agent& agent) {
  const auto previous_incarnation = agent.agent_incarnation;
  const auto killed_tasks =
      static_cast<std::size_t>(std::count_if(agent.tasks.begin(), agent.tasks.end(), [&](const auto& item) {
        return item.second.is_on_machine() && !jobs.at(item.first.first).cancellation_requested;
      }));
  agent.expire_lease(settings_.agent_lease_s, now_);
  tasks_killed_by_lease += agent.agent_incarnation != previous_incarnation ? killed_tasks : 0;
}

// Advances a task's state if its next transition is due. Returns true if the task has completed.
bool Deployment::step_task(Agent& agent, Task& task) {
  if (task.state == "pulling" && task.next_transition <= now_) {
    task.state = "waiting";
    start_task(agent, task);
    agent.changed = true;
  }
  if (task.state == "waiting") {
    run_task(agent, task);
    return false;
  }
  if (end_without_gang_peers(agent, task) || task.next_transition > now_) return false;
  if (task.state == "running") {
    task.state = "ended";
    task.cause = agent.faulty ? "error" : "done";
    agent.changed = true;
    if (agent.faulty) return false;
    auto& job = jobs.at(task.job);
    job.completed.insert(task.number);
    if (job.gang)
      for (std::uint32_t i = 0; i < job.tasks; ++i) job.completed.insert(i);
    return true;
  }
  if (task.state == "flushing") {
    task.state = "ended";
    task.cause = "halted";
    task.checkpoint_saved = true;
    agent.changed = true;
  }
  return false;
}

// Returns true if all tasks of the gang's attempt are on machines that do not hang. Completed peers count.
bool Deployment::is_gang_present(const Task& task) const {
  std::size_t present_tasks = 0;
  for_each_task([&](const Agent& agent, const Task& other) {
    if (agent.dead || agent.suspended) return;
    const bool present = other.state == "waiting" || other.state == "running" || other.cause == "done";
    present_tasks += other.job == task.job && other.attempt == task.attempt && present ? 1 : 0;
  });
  return present_tasks == jobs.at(task.job).tasks;
}

// Ends a running gang's task if a peer has been missing for too long. Returns true if it has ended.
bool Deployment::end_without_gang_peers(Agent& agent, Task& task) {
  const auto& job = jobs.at(task.job);
  if (!job.gang || task.state != "running" || job.completed.contains(task.number)) return false;
  if (is_gang_present(task)) {
    task.peers_missing_since.reset();
    return false;
  }
  if (!task.peers_missing_since) task.peers_missing_since = now_;
  if (core::seconds_between(*task.peers_missing_since, now_) < settings_.gang_peer_s) return false;
  task.state = "ended";
  task.cause = "mates_gone";
  agent.changed = true;
  return true;
}

// Runs a waiting task. A gang's task runs only when all tasks of its attempt are on their machines.
void Deployment::run_task(Agent& agent, Task& task) {
  auto& job = jobs.at(task.job);
  if (job.gang && !is_gang_present(task)) return;
  task.state = "running";
  if (job.is_service) job.run_s = kServiceRunS;
  task.next_transition = now_ + core::to_duration(job.completed.contains(task.number)
                                                      ? 0
                                                      : job.run_s + job.run_increment_s * task.number);
  agent.changed = true;
}

void Deployment::start_task(Agent& agent, Task& task) {
  ++task_starts;
  starts_after_cancellation += jobs.at(task.job).reported_cancelled_at ? 1 : 0;
  check_start(agent, task);
}

void Deployment::send_heartbeat(Agent& agent) {
  agent.in_flight = true;
  agent.changed = false;
  http::Request request{"POST", "/hello", json::serialize(agent.heartbeat())};
  const bool blocked =
      agent.outbound_blocked || blocked_links.contains({agent.controller, "zone " + agent.zone});
  auto done = [this, name = agent.name, sent = now_,
               incarnation = agent.agent_incarnation](std::optional<http::Response> response) {
    const auto it = agents.find(name);
    if (it == agents.end() || it->second.dead || it->second.suspended) return;
    it->second.in_flight = false;
    it->second.next_heartbeat = now_ + core::to_duration(settings_.heartbeat_interval_s);
    handle_heartbeat_response(it->second, sent, incarnation, response);
  };
  if (blocked) {
    post(agent.outbound_blocked ? kNoRouteTimeoutS : kHeartbeatTimeoutS, [done] { done(std::nullopt); });
    return;
  }
  const auto ignore = [](std::optional<http::Response>) {};
  if (chance(faults.duplicate_heartbeat_probability)) {
    const double delay_s = random_s(0.5, faults.max_duplicate_delay_s);
    post(delay_s, [this, request, ignore] {
      send_request(random() % controller_count(), request, ignore, kHeartbeatTimeoutS);
    });
  }
  if (agent.inbound_blocked) {
    send_request(agent.controller, std::move(request), ignore, kHeartbeatTimeoutS);
    post(kHeartbeatTimeoutS, [done] { done(std::nullopt); });
    return;
  }
  send_request(agent.controller, std::move(request), std::move(done), kHeartbeatTimeoutS);
}

// Handles the response to a heartbeat that the agent sent at `sent` in `incarnation`; nullopt means that no
// response arrived.
void Deployment::handle_heartbeat_response(Agent& agent, TimePoint sent, std::uint64_t incarnation,
                                           const std::optional<http::Response>& response) {
  const int status = response ? response->status : http::status::kNoAnswer;
  if (status == http::status::kOk) {
    const auto body = json::parse(response->body).as_object();
    const auto fencing_token = body.at("baton").to_number<std::uint64_t>();
    if (fencing_token < agent.fencing_token || incarnation != agent.agent_incarnation) return;
    agent.fencing_token = fencing_token;
    agent.last_answered = sent;
    agent.execute(body.at("orders").as_array(), jobs, now_);
    if (agent.changed) agent.next_heartbeat = now_ + core::to_duration(kChangeReportDelayS);
    return;
  }
  if (status == http::status::kMisdirectedRequest) {
    const auto body = json::parse(response->body).as_object();
    if (const auto* leader = body.if_contains("foreman")) {
      const auto controller = static_cast<std::size_t>(leader->as_string().back() - '0');
      if (controller != agent.controller) {
        agent.controller = controller;
        agent.next_heartbeat = now_ + core::to_duration(kRedirectDelayS);
        return;
      }
    }
  }
  agent.controller = (agent.controller + 1) % controller_count();
}

void Deployment::repeat_commands() {
  for (auto& [_, agent] : agents) {
    if (agent.dead || agent.suspended || agent.inbound_blocked) continue;
    const auto starts_before = agent.starts_executed;
    repeated_commands += agent.repeat_commands(jobs, now_);
    starts_by_repeated_commands += agent.starts_executed - starts_before;
  }
}

void Deployment::restart(Agent& agent, bool new_incarnation) {
  agent.tasks.clear();
  agent.changed = true;
  if (!new_incarnation) return;
  ++agent.agent_incarnation;
  agent.last_answered = now_;
}

void Deployment::suspend(Agent& agent, double duration_s) {
  agent.suspended = true;
  after(duration_s, [this, name = agent.name] {
    const auto it = agents.find(name);
    if (it == agents.end()) return;
    Agent& resumed = it->second;
    resumed.suspended = resumed.in_flight = false;
    resumed.expire_lease(settings_.agent_lease_s, now_);
    for (const auto& body : std::exchange(resumed.deferred_commands, {}))
      resumed.handle_commands(body, jobs, now_);
  });
}

}  // namespace finchrun::sim
