// What this controller knows of the machines: from the cloud's list, from heartbeats, from its own commands.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cloud/cloud.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "jobs/job.hpp"
#include "membership/partition_map.hpp"
#include "wire/messages.hpp"

namespace finchrun::agent {

struct Machine {
  core::MachineId id;
  std::string name;
  std::string endpoint;
  core::MachineTypeId type;
  core::ZoneId zone;
  core::PartitionId partition;
  bool spot = false;
  core::TimePoint first_seen{};

  // The cloud's list.
  bool listed = false;  // in the newest list
  bool ever_listed = false;
  std::string status;  // starting, running, failed
  core::TimePoint starting_since{};

  // Heartbeats, newest only.
  bool has_heartbeat = false;
  std::uint64_t agent_incarnation = 0, sequence = 0, fencing_token = 0;
  core::TimePoint last_heartbeat{};  // that its agent sent by itself
  core::TimePoint last_probe{};
  std::optional<core::TimePoint>
      direct_command_failed_at;     // a direct command got no answer, and none has since
  core::TimePoint redirected_at{};  // when we last told its agent to heartbeat to the leader
  bool relayed = false;  // its last heartbeat to us was relayed though its agent had not been sent away
  std::optional<double> termination_notice_s;
  // Since when nothing shows that what we say arrives there, though its heartbeats come. Such a machine gets
  // nothing new: its tasks would wait on it in vain.
  std::optional<core::TimePoint> unreachable_since;
  core::TimePoint unreachable_in_incarnation{};  // the same, but since its newest incarnation began
  [[nodiscard]] bool unreachable() const { return unreachable_since.has_value(); }
  void mark_unreachable(core::TimePoint now) {
    unreachable_in_incarnation = now;
    if (!unreachable_since) unreachable_since = now;
  }
  void heard() { unreachable_since.reset(); }
  std::size_t unrecorded_tasks = 0;  // pieces on it that no record knows
  core::TimePoint idle_since{};

  // Images it should hold, least recently used first.
  std::vector<std::pair<core::ImageId, double>> images;

  [[nodiscard]] bool holds(core::ImageId image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.first == image; });
  }

  // Faults: jobs whose tasks failed here since the last task that ended well.
  std::set<core::JobId> failed_jobs;
  core::TimePoint cordoned_until{};
  bool quarantined = false;
  bool terminating = false;
  bool gone = false;  // its deletion was answered; the list may show it a little longer

  // Room is being made here for this job.
  core::JobId reserved_for;
  core::TimePoint reserved_ready{};  // when the room is expected to be there
  core::TimePoint reserved_until{};
};

// An entry of a run record, as a key.
using TaskAttempt = std::tuple<core::JobId, std::uint32_t, std::uint64_t>;  // job, task, attempt

// What heartbeats have shown and the key-value store does not know yet.
struct ObservedExit {
  core::JobId job;
  core::PartitionId partition;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  bool done = false;
  auto operator<=>(const ObservedExit&) const = default;
};

// A start command that went straight to the agent.
struct DirectStart {
  std::uint64_t fencing_token = 0;
  // Sequence number of the agent's answer; nothing: it did not answer, and may still carry the command out.
  std::optional<std::uint64_t> answered_sequence;
  core::TimePoint at{};
};

// A stop command that goes straight to the agent, again and again until the task is proved gone.
struct StopRetry {
  core::TimePoint next{};
  int tries = 0;
};

class Fleet {
 public:
  Machine& intern(jobs::Names& names, const std::string& name) {
    const auto id = names.machines.intern(name);
    auto [it, fresh] = machines_.try_emplace(id);
    if (fresh) {
      it->second.id = id;
      it->second.name = name;
    }
    return it->second;
  }
  [[nodiscard]] Machine* find(core::MachineId id) {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] const Machine* find(core::MachineId id) const {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] std::map<core::MachineId, Machine>& all() { return machines_; }
  [[nodiscard]] const std::map<core::MachineId, Machine>& all() const { return machines_; }

  std::vector<cloud::MachineType> machine_types;  // empty: not known yet
  std::vector<core::MachineTypeId> machine_type_ids;
  [[nodiscard]] const cloud::MachineType* machine_type(core::MachineTypeId t) const {
    for (std::size_t i = 0; i < machine_type_ids.size(); ++i)
      if (machine_type_ids[i] == t) return &machine_types[i];
    return nullptr;
  }

  std::set<ObservedExit> observed_exits;
  [[nodiscard]] bool ended(core::JobId job, core::PartitionId partition,
                           const jobs::TaskAssignment& e) const {
    return observed_exits.contains({job, partition, e.task, e.attempt, false}) ||
           observed_exits.contains({job, partition, e.task, e.attempt, true});
  }
  std::map<TaskAttempt, core::TimePoint>
      confirmed_starts;  // starts that a heartbeat has shown on their machine, and since when
  std::map<TaskAttempt, DirectStart> direct_starts;
  // Machines whose deletion was answered: no late heartbeat or list brings them back.
  std::set<core::MachineId> deleted;
  [[nodiscard]] bool was_deleted(const jobs::Names& names, const std::string& name) const {
    const auto id = names.machines.find(name);
    return id && deleted.contains(*id);
  }
  std::map<TaskAttempt, double> preempting;       // starts to be stopped, with the grace to save
  std::map<TaskAttempt, StopRetry> stop_retries;  // tasks of cancelled jobs

 private:
  std::map<core::MachineId, Machine> machines_;
};

}  // namespace finchrun::agent
