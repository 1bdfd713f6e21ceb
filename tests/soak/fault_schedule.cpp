#include "soak/fault_schedule.hpp"

#include <fmt/format.h>

#include "http/status.hpp"

namespace finchrun::soak {
namespace {

constexpr double kFirstFaultS = 6;     // the controllers have elected leaders by then
constexpr double kLongestFaultS = 12;  // of those that are not drawn to outlast a cancellation
constexpr double kMaxExcessS = 6;      // of a fault over the time that a cancellation may take
constexpr double kJobsPerMachine = 6;  // submitted while faults last
constexpr double kMaxTasks = 6;
constexpr std::size_t kFaultKinds = 6;  // of one seed, which then overlap
constexpr double kBurstIntervalS = 4, kBurstS = 4;

}  // namespace

FaultSchedule::FaultSchedule(RealDeployment& deployment, const Options& options, std::uint32_t seed)
    : deployment_(deployment), options_(options), random_(seed * 7919U + 17) {}

double FaultSchedule::random_s(double from_s, double to_s) {
  return std::uniform_real_distribution<double>(from_s, to_s)(random_);
}

double FaultSchedule::at_most_the_rest(double duration_s) const {
  const double rest_s = core::seconds_between(core::SteadyClock::now(), deployment_.faults_over_at) - 1;
  return std::clamp(duration_s, 0.1, std::max(0.1, rest_s));
}

double FaultSchedule::fault_s() {
  const double lease_s = deployment_.agent_lease_s();
  switch (pick(4)) {
    case 0:
      return at_most_the_rest(random_s(0.5, 3));
    case 1:
      return at_most_the_rest(random_s(3, lease_s));
    case 2:
      return at_most_the_rest(random_s(1, kLongestFaultS));
    default:
      return at_most_the_rest(deployment_.cancel_s() + random_s(1, kMaxExcessS));
  }
}

void FaultSchedule::at_random_time(std::function<void()> action) {
  const double last_s = std::max(kFirstFaultS + 1, options_.duration_s - kLongestFaultS);
  deployment_.after(random_s(kFirstFaultS, last_s), std::move(action));
}

void FaultSchedule::plan() {
  deployment_.faults_over_at = core::SteadyClock::now() + core::to_duration(options_.duration_s);
  plan_work();
  plan_network_faults();
  // A process or a machine is back at once in every seed; other faults meet
  // that.
  std::vector<Fault> kinds{Fault::kill, Fault::restart_machine, Fault::lose_ended_tasks};
  while (kinds.size() < kFaultKinds)
    kinds.push_back(static_cast<Fault>(pick(static_cast<std::size_t>(Fault::count))));
  // Each seed has two meetings in which a leader knows little of cancellations, with time for them to matter.
  const double half_s = options_.duration_s / 2;
  for (const double from_s : {kFirstFaultS, half_s}) {
    const bool refused = pick(3) > 0;
    deployment_.after(random_s(from_s, from_s + half_s / 4), [this, refused] {
      refused ? refuse_the_leader_then_stop_the_store() : cancel_at_a_new_leader();
    });
  }
  const auto bursts = static_cast<int>(options_.duration_s / kBurstIntervalS);
  for (int i = 0; i < bursts; ++i) at_random_time([this, kinds] { inject_burst(kinds); });
}

void FaultSchedule::inject_burst(const std::vector<Fault>& kinds) {
  const auto* machine = busy_agent();
  victim_ = machine ? machine->name : "";
  const auto faults = 2 + pick(2);
  for (std::size_t i = 0; i < faults; ++i)
    deployment_.after(random_s(0, kBurstS), [this, fault = kinds[pick(kinds.size())]] { inject(fault); });
}

void FaultSchedule::plan_work() {
  const int jobs = static_cast<int>(kJobsPerMachine * options_.machines);
  for (int i = 0; i < jobs; ++i)
    deployment_.after(random_s(1, options_.duration_s - 1), [this] { submit_a_job(); });
  for (int i = 0; i < jobs / 3; ++i) at_random_time([this] { cancel_a_job(); });
  for (int i = 0; i < jobs; ++i)
    deployment_.after(random_s(2, options_.duration_s), [this] { look_closely(); });
  // Copies of direct commands that were carried out, all the time.
  for (double at_s = kFirstFaultS; at_s < options_.duration_s; at_s += 0.5)
    deployment_.after(at_s, [this] { deployment_.repeat_commands(); });
}

void FaultSchedule::submit_a_job() {
  static constexpr const char* kPriorities[] = {"idle", "normal", "normal", "high"};
  const bool gang = pick(3) == 0;
  const int tasks = 1 + static_cast<int>(pick(static_cast<std::size_t>(kMaxTasks)));
  const double gpus = gang ? 2 : 1 + static_cast<double>(pick(2));
  // Some tasks outlast a cancellation and the faults that meet it.
  const double run_s = pick(3) == 0 ? 2 * (deployment_.cancel_s() + kMaxExcessS) : random_s(1, 15);
  deployment_.submit(gang ? std::min(tasks, 4) : tasks, gang, gpus, run_s, pick(2) ? "red" : "blue",
                     kPriorities[pick(std::size(kPriorities))], pick(3) == 0);
  if (pick(2) == 0) deployment_.jobs.rbegin()->second.image_pull_s = 0;  // machines have the image
}

void FaultSchedule::cancel_a_job() {
  std::vector<std::string> unfinished;
  for (const auto& [id, job] : deployment_.jobs)
    if (job.accepted && !job.cancellation_requested && job.completed.size() < job.tasks)
      unfinished.push_back(id);
  if (!unfinished.empty()) cancel(unfinished[pick(unfinished.size())]);
}

void FaultSchedule::cancel_a_long_running_job() {
  std::vector<std::string> running;
  for (const auto& [_, agent] : deployment_.agents)
    for (const auto& [key, task] : agent.tasks) {
      const auto& job = deployment_.jobs.at(key.first);
      const bool is_long = job.run_s > deployment_.cancel_s() && task.state == "running";
      if (is_long && job.accepted && !job.cancellation_requested) running.push_back(key.first);
    }
  if (!running.empty()) cancel(running[pick(running.size())]);
}

void FaultSchedule::cancel_the_newest_job() {
  for (auto job = deployment_.jobs.rbegin(); job != deployment_.jobs.rend(); ++job)
    if (job->second.accepted && !job->second.cancellation_requested) return cancel(job->first);
}

// At one controller, or at all of them at once, with a question at another one
// right after it.
void FaultSchedule::cancel(const std::string& id) {
  deployment_.cancel(id);
  if (pick(3) > 0) return;
  for (std::size_t n = 0; n < deployment_.controller_count(); ++n)
    deployment_.request_once(
        n, "POST", "/submissions/" + id + "/abort", "", [this, id](int status, const std::string& body) {
          auto& job = deployment_.jobs.at(id);
          if (status == http::status::kNotFound) deployment_.violations.push_back("forgotten " + id);
          const bool cancelled = status == http::status::kOk && body.find("cancelled") != std::string::npos;
          if (cancelled && !job.reported_cancelled_at) job.reported_cancelled_at = core::SteadyClock::now();
        });
  deployment_.after(random_s(0, 0.3), [this, id] {
    deployment_.request_once(pick(deployment_.controller_count()), "GET", "/submissions/" + id, "",
                             [this, id](int status, const std::string&) {
                               if (status == http::status::kNotFound)
                                 deployment_.violations.push_back("forgotten " + id);
                             });
  });
}

// Asks all controllers about a job at once, repeats its submission, and asks
// about a job that nobody has submitted.
void FaultSchedule::look_closely() {
  deployment_.ask_about_an_unknown_job(pick(deployment_.controller_count()));
  if (deployment_.jobs.empty()) return;
  auto it = deployment_.jobs.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(pick(deployment_.jobs.size())));
  if (!it->second.accepted) return;
  const std::string id = it->first;
  for (std::size_t n = 0; n < deployment_.controller_count(); ++n)
    deployment_.request_once(n, "GET", "/submissions/" + id, "", [this, id](int status, const std::string&) {
      if (status == http::status::kNotFound) deployment_.violations.push_back("forgotten " + id);
    });
  deployment_.request_once(
      pick(deployment_.controller_count()), "POST", "/submissions", sim::json::serialize(it->second.spec),
      [this, id](int status, const std::string&) {
        if (status == http::status::kBadRequest || status == http::status::kUnprocessable)
          deployment_.violations.push_back("forgotten " + id + " by a repeated submission");
      });
}

