/// A scheduling round: the waiting tasks of our partitions are ranked, placed, and the placements recorded
/// before any start command leaves.
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

/// Cuts a plan's placements into pieces that are recorded one by one: a gang as a whole, an array in pieces
/// of `most_assignments` at most, so that each fits into one transaction. The pieces keep the plan's order:
/// what does not get into this round's transactions is what ranks lowest. `demands` and `costs`: those that
/// the plan was made from.
std::vector<assignments::PlannedPlacement> recordable_pieces(core::PartitionId partition,
                                                             std::uint64_t fencing_token,
                                                             const std::vector<sched::Placement>& placements,
                                                             const std::vector<sched::Demand>& demands,
                                                             const std::vector<sched::Costs>& costs,
                                                             std::size_t most_assignments);

/// Takes what the plan has placed out of its unplaced demands, which keep the tasks that still wait.
void subtract_placed(const sched::Plan& plan, std::vector<sched::Demand>& demands);

/// What a round has done in one partition, for the log.
struct PartitionSummary {
  std::size_t machines = 0;
  std::size_t reserved = 0;          // machines with a reservation
  core::Resources free;              // after placing, on machines without a reservation
  core::Resources reserved_free;     // the same, on the others
  std::size_t over_quota = 0;        // unplaced demands that their team's share here does not allow
  std::size_t with_reservation = 0;  // unplaced demands for which room is made or kept
};
PartitionSummary summarize(const sched::Plan& plan, const std::vector<sched::Demand>& demands);

/// Runs one round at a time.
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

  /// Runs a round; `round_s`: since the one before. When something could not be recorded: the moment from
  /// which the next round may try again.
  asio::awaitable<std::optional<core::TimePoint>> run(double round_s);
  /// What the newest round could not place.
  [[nodiscard]] const Backlog& backlog() const { return backlog_; }

 private:
  /// Places in one partition, makes room for what is left, and notes that as backlog. Returns what to record.
  std::vector<assignments::PlannedPlacement> place_in(core::PartitionId partition, RoundView& view,
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
