// The machines known to this controller from the cloud's list, heartbeats and answers to direct commands.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "agent/cancellations.hpp"
#include "agent/machine.hpp"
#include "cloud/cloud_client.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "jobs/job.hpp"
#include "membership/partition_map.hpp"
#include "wire/messages.hpp"

namespace finchrun::agent {

/// What proves that an attempt is gone from its machine (docs/design.md, "Why the rules hold", 3).
enum class ExitProof {
  shown_ended,  ///< a message of its agent shows the end
  absent,  ///< a heartbeat under this leader's fencing token lacks it, and no start of it can be executed
  later_incarnation,  ///< a message comes from a later incarnation of its agent
  machine_deleted,    ///< the cloud has confirmed the deletion of its machine
  machine_not_listed  ///< the cloud's list shows that its machine is gone
};
const char* name_of(ExitProof proof);

/// A task attempt that is certainly not on its machine any more, while the key-value store still has its
/// assignment. Detected by the rules of docs/design.md "When a task is gone"; kept until the end is recorded,
/// and no longer than the term of leadership in which it was observed.
struct ObservedExit {
  core::JobId job;
  core::PartitionId partition;  ///< of the assignment's record
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  bool done = false;  ///< the task has completed; otherwise it runs again while its job is live
  /// The partition's fencing token when the exit was observed. Under a later one the attempt may have been
  /// started again by another leader, which did not know of the exit.
  std::uint64_t fencing_token = 0;
  ExitProof proof = ExitProof::shown_ended;

  /// Compares what identifies the exit: neither the fencing token nor the proof.
  friend auto operator<=>(const ObservedExit& left, const ObservedExit& right) {
    return left.identity() <=> right.identity();
  }
  friend bool operator==(const ObservedExit& left, const ObservedExit& right) {
    return left.identity() == right.identity();
  }

 private:
  [[nodiscard]] std::tuple<core::JobId, core::PartitionId, std::uint32_t, std::uint64_t, bool> identity()
      const {
    return {job, partition, task, attempt, done};
  }
};

/// A stop command that is sent directly to the agent and repeated until the task is proved gone.
struct StopRetry {
  core::TimePoint next_at{};  ///< time of the next send
  int attempts = 0;           ///< number of sends so far
};

/// All machines known to this controller, of all partitions, with the observations about their tasks that are
/// not recorded.
class Fleet {
 public:
  /// Returns the machine of this name, with this identity. An unknown machine is added. Every machine has its
  /// partition from the moment it is known: a machine without one is never released, and what is recorded on
  /// it would stay assigned forever.
  Machine& find_or_add(jobs::Names& names, const std::string& name, const MachineIdentity& identity);
  /// Like `find_or_add`; also sets `first_seen` of a machine that this controller sees for the first time.
  Machine& mark_seen(jobs::Names& names, const std::string& name, const MachineIdentity& identity,
                     core::TimePoint now);
  [[nodiscard]] Machine* find(core::MachineId id);
  [[nodiscard]] const Machine* find(core::MachineId id) const;
  [[nodiscard]] std::map<core::MachineId, Machine>& machines() { return machines_; }
  [[nodiscard]] const std::map<core::MachineId, Machine>& machines() const { return machines_; }

  /// The types that the cloud offers; empty: not known yet.
  std::vector<cloud::MachineType> machine_types;
  std::vector<core::MachineTypeId> machine_type_ids;  ///< of `machine_types`, in the same order
  /// Returns the type of this id; null for a type that the cloud does not offer.
  [[nodiscard]] const cloud::MachineType* machine_type(core::MachineTypeId id) const;

  std::set<ObservedExit> observed_exits;
  /// Adds the exit, in place of an observation of an earlier term. Returns true if it is new in this term.
  bool observe_exit(const ObservedExit& exit);
  /// Drops the observation that the assigned attempt has ended.
  void withdraw_exit(core::JobId job, core::PartitionId partition, const jobs::TaskAssignment& assignment);
  /// Returns true if the assigned attempt is known to be gone from its machine, completed or not.
  [[nodiscard]] bool has_ended(core::JobId job, core::PartitionId partition,
                               const jobs::TaskAssignment& assignment) const;

  /// Attempts that a heartbeat has shown on their machine, with the time of the first such heartbeat.
  std::map<TaskAttempt, core::TimePoint> confirmed_starts;
  /// Machines that are proved gone: the cloud has confirmed the deletion, or its list shows it. Late
  /// heartbeats and lists don't add them again.
  std::set<core::MachineId> deleted_machines;
  [[nodiscard]] bool was_deleted(const jobs::Names& names, const std::string& name) const;
  /// Tasks being preempted, with the grace period in seconds that each gets to save its checkpoint.
  std::map<TaskAttempt, double> preempting;
  /// Cancellations whose tasks may still be on machines, and what was done about them.
  Cancellations cancellations;
  /// Stop commands for tasks of cancelled jobs.
  std::map<TaskAttempt, StopRetry> stop_retries;

 private:
  std::map<core::MachineId, Machine> machines_;
};

}  // namespace finchrun::agent