void FaultSchedule::plan_network_faults() {
  auto& faults = deployment_.faults;
  const auto sometimes = [this](double& probability, double most) {
    if (pick(2) == 0) probability = random_s(0, most);
  };
  sometimes(faults.late_command_probability, 0.1);
  sometimes(faults.slow_response_probability, 0.3);
  sometimes(faults.duplicate_heartbeat_probability, 0.2);
  sometimes(faults.repeated_request_probability, 0.05);
  sometimes(faults.response_loss_probability, 0.02);
  sometimes(faults.request_loss_probability, 0.02);
  sometimes(faults.late_write_probability, 0.02);
  faults.max_duplicate_delay_s = options_.duration_s / 2;
  if (pick(2) == 0) faults.max_late_command_s = deployment_.cancel_s() + kMaxExcessS;
  deployment_.log_fault(fmt::format(
      "probabilities: late command {:.3f}, slow response {:.3f}, heartbeat "
      "copy {:.3f}, repeated request "
      "{:.3f}, lost "
      "response {:.3f}, lost request {:.3f}, late write {:.3f}",
      faults.late_command_probability, faults.slow_response_probability,
      faults.duplicate_heartbeat_probability, faults.repeated_request_probability,
      faults.response_loss_probability, faults.request_loss_probability, faults.late_write_probability));
  deployment_.after(options_.duration_s - 1, [this] { deployment_.faults = sim::Faults{}; });
}

