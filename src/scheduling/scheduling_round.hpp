// A scheduling round: the waiting tasks of our partitions are ranked, placed, and the placements recorded
// before any start command leaves.
#pragma once

#include <optional>

#include "assignments/placement_recorder.hpp"
#include "controller/controller_state.hpp"
#include "scheduling/backlog.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/quota_sharing.hpp"
#include "scheduling/round_view.hpp"

namespace finchrun::scheduling {

namespace asio = boost::asio;

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
