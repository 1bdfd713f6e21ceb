// The protocol's rules, checked after every step against what agents do and users were told.
#include <cmath>

#include "sim/cluster.hpp"

namespace finchrun::sim {
namespace {

constexpr double kRounding = 1e-9;
constexpr double kMachineGpus = 4;

}  // namespace

// Rules ran_twice and wrong_place, when a task starts.
void Cluster::check_start(const Agent& agent, const Task& task) {
  for_each_task([&](const Agent& other_agent, const Task& other) {
    if (&other != &task && other.job == task.job && other.number == task.number && other.on_machine() &&
        other_agent.name != agent.name)
      broken.push_back("ran_twice " + task.job + "/" + std::to_string(task.number));
  });
  const auto& job = jobs.at(task.job);
  if (const auto* zone = job.spec.if_contains("hall");
      zone && zone->is_string() && zone->as_string() != agent.zone)
    broken.push_back("wrong_place " + task.job);
  check_scatter(agent, task);
  if (!job.spec.at("together").as_bool()) return;
  for_each_task([&](const Agent& other_agent, const Task& other) {
    if (other.job == task.job && other.on_machine() && other_agent.zone != agent.zone)
      broken.push_back("wrong_place " + task.job);
  });
}

void Cluster::check_scatter(const Agent& agent, const Task& task) {
  const auto& job = jobs.at(task.job);
  if (!job.spec.at("scatter").as_bool()) return;
  std::size_t in_zone = 0;
  for_each_task([&](const Agent& other_agent, const Task& other) {
    in_zone += other.job == task.job && other.on_machine() && other_agent.zone == agent.zone ? 1 : 0;
  });
  if (in_zone > (job.tasks + 1) / 2) broken.push_back("wrong_place " + task.job + " not spread");
}

void Cluster::count_replicas() {
  constexpr double kGraceS = 5, kStepS = 0.01;
  for (const auto& [id, job] : jobs) {
    if (!job.standing || !job.accepted || job.asked_cancel || core::seconds_between(job.accepted_at, now_) < kGraceS)
      continue;
    std::size_t running = 0;
    for_each_task([&](const Agent& agent, const Task& task) {
      running += !agent.dead && task.job == id && task.state == "running" ? 1 : 0;
    });
    replica_s_due += kStepS * job.tasks;
    replica_s_served += kStepS * static_cast<double>(running);
  }
}

// Rules quota, ran_cancelled and forgotten, and what is not a rule of the protocol: no job is left waiting.
void Cluster::check() {
  std::map<std::string, double> used;
  for_each_task([&](const Agent& agent, const Task& task) {
    if (agent.dead || !task.on_machine()) return;
    const auto& job = jobs.at(task.job);
    used[job.team] += job.gpus;
    if (job.told_cancelled && core::seconds_between(*job.told_cancelled, now_) > settings_.cancel_s)
      broken.push_back("ran_cancelled " + task.job);
  });
  constexpr double kLongestSilenceS = 75;
  for (const auto& [id, job] : jobs)
    if (job.accepted && !job.asked_cancel &&
        core::seconds_between(std::max(job.answered, troubles_over), now_) > kLongestSilenceS)
      broken.push_back("forgotten " + id + ": no question about it is answered");
  for (const auto& team : settings_.teams)
    if (used[team.name] > team.gpus_max + kRounding) broken.push_back("quota " + team.name);
  check_waiting();
  count_replicas();
}

// Once the troubles are over no job waits for 90 s while a machine that fits has room and its team is under
// its limit. Counted strictly: what a machine has, and what it has been told to start.
void Cluster::check_waiting() {
  constexpr double kLongestWaitS = 90;
  if (troubles_over == TimePoint{} || now_ < troubles_over) return;
  const Room room = room_left();
  for (const auto& [id, job] : jobs) {
    if (!could_start(id, job, room)) {
      fits_since_.erase(id);
    } else if (core::seconds_between(fits_since_.try_emplace(id, now_).first->second, now_) > kLongestWaitS) {
      broken.push_back("left waiting " + id);
    }
  }
}

Cluster::Room Cluster::room_left() const {
  Room room;
  for (const auto& team : settings_.teams) room.by_team[team.name] = team.gpus_max;
  for (const auto& [_, agent] : agents) {
    double left = agent.dead || agent.hanging || agent.unreachable || agent.mute ? 0 : kMachineGpus;
    for (const auto& [key, task] : agent.tasks) {
      if (task.state == "ended") continue;
      const auto& job = jobs.at(key.first);
      left -= job.gpus;
      room.by_team[job.team] -= job.gpus;
      ++room.tasks[key.first];
    }
    room.by_machine[agent.zone].push_back(left);
  }
  return room;
}

// Not said of services: some zone has room, though perhaps not one that may take another replica.
bool Cluster::could_start(const std::string& id, const JobTruth& job, const Room& room) {
  if (job.standing || !job.accepted || job.asked_cancel) return false;
  const auto found = room.tasks.find(id);
  const std::size_t started = found == room.tasks.end() ? 0 : found->second;
  if (job.done.size() + started >= job.tasks || (job.gang && started > 0)) return false;
  const double needs = job.gang ? job.tasks : 1;
  if (room.by_team.at(job.team) + kRounding < needs * job.gpus) return false;
  return std::any_of(room.by_machine.begin(), room.by_machine.end(), [&](const auto& zone) {
    double places = 0;
    for (const double gpus : zone.second) places += std::floor((gpus + kRounding) / job.gpus);
    return places >= needs;
  });
}

}  // namespace finchrun::sim