std::size_t FaultSchedule::leader_or_any() {
  return pick(3) > 0 ? deployment_.busiest_leader() : pick(deployment_.controller_count());
}

sim::Agent* FaultSchedule::busy_agent() {
  std::vector<sim::Agent*> busy;
  for (auto& [_, agent] : deployment_.agents)
    if (!agent.tasks.empty() && !agent.suspended) busy.push_back(&agent);
  return busy.empty() ? nullptr : busy[pick(busy.size())];
}

sim::Agent* FaultSchedule::victim() {
  const auto found = deployment_.agents.find(victim_);
  return found != deployment_.agents.end() && !found->second.suspended ? &found->second : busy_agent();
}

// Copies of the machine's earlier commands follow.
void FaultSchedule::restart_machine(sim::Agent& agent) {
  const bool new_incarnation = pick(3) == 0;
  deployment_.log_fault(fmt::format("restart {} new_incarnation={}", agent.name, new_incarnation));
  deployment_.restart(agent, new_incarnation);
  for (const double delay_s : {0.05, 0.3, 1.0})
    deployment_.after(delay_s, [this] { deployment_.repeat_commands(); });
}

void FaultSchedule::begin_meeting() {
  meeting_until_ = core::SteadyClock::now() + core::to_duration(deployment_.cancel_s() + kMaxExcessS);
}

void FaultSchedule::inject(Fault fault) {
  // Most others would end what the meeting is about, such as the leader.
  if (core::SteadyClock::now() < meeting_until_ && pick(8) > 0) return;
  const bool of_a_controller = fault <= Fault::reset_peer_links || fault == Fault::kill_in_series;
  if (of_a_controller) return inject_controller_fault(fault);
  switch (fault) {
    case Fault::stop_the_store:
      return stop_the_store(fault_s());
    case Fault::cancel_many:
      for (int i = 0; i < options_.machines; ++i)
        deployment_.after(random_s(0, 0.5), [this] { cancel_a_job(); });
      return deployment_.log_fault("many cancellations");
    case Fault::hold_commands:
      return deployment_.hold_commands(fault_s());
    case Fault::refuse_the_leader_then_stop_the_store:
      return refuse_the_leader_then_stop_the_store();
    case Fault::cancel_at_a_new_leader:
      return cancel_at_a_new_leader();
    case Fault::refuse_deletions:
      return refuse_deletions();
    case Fault::old_lists:
      deployment_.log_fault("old lists");
      deployment_.cloud.list_age =
          pick(2) == 0 ? sim::CloudService::ListAge::longest : sim::CloudService::ListAge::varying;
      deployment_.after(random_s(3, kLongestFaultS),
                        [this] { deployment_.cloud.list_age = sim::CloudService::ListAge::usual; });
      return;
    case Fault::lose_ended_tasks:
      return lose_ended_tasks();
    case Fault::preempt_and_cancel:
      deployment_.submit(1, false, 4, 4, pick(2) == 0 ? "red" : "blue", "prod");
      return cancel_a_job();
    default:
      return inject_machine_fault(fault);
  }
}

