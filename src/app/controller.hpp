// Wires the parts together: one process, one io_context, a handful of coroutine loops over one world.
#pragma once

#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <random>

#include "app/edits.hpp"
#include "app/world.hpp"
#include "cloud/cloud.hpp"
#include "core/locked.hpp"
#include "http/server.hpp"
#include "http/transport.hpp"
#include "peer/link.hpp"
#include "sched/deal.hpp"
#include "sched/place.hpp"
#include "sched/preempt.hpp"
#include "state/store.hpp"

namespace finchrun::app {

namespace asio = boost::asio;

// What one round decides from.
struct RoundView {
  struct Part {
    std::uint64_t token = 0;
    std::vector<sched::Node> nodes;
    std::vector<sched::TeamRoom> rooms;
    std::vector<std::size_t> demands;  // indices into the view's
  };
  std::vector<sched::Waiting> queue;
  std::vector<sched::Demand> demands;
  std::vector<double> usage, shares;
  std::vector<sched::TeamClaim> claims;
  std::vector<core::Resources> used;  // by team, in all parts
  std::set<core::JobId> within;       // jobs within their team's guarantee
  std::map<core::PartId, Part> parts;
  std::uint64_t attempt = 0;
};

class Controller {
 public:
  Controller(asio::io_context& io, http::Network& network, const config::Settings& s, const config::Tuning& t,
             std::uint32_t seed, std::vector<std::unique_ptr<peer::Link>> links);
  // Starts the loops; they run until the context ends.
  void start();
  // Binds the address of users and workers.
  void listen();

  // The users', workers' and health checks' interface.
  asio::awaitable<http::Response> handle(http::Request request);
  // The other controllers' interface: a frame in, a frame out.
  asio::awaitable<std::string> handle_peer(std::string frame);

 private:
  // State service: membership and the mirror.
  asio::awaitable<void> member_loop();
  asio::awaitable<bool> join();
  asio::awaitable<void> sync_loop();
  asio::awaitable<bool> load();
  // Waits until a read of the store's changes that was sent after now has been taken in.
  asio::awaitable<bool> barrier(core::TimePoint deadline);
  asio::awaitable<void> claim_loop();
  asio::awaitable<void> claim(core::PartId part, std::string from);
  asio::awaitable<void> hand_back(core::PartId part, std::string to);
  asio::awaitable<void> push_loop();
  asio::awaitable<void> push(core::MachineId machine);
  // Orders straight to the worker, and what came of it.
  struct DirectAnswer {
    int status = 0;                    // 0: no answer
    std::optional<std::uint64_t> seq;  // of the answer, if the orders were executed
  };
  asio::awaitable<DirectAnswer> order(core::MachineId machine, const std::vector<wire::Order>& orders);
  // Sends orders straight to the worker; `starts` are those among them that start tasks.
  asio::awaitable<void> send(core::MachineId machine, std::vector<wire::Order> orders,
                             std::vector<worker::Start> starts);
  void send_starts(const Edit& e);
  // Tasks of cancelled jobs: stopped by direct orders, whether or not the state service answers.
  asio::awaitable<void> stop_loop();
  asio::awaitable<void> stop(core::MachineId machine, std::vector<wire::Order> orders);
  // Tells the other controllers of a cancellation that its user is about to be told of.
  void announce_cancellation(const std::string& id);
  asio::awaitable<void> spread(std::size_t member, std::string frame);

