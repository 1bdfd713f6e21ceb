/// Which tasks of a job wait, by the records of all partitions.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"
#include "state/state_cache.hpp"

namespace finchrun::scheduling {

/// The waiting tasks of one job: neither done nor possibly on a machine, in whatever partition (rule
/// `ran_twice`). Points into the cache: valid as long as the lock under which it was made is held.
class WaitingTasks {
 public:
  /// The job must be known to the cache.
  WaitingTasks(const state::StateCache& cache, core::JobId id);

  /// Does any task of the job wait?
  [[nodiscard]] bool any() const { return any_; }
  /// How many wait in ranges that belong to the partition.
  [[nodiscard]] std::uint32_t count(core::PartitionId partition) const;
  /// The first of them, `most` at most, by rising number.
  [[nodiscard]] std::vector<std::uint32_t> first(core::PartitionId partition, std::size_t most) const;

 private:
  void mark_busy(const jobs::JobAssignments& run);

  const jobs::JobRecord* job_;
  bool any_ = false;
  std::vector<bool> busy_;  // by task: done, or possibly on a machine; empty if none waits
};

}  // namespace finchrun::scheduling