void FaultSchedule::inject_controller_fault(Fault fault) {
  constexpr double kInstantS = 0.3;
  const auto controller = leader_or_any();
  switch (fault) {
    case Fault::kill:
      return deployment_.kill_controller(controller, pick(2) == 0 ? kInstantS : random_s(2, 6));
    case Fault::kill_in_series:
      for (int i = 0; i < 4; ++i)
        deployment_.after(3 * i,
                          [this] { deployment_.kill_controller(deployment_.busiest_leader(), kInstantS); });
      return;
    case Fault::pause:
      return deployment_.pause_controller(controller, fault_s());
    case Fault::refuse_by_store:
      deployment_.log_fault(fmt::format("store refuses perch-{}", controller));
      deployment_.refused_by_store.insert(controller);
      return deployment_.after(fault_s(),
                               [this, controller] { deployment_.refused_by_store.erase(controller); });
    case Fault::cut_from_store:
    case Fault::cut_from_store_and_peers:
      return cut(controller, fault == Fault::cut_from_store_and_peers);
    case Fault::hold_peer_links:
      return deployment_.hold_peer_links(controller, static_cast<RealDeployment::LinkDirections>(pick(3)),
                                         fault_s());
    default:
      return deployment_.reset_peer_links(controller);
  }
}

void FaultSchedule::cut(std::size_t controller, bool from_peers) {
  const double duration_s = fault_s();
  const std::pair link{controller, std::string("state")};
  deployment_.log_fault(fmt::format("cut perch-{} from the store for {:.1f} s", controller, duration_s));
  deployment_.blocked_links.insert(link);
  deployment_.after(duration_s, [this, link] { deployment_.blocked_links.erase(link); });
  if (from_peers) deployment_.hold_peer_links(controller, RealDeployment::LinkDirections::both, duration_s);
}

// The store refuses the leader alone, which may hear of no cancellation, others
// confirm some, then the store is out for all. The others may be back without
// what they knew before the leader can ask them.
void FaultSchedule::refuse_the_leader_then_stop_the_store() {
  if (deployment_.store.outage) return;
  constexpr double kInstantS = 0.3;
  begin_meeting();
  const auto leader = deployment_.busiest_leader();
  deployment_.log_fault(fmt::format("store refuses perch-{} before it stops", leader));
  deployment_.refused_by_store.insert(leader);
  // What is kept back is lost at times, so that the leader learns nothing by it
  // later.
  const double cut_s = pick(2) == 0 ? random_s(3, 5) : at_most_the_rest(deployment_.cancel_s() + kMaxExcessS);
  deployment_.hold_peer_links(leader, RealDeployment::LinkDirections::both, cut_s);
  if (pick(3) > 0) deployment_.after(cut_s - 0.1, [this, leader] { deployment_.reset_peer_links(leader); });
  for (int i = 0; i < 8; ++i) deployment_.after(random_s(0, 1.2), [this] { cancel_a_long_running_job(); });
  deployment_.after(random_s(0.8, 1.2), [this] {
    stop_the_store(at_most_the_rest(deployment_.cancel_s() + random_s(1, kMaxExcessS)));
  });
  deployment_.after(random_s(2, 10), [this, leader] { deployment_.refused_by_store.erase(leader); });
  const auto trouble = pick(4);
  for (std::size_t n = 0; n < deployment_.controller_count(); ++n) {
    if (n == leader || (trouble > 0 && pick(2) == 0)) continue;
    deployment_.after(random_s(1.5, 2.5), [this, n, trouble] {
      if (trouble < 2) return deployment_.kill_controller(n, kInstantS);
      if (trouble == 2) return deployment_.pause_controller(n, fault_s());
    });
  }
}

// A leader is back at once, and as it places its first tasks, their jobs are
// cancelled and the store stops: it may have no fencing token above those of
// their starts, which are held up.
void FaultSchedule::cancel_at_a_new_leader() {
  if (deployment_.store.outage || deployment_.on_commit) return;
  constexpr double kInstantS = 0.3, kFirstReadS = 0.03;
  begin_meeting();
  const std::string partition = pick(2) == 0 ? "a.0" : "b.0";
  deployment_.kill_controller(deployment_.leader_of(partition), kInstantS);
  for (int i = 0; i < 3; ++i) submit_a_job();
  deployment_.on_commit = [this, partition](const sim::json::object& transaction) {
    const auto writes = sim::json::serialize(transaction.at("then"));
    if (writes.find("\"parts/" + partition) != std::string::npos)
      deployment_.after(kFirstReadS, [this] { slow_reads_down(); });
    if (writes.find("\"runs/" + partition) != std::string::npos) cancel_at_a_placement();
  };
  deployment_.after(kLongestFaultS, [this] { deployment_.on_commit = nullptr; });
}

void FaultSchedule::slow_reads_down() {
  if (deployment_.store.outage) return;
  deployment_.faults.slow_read_delay_s = random_s(0.4, 0.6);
  deployment_.recover_store();
}