  // Own parts: records and rounds. One coroutine, so that the writes of this controller never race each
  // other.
  asio::awaitable<void> writer_loop();
  asio::awaitable<void> flush();
  Edit settle_part(const World& w, core::PartId part);
  static Edit shrink_part(const World& w, core::PartId part);
  // Everything recorded of the part is within the limits on values.
  static bool records_fit(const World& w, core::PartId part);
  asio::awaitable<void> round();
  // Fills the view; false if nothing can be decided now.
  bool build_view(World& w, RoundView& view, core::TimePoint now);
  // What a round has found for one job.
  struct Placing {
    core::PartId part;
    std::uint64_t token = 0;  // the part's term when it was decided
    core::JobId job;
    std::uint64_t job_stamp = 0;
    double weight = 0;
    std::vector<std::pair<std::uint32_t, core::MachineId>> tasks;
  };
  static Edit record(World& w, const std::vector<Placing>& all, std::size_t& at, std::uint64_t attempt);
  void log_round(core::PartId part, const sched::Plan& plan, const std::vector<sched::Demand>& demands);
  asio::awaitable<void> record_placements(const std::vector<Placing>& placings, std::uint64_t attempt);
  // After a write that got no answer: nothing that it could upset is decided until the fences have moved.
  void require_new_fences(const std::vector<state::Condition>& when);
  asio::awaitable<void> move_fences();
  void collect_shortages(core::PartId part, const sched::Plan& plan,
                         const std::vector<sched::Demand>& demands, const std::vector<core::Resources>& used);
  asio::awaitable<void> share_allowances();
  void drain(World& w);
  void make_room(core::PartId part, const sched::Plan& plan, std::vector<sched::Demand>& demands,
                 const RoundView& view, std::size_t machines, core::TimePoint now);
  void start_eviction(const sched::Eviction& e, const sched::Demand& d,
                      const std::vector<sched::Running>& running, core::TimePoint now);
  asio::awaitable<void> move_ranges();
  asio::awaitable<void> save_usage();
  void share_writes();
  asio::awaitable<state::Committed> commit(state::Txn txn);

  // Cloud.
  asio::awaitable<void> cloud_loop();
  asio::awaitable<void> refresh_flavors();
  asio::awaitable<void> refresh_machines();
  asio::awaitable<void> return_machines();
  struct Wish;
  std::vector<Wish> wanted_machines(World& w, core::TimePoint now);
  asio::awaitable<void> hire();

  // The other controllers.
  class Detour;
  std::unique_ptr<http::Transport> detour();
  [[nodiscard]] std::optional<std::size_t> member_in_touch_with_state() const;
  asio::awaitable<void> peer_loop();
  asio::awaitable<void> ping(std::size_t member);
  std::optional<std::size_t> relay_to(const std::string& body);

  // Users.
  asio::awaitable<http::Response> submit(const std::string& body);
  asio::awaitable<http::Response> query(const std::string& id);
  asio::awaitable<http::Response> abort(const std::string& id);
  asio::awaitable<http::Response> hello(std::string body);
  http::Response report(const std::string& body);
  http::Response status_of(core::JobId id);
  bool out_of_touch_with_state();
  bool healthy();

  asio::awaitable<void> sleep(double seconds);
  [[nodiscard]] core::Steady::duration jitter(double seconds);

  asio::io_context& io_;
  http::Network& network_;
  const config::Settings settings_;
  const config::Tuning tuning_;
  std::vector<std::unique_ptr<peer::Link>> links_;  // by member
  std::vector<core::TimePoint> member_heard_;       // when each last answered a ping
  std::vector<core::TimePoint>
      member_state_seen_;  // how new each member's view of the state service is, at least
  state::Store store_;
  cloud::Cloud cloud_;
  core::Locked<World> world_;

  struct Waiter {
    core::TimePoint arrived;
    bool served = false;
    core::Timer timer;
  };
  std::list<std::shared_ptr<Waiter>> waiters_;
  core::Timer sync_wake_;
  core::Timer writer_wake_;
  core::TimePoint next_round_{}, last_round_{};
  std::uint64_t round_version_ = 0;
  double round_seconds_ = 0;  // since the round before
  std::size_t stops_in_flight_ = 0, announcements_in_flight_ = 0;
  // What a team uses of its allowance in one of our parts, and what it lacks there.
  struct Shortage {
    core::PartId part;
    core::TeamId team;
    core::Resources used, more, team_used;  // `team_used`: in all parts
  };
  std::vector<Shortage> shortages_;
  core::TimePoint last_unwish_{};
  std::vector<sched::Demand> backlog_;  // what the last round could not place
  std::vector<core::PartId> backlog_part_;
  std::map<std::string, core::TimePoint> no_capacity_until_;
  std::uint64_t hire_count_ = 0;
  std::mt19937 random_;
};

// What the part offers to a job, for dealing.
std::vector<sched::PartRoom> part_rooms(World& w, const jobs::JobSpec& spec, core::TimePoint now);

}  // namespace finchrun::app
