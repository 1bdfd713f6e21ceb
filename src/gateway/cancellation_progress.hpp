// Follows the tasks of cancelled jobs until they are proved gone, for the log and the metrics.
#pragma once

#include <cstddef>

#include "controller/controller_state.hpp"

namespace finchrun::gateway {

/// Tasks of cancelled jobs that may still be on machines of partitions led here.
struct LingeringTasks {
  std::size_t tasks = 0;
  double oldest_s = 0;  ///< since this controller learnt of the oldest of their cancellations
};

/// Returns the number of the job's tasks in partitions led here that are not proved gone.
std::size_t lingering_tasks(const controller::ControllerState& state, core::JobId job);
LingeringTasks lingering_tasks(const controller::ControllerState& state, core::TimePoint now);

/// Logs, once each, for every cancelled job with tasks in a partition led here: how this controller learnt of
/// the cancellation, that its stops have not taken effect in time, and that its last task is proved gone.
/// Forgets cancellations of jobs that can't have tasks any more.
void log_cancellation_progress(controller::ControllerState& state, core::TimePoint now);

/// Logs when leases stop being renewed because cancellations may be unknown, and when that ends.
class RenewalLog {
 public:
  void update(const controller::ControllerState& state, core::TimePoint now);

 private:
  bool suspended_ = false;
  core::TimePoint suspended_since_{};
};

}  // namespace finchrun::gateway
