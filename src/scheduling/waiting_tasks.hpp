// Which tasks of a job wait, by the records of all partitions.
#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.hpp"
#include "state/state_cache.hpp"

namespace finchrun::scheduling {

class WaitingTasks {
 public:
  WaitingTasks(const state::StateCache& cache, core::JobId id);

  [[nodiscard]] bool any() const { return any_; }
  // In ranges that belong to the partition.
  [[nodiscard]] std::uint32_t count(core::PartitionId partition) const;
  // The first of them, at most so many.
  [[nodiscard]] std::vector<std::uint32_t> first(core::PartitionId partition, std::size_t most) const;

 private:
  const jobs::JobRecord* job_;
  bool any_ = false;
  std::vector<bool> busy_;  // by task: done, or possibly on a machine
};

}  // namespace finchrun::scheduling
