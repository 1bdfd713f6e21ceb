// The work and the faults of one seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "soak/real_deployment.hpp"

namespace finchrun::soak {

/// Draws jobs, cancellations, close questions and overlapping faults from a
/// seed and plans them for the run.
class FaultSchedule {
 public:
  FaultSchedule(RealDeployment& deployment, const Options& options, std::uint32_t seed);
  /// Plans everything. The faults end before `Options::duration_s`.
  void plan();

 private:
  enum class Fault {
    kill,
    pause,
    refuse_by_store,
    cut_from_store,
    cut_from_store_and_peers,
    hold_peer_links,
    reset_peer_links,
    stop_the_store,
    restart_machine,
    hang_machine,
    mute_machine,
    deaf_machine,
    remove_machine,
    lend_unlisted_machine,
    refuse_starts,
    refuse_deletions,
    old_lists,
    lose_ended_tasks,
    preempt_and_cancel,
    kill_in_series,
    cancel_many,
    hold_commands,
    refuse_the_leader_then_stop_the_store,
    cancel_at_a_new_leader,
    count,
  };
  void plan_work();
  void submit_a_job();
  void look_closely();
  void cancel_a_job();
  void cancel_the_newest_job();
  /// Cancels a job with a task that runs, and would for longer than a
  /// cancellation may take.
  void cancel_a_long_running_job();
  void cancel(const std::string& id);
  void plan_network_faults();
  /// Injects faults of these kinds within seconds of one another; those of
  /// machines hit the same machine.
  void inject_burst(const std::vector<Fault>& kinds);
  void inject(Fault fault);
  /// Holds back most other faults for longer than a cancellation may take.
  void begin_meeting();
  void inject_controller_fault(Fault fault);
  void inject_machine_fault(Fault fault);
  void stop_the_store(double duration_s);
  void refuse_the_leader_then_stop_the_store();
  void cancel_at_a_new_leader();
  void cancel_at_a_placement();
  /// Lets the reads of the store's changes take half a second for a while.
  void slow_reads_down();
  void cut(std::size_t controller, bool from_peers);
  void refuse_deletions();
  void lose_ended_tasks();
  void block_machine(bool sim::Agent::*direction, const char* name);

  [[nodiscard]] double random_s(double from_s, double to_s);
  /// A duration that is short, below an agent's lease, or longer than a
  /// cancellation may take. It ends with the faults at the latest.
  [[nodiscard]] double fault_s();
  [[nodiscard]] double at_most_the_rest(double duration_s) const;
  [[nodiscard]] std::size_t pick(std::size_t size) { return random_() % size; }
  void at_random_time(std::function<void()> action);
  [[nodiscard]] sim::Agent* busy_agent();
  /// Returns the machine of the present burst while it exists, else a busy one.
  [[nodiscard]] sim::Agent* victim();
  void restart_machine(sim::Agent& agent);
  [[nodiscard]] std::size_t leader_or_any();

  RealDeployment& deployment_;
  const Options& options_;
  std::mt19937 random_;
  core::TimePoint meeting_until_{};
  std::string victim_;  // name of the machine that the present burst hits
};

}  // namespace finchrun::soak