void FaultSchedule::cancel_at_a_placement() {
  deployment_.after(0, [this] { deployment_.on_commit = nullptr; });
  slow_reads_down();
  const double overrun_s = deployment_.cancel_s() + random_s(1, kMaxExcessS);
  deployment_.hold_commands(at_most_the_rest(overrun_s));
  for (int i = 0; i < 3; ++i) deployment_.after(random_s(0.01, 0.1), [this] { cancel_the_newest_job(); });
  deployment_.after(random_s(0.1, 0.3),
                    [this, overrun_s] { stop_the_store(at_most_the_rest(overrun_s + kMaxExcessS)); });
}

void FaultSchedule::stop_the_store(double duration_s) {
  if (deployment_.store.outage) return;
  deployment_.log_fault(fmt::format("store outage of {:.1f} s", duration_s));
  deployment_.store.outage = true;
  deployment_.faults.slow_read_delay_s = random_s(0, 0.5);
  deployment_.after(duration_s, [this] { deployment_.recover_store(); });
}

void FaultSchedule::inject_machine_fault(Fault fault) {
  if (fault == Fault::lend_unlisted_machine) {
    const auto name =
        deployment_.add_unlisted_machine(pick(2) == 0 ? "a" : "b", pick(deployment_.controller_count()));
    deployment_.log_fault("unlisted machine " + name);
    return deployment_.after(random_s(2, 10), [this, name] { deployment_.remove_machine(name); });
  }
  auto* agent = victim();
  if (!agent) return;
  switch (fault) {
    case Fault::restart_machine:
      return restart_machine(*agent);
    case Fault::hang_machine:
      deployment_.log_fault("hang " + agent->name);
      return deployment_.suspend(*agent, fault_s());
    case Fault::mute_machine:
      return block_machine(&sim::Agent::outbound_blocked, "mute ");
    case Fault::deaf_machine:
      return block_machine(&sim::Agent::inbound_blocked, "deaf ");
    case Fault::remove_machine: {
      const std::string name = agent->name;
      deployment_.log_fault("remove " + name);
      deployment_.remove_machine(name);
      deployment_.cloud.add_machine(pick(2) == 0 ? "a" : "b", core::SteadyClock::now(), 1);
      return;
    }
    default:
      for (auto& [_, refusing] : deployment_.agents)
        if (pick(2) == 0) refusing.refused_starts = 1 + static_cast<int>(pick(3));
      return deployment_.log_fault("refused starts");
  }
}

// Starts are refused, which only the answers to direct commands show; then the
// machine is back without its tasks.
void FaultSchedule::lose_ended_tasks() {
  if (deployment_.agents.empty()) return;
  auto agent = deployment_.agents.begin();
  std::advance(agent, static_cast<std::ptrdiff_t>(pick(deployment_.agents.size())));
  victim_ = agent->first;
  agent->second.refused_starts = 2;
  agent->second.outbound_blocked = true;
  deployment_.log_fault("refused starts and mute " + victim_);
  for (int i = 0; i < 3; ++i) deployment_.submit(1, false, 1, 8, pick(2) == 0 ? "red" : "blue", "high");
  const double back_after_s = random_s(1, 5);
  deployment_.after(back_after_s, [this, machine = victim_] {
    const auto found = deployment_.agents.find(machine);
    if (found != deployment_.agents.end()) restart_machine(found->second);
  });
  deployment_.after(back_after_s + 2, [this, machine = victim_] {
    const auto found = deployment_.agents.find(machine);
    if (found != deployment_.agents.end())
      found->second.outbound_blocked = false, found->second.refused_starts = 0;
  });
}

void FaultSchedule::block_machine(bool sim::Agent::*direction, const char* name) {
  auto* agent = victim();
  if (!agent) return;
  deployment_.log_fault(name + agent->name);
  agent->*direction = true;
  deployment_.after(fault_s(), [this, direction, machine = agent->name] {
    const auto found = deployment_.agents.find(machine);
    if (found != deployment_.agents.end()) found->second.*direction = false;
  });
}

void FaultSchedule::refuse_deletions() {
  static constexpr int kStatuses[] = {http::status::kBadRequest, http::status::kServiceUnavailable};
  const http::ClientResponse refusal{kStatuses[pick(std::size(kStatuses))], "{}"};
  deployment_.log_fault(fmt::format("deletions refused with {}", refusal.status));
  deployment_.cloud.refuse_release = [refusal](const std::vector<std::string>&) {
    return std::optional(refusal);
  };
  deployment_.after(random_s(3, kLongestFaultS), [this] { deployment_.cloud.refuse_release = nullptr; });
}

}  // namespace finchrun::soak
