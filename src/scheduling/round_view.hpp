// What a scheduling round decides from: a snapshot, taken under one lock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "controller/controller_state.hpp"
#include "sched/place.hpp"
#include "sched/preempt.hpp"

namespace finchrun::scheduling {

// What one round decides from.
struct RoundView {
  struct PartitionView {
    std::uint64_t fencing_token = 0;
    std::vector<sched::Node> nodes;
    std::vector<sched::TeamQuota> rooms;
    std::vector<std::size_t> demands;  // indices into the view's
  };
  std::vector<sched::QueuedTasks> queue;
  std::vector<sched::Demand> demands;
  std::vector<double> usage, shares;
  std::vector<sched::GuaranteeUsage> guarantees;
  std::vector<core::Resources> used;  // by team, in all partitions
  std::set<core::JobId> within;       // jobs within their team's guarantee
  std::map<core::PartitionId, PartitionView> partitions;
  std::uint64_t attempt = 0;
};

/// The snapshot; nothing if nothing can be decided now. `round_s`: since the round before.
std::optional<RoundView> build_round_view(controller::ControllerState& w, double round_s,
                                          core::TimePoint now);

}  // namespace finchrun::scheduling
