// What this controller knows of the machines: from the cloud's list, from heartbeats, from its own commands.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "agent/machine.hpp"
#include "cloud/cloud_client.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "jobs/job.hpp"
#include "membership/partition_map.hpp"
#include "wire/messages.hpp"

namespace finchrun::agent {

/// One start of a task, as a key: job, task, attempt. Attempts of a job are never numbered alike.
using TaskAttempt = std::tuple<core::JobId, std::uint32_t, std::uint64_t>;

/// A task attempt that is certainly gone from its machine, though the key-value store still names it. Found
/// by docs/design.md "When a task is gone"; kept until the end is recorded.
struct ObservedExit {
  core::JobId job;
  core::PartitionId partition;  ///< whose records name it
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  bool done = false;  ///< the task has completed; else it runs again unless its job is over
  auto operator<=>(const ObservedExit&) const = default;
};

/// A start command that went straight to the agent. Until its answer is known, or a new leader's fencing
/// token makes it void, the agent may carry it out at any later time: the task stays booked (rule
/// `ran_twice`).
struct DirectStart {
  std::uint64_t fencing_token = 0;  ///< under which it was sent
  /// Sequence number of the agent's answer; nothing: it did not answer, and may still carry the command out.
  std::optional<std::uint64_t> answered_sequence;
  core::TimePoint at{};  ///< when it was sent
};

/// A stop command that goes straight to the agent, again and again until the task is proved gone.
struct StopRetry {
  core::TimePoint next{};  ///< when to send it again
  int tries = 0;           ///< sent so far
};

/// All machines that this controller knows, whoever leads their partitions, and what is known of their tasks
/// beyond the records.
class Fleet {
 public:
  /// The machine of this name; one that was not known is added, with its name only.
  Machine& intern(jobs::Names& names, const std::string& name);
  /// The same; notes when this controller first saw it.
  Machine& see(jobs::Names& names, const std::string& name, core::TimePoint now);
  [[nodiscard]] Machine* find(core::MachineId id);
  [[nodiscard]] const Machine* find(core::MachineId id) const;
  [[nodiscard]] std::map<core::MachineId, Machine>& all() { return machines_; }
  [[nodiscard]] const std::map<core::MachineId, Machine>& all() const { return machines_; }

  /// As the cloud offers them; empty: not known yet.
  std::vector<cloud::MachineType> machine_types;
  std::vector<core::MachineTypeId> machine_type_ids;  ///< of `machine_types`, one by one
  /// Nothing for a type that the cloud does not offer.
  [[nodiscard]] const cloud::MachineType* machine_type(core::MachineTypeId id) const;

  std::set<ObservedExit> observed_exits;
  /// The assignment's task is known to be gone from its machine, completed or not.
  [[nodiscard]] bool ended(core::JobId job, core::PartitionId partition,
                           const jobs::TaskAssignment& assignment) const;

  /// Starts that a heartbeat has shown on their machine, and since when.
  std::map<TaskAttempt, core::TimePoint> confirmed_starts;
  std::map<TaskAttempt, DirectStart> direct_starts;
  /// Machines whose deletion was answered: no late heartbeat or list brings them back.
  std::set<core::MachineId> deleted;
  [[nodiscard]] bool was_deleted(const jobs::Names& names, const std::string& name) const;
  /// Tasks to be stopped to make room, with the grace in seconds that each gets to save its checkpoint.
  std::map<TaskAttempt, double> preempting;
  /// Of tasks of cancelled jobs.
  std::map<TaskAttempt, StopRetry> stop_retries;

 private:
  std::map<core::MachineId, Machine> machines_;
};

}  // namespace finchrun::agent
