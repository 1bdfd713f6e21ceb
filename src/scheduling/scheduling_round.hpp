/// A scheduling round: ranks and places the waiting tasks of the partitions that this controller leads, and
/// records the placements before any start command is sent.
#pragma once

#include <optional>
#include <vector>

#include "assignments/placement_recorder.hpp"
#include "controller/controller_state.hpp"
#include "scheduling/backlog.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/quota_sharing.hpp"
#include "scheduling/round_view.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

/// Splits a plan's placements into batches that each fit in one transaction: a gang as a whole, an array in
/// batches of at most `max_assignments`. Batches keep the plan's order, so that the lowest ranked tasks are
/// left out if not all can be recorded in this round. `demands` and `costs` are the input of the plan.
std::vector<assignments::PlannedPlacement> split_into_batches(core::PartitionId partition,
                                                              std::uint64_t fencing_token,
                                                              const std::vector<sched::Placement>& placements,
                                                              const std::vector<sched::Demand>& demands,
                                                              const std::vector<sched::Costs>& costs,
                                                              std::size_t max_assignments);

/// Removes the placed tasks from the plan's unplaced demands, which keep the tasks that still wait.
void remove_placed_tasks(const sched::Plan& plan, std::vector<sched::Demand>& demands);

/// The result of a round in one partition, for the log.
struct PartitionSummary {
  std::size_t machines = 0;
  std::size_t reserved = 0;          // machines with a reservation
  core::Resources free;              // after placing, on machines without a reservation
  core::Resources reserved_free;     // after placing, on machines with a reservation
  std::size_t over_quota = 0;        // unplaced demands that exceed their team's share
  std::size_t with_reservation = 0;  // unplaced demands with a reservation or preemption
};
PartitionSummary summarize(const sched::Plan& plan, const std::vector<sched::Demand>& demands);

/// Runs scheduling rounds, one at a time.
class SchedulingRound {
 public:
  SchedulingRound(controller::SharedState& state, assignments::PlacementRecorder& recorder,
                  Preemptor& preemptor, QuotaSharing& quota, const config::Settings& settings,
                  const config::Tuning& tuning)
      : state_(state),
        recorder_(recorder),
        preemptor_(preemptor),
        quota_(quota),
        settings_(settings),
        tuning_(tuning) {}

  /// Runs a round; `round_s` is the time since the previous one. If a placement could not be recorded,
  /// returns the earliest time for a retry.
  asio::awaitable<std::optional<core::TimePoint>> run(double round_s);
  /// The tasks that the last round could not place.
  [[nodiscard]] const Backlog& backlog() const { return backlog_; }

 private:
  /// Places tasks in one partition, makes room for the unplaced demands and adds them to the backlog. Returns
  /// the placements to record.
  std::vector<assignments::PlannedPlacement> place_partition(core::PartitionId partition, RoundView& view,
                                                             const std::vector<sched::Costs>& costs,
                                                             core::TimePoint now);
  void log_partition(core::PartitionId partition, const sched::Plan& plan,
                     const std::vector<sched::Demand>& demands);

  controller::SharedState& state_;
  assignments::PlacementRecorder& recorder_;
  Preemptor& preemptor_;
  QuotaSharing& quota_;
  const config::Settings& settings_;
  const config::Tuning& tuning_;
  Backlog backlog_;
};

}  // namespace finchrun::scheduling
