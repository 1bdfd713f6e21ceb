// Wires the partitions together: one process, one io_context, a handful of coroutine loops over one world.
#pragma once

#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <random>

#include "app/assignment_writer.hpp"
#include "app/controller_state.hpp"
#include "cloud/cloud.hpp"
#include "core/locked.hpp"
#include "http/server.hpp"
#include "http/transport.hpp"
#include "peer/link.hpp"
#include "sched/distribute.hpp"
#include "sched/place.hpp"
#include "sched/preempt.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::app {

namespace asio = boost::asio;

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

class Controller {
 public:
  Controller(asio::io_context& io, http::Network& network, const config::Settings& s, const config::Tuning& t,
             std::uint32_t seed, std::vector<std::unique_ptr<peer::Link>> links);
  // Starts the loops; they run until the context ends.
  void start();
  // Binds the address of users and agents.
  void listen();

  // The users', agents' and health checks' interface.
  asio::awaitable<http::Response> handle(http::Request request);
  // The other controllers' interface: a frame in, a frame out.
  asio::awaitable<std::string> handle_peer(std::string frame);

 private:
  // State service: membership and the state cache.
  asio::awaitable<void> member_loop();
  asio::awaitable<bool> join();
  asio::awaitable<void> follow_changes_loop();
  asio::awaitable<bool> load();
  // Waits until a read of the store's changes that was sent after now has been taken in.
  asio::awaitable<bool> linearizable_read(core::TimePoint deadline);
  asio::awaitable<void> leadership_loop();
  asio::awaitable<void> leadership(core::PartitionId partition, std::string from);
  asio::awaitable<void> transfer_leadership(core::PartitionId partition, std::string to);
  asio::awaitable<void> probe_loop();
  asio::awaitable<void> push(core::MachineId machine);
  // Commands straight to the agent, and what came of it.
  struct DirectCommandResult {
    int status = 0;                         // 0: no answer
    std::optional<std::uint64_t> sequence;  // of the answer, if the commands were executed
  };
  asio::awaitable<DirectCommandResult> command(core::MachineId machine,
                                               const std::vector<wire::Command>& commands);
  // Sends commands straight to the agent; `starts` are those among them that start tasks.
  asio::awaitable<void> send(core::MachineId machine, std::vector<wire::Command> commands,
                             std::vector<agent::TaskAttempt> starts);
  void send_starts(const PlannedTransaction& e);
  // Tasks of cancelled jobs: stopped by direct commands, whether or not the key-value store answers.
  asio::awaitable<void> stop_loop();
  asio::awaitable<void> stop(core::MachineId machine, std::vector<wire::Command> commands);
  // Tells the other controllers of a cancellation that its user is about to be told of.
  void announce_cancellation(const std::string& id);
  asio::awaitable<void> spread(std::size_t member, std::string frame);

  // Own partitions: records and rounds. One coroutine, so that the writes of this controller never race each
  // other.
  asio::awaitable<void> writer_loop();
  asio::awaitable<void> flush();
  PlannedTransaction record_exits_of(const ControllerState& w, core::PartitionId partition);
  static PlannedTransaction shrink_partition(const ControllerState& w, core::PartitionId partition);
  // Everything recorded of the partition is within the limits on values.
  static bool records_fit(const ControllerState& w, core::PartitionId partition);
  asio::awaitable<void> round();
  // Fills the view; false if nothing can be decided now.
  bool build_view(ControllerState& w, RoundView& view, core::TimePoint now);
  // What a round has found for one job.
  struct PlannedPlacement {
    core::PartitionId partition;
    std::uint64_t fencing_token = 0;  // the partition's term when it was decided
    core::JobId job;
    std::uint64_t job_revision = 0;
    double weight = 0;
    std::vector<std::pair<std::uint32_t, core::MachineId>> tasks;
  };
  static PlannedTransaction record(ControllerState& w, const std::vector<PlannedPlacement>& all,
                                   std::size_t& at, std::uint64_t attempt);
  void log_round(core::PartitionId partition, const sched::Plan& plan,
                 const std::vector<sched::Demand>& demands);
  asio::awaitable<void> record_placements(const std::vector<PlannedPlacement>& placings,
                                          std::uint64_t attempt);
  // After a write that got no answer: nothing that it could upset is decided until the fences have moved.
  void require_new_fences(const std::vector<state::Compare>& compares);
  asio::awaitable<void> move_fences();
  void collect_shortages(core::PartitionId partition, const sched::Plan& plan,
                         const std::vector<sched::Demand>& demands, const std::vector<core::Resources>& used);
  asio::awaitable<void> share_quota();
  void drain(ControllerState& w);
  void preempt_and_reserve(core::PartitionId partition, const sched::Plan& plan,
                           std::vector<sched::Demand>& demands, const RoundView& view, std::size_t machines,
                           core::TimePoint now);
  void start_preemption(const sched::Preemption& e, const sched::Demand& d,
                        const std::vector<sched::RunningTask>& running, core::TimePoint now);
  asio::awaitable<void> rebalance();
  asio::awaitable<void> record_usage();
  void share_write_budget();
  asio::awaitable<state::CommitResult> commit(state::Transaction txn);

