/// The waiting tasks of a job, determined from the records of all partitions.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"
#include "state/state_cache.hpp"

namespace finchrun::scheduling {

/// The waiting tasks of one job: tasks that are not done and cannot be on a machine in any partition (rule
/// `ran_twice`). Points into the state cache, so it is valid only while the state's lock is held.
class WaitingTasks {
 public:
  /// The job must be in the cache.
  WaitingTasks(const state::StateCache& cache, core::JobId id);

  /// Returns true if any task of the job waits.
  [[nodiscard]] bool has_waiting() const { return has_waiting_; }
  /// Returns the number of waiting tasks in the partition's ranges.
  [[nodiscard]] std::uint32_t count(core::PartitionId partition) const;
  /// Returns up to `max_count` of the partition's waiting tasks in ascending order.
  [[nodiscard]] std::vector<std::uint32_t> first_tasks(core::PartitionId partition,
                                                       std::size_t max_count) const;

 private:
  void mark_busy(const jobs::JobAssignments& recorded);

  const jobs::JobRecord* job_;
  bool has_waiting_ = false;
  std::vector<bool> busy_;  // by task: done or possibly on a machine; empty if none waits
};

}  // namespace finchrun::scheduling