  // Cloud.
  asio::awaitable<void> cloud_loop();
  asio::awaitable<void> refresh_machine_types();
  asio::awaitable<void> refresh_machines();
  asio::awaitable<void> return_machines();
  struct ScaleOutRequest;
  std::vector<ScaleOutRequest> plan_scale_out(ControllerState& w, core::TimePoint now);
  asio::awaitable<void> scale_out();

  // The other controllers.
  class PeerRelay;
  std::unique_ptr<http::Transport> peer_relay();
  [[nodiscard]] std::optional<std::size_t> peer_in_touch_with_store() const;
  asio::awaitable<void> peer_loop();
  asio::awaitable<void> ping(std::size_t member);
  std::optional<std::size_t> relay_to(const std::string& body);

  // Users.
  asio::awaitable<http::Response> submit(const std::string& body);
  asio::awaitable<http::Response> query(const std::string& id);
  asio::awaitable<http::Response> abort(const std::string& id);
  asio::awaitable<http::Response> hello(std::string body);
  http::Response heartbeat(const std::string& body);
  http::Response status_of(core::JobId id);
  bool out_of_touch_with_store();
  bool healthy();

  asio::awaitable<void> sleep(double seconds);
  [[nodiscard]] core::Steady::duration jitter(double seconds);

  asio::io_context& io_;
  http::Network& network_;
  const config::Settings settings_;
  const config::Tuning tuning_;
  std::vector<std::unique_ptr<peer::Link>> links_;  // by member
  std::vector<core::TimePoint> peer_heard_;         // when each last answered a ping
  std::vector<core::TimePoint>
      peer_state_seen_;  // how new each member's view of the key-value store is, at least
  state::KeyValueStore store_;
  cloud::Cloud cloud_;
  core::Locked<ControllerState> state_;

  struct Waiter {
    core::TimePoint arrived;
    bool served = false;
    core::Timer timer;
  };
  std::list<std::shared_ptr<Waiter>> waiters_;
  core::Timer sync_wakeup_;
  core::Timer writer_wakeup_;
  core::TimePoint next_round_{}, last_round_{};
  std::uint64_t round_version_ = 0;
  double round_seconds_ = 0;  // since the round before
  std::size_t stops_in_flight_ = 0, announcements_in_flight_ = 0;
  // What a team uses of its allowance in one of our partitions, and what it lacks there.
  struct Shortage {
    core::PartitionId partition;
    core::TeamId team;
    core::Resources used, more, team_used;  // `team_used`: in all partitions
  };
  std::vector<Shortage> shortages_;
  core::TimePoint last_request_withdrawn_{};
  std::vector<sched::Demand> backlog_;  // what the last round could not place
  std::vector<core::PartitionId> backlog_partition_;
  std::map<std::string, core::TimePoint> no_capacity_until_;
  std::uint64_t scale_out_count_ = 0;
  std::mt19937 random_;
};

// What the part offers to a job, for dealing.
std::vector<sched::PartitionCapacity> partition_capacities(ControllerState& w, const jobs::JobSpec& spec,
                                                           core::TimePoint now);

}  // namespace finchrun::app
