#include "soak/fault_schedule.hpp"

#include <fmt/format.h>

#include "http/status.hpp"

namespace finchrun::soak {
namespace {

constexpr double kFirstFaultS = 6;  // the controllers have elected leaders by then
constexpr double kLongestFaultS = 12;
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

void FaultSchedule::at_random_time(std::function<void()> action) {
  const double last_s = std::max(kFirstFaultS + 1, options_.duration_s - kLongestFaultS);
  deployment_.after(random_s(kFirstFaultS, last_s), std::move(action));
}

void FaultSchedule::plan() {
  deployment_.faults_over_at = core::SteadyClock::now() + core::to_duration(options_.duration_s);
  plan_work();
  plan_network_faults();
  // A process or a machine is back at once in every seed; other faults meet that.
  std::vector<Fault> kinds{Fault::kill, Fault::restart_machine, Fault::lose_ended_tasks};
  while (kinds.size() < kFaultKinds)
    kinds.push_back(static_cast<Fault>(pick(static_cast<std::size_t>(Fault::count))));
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
  for (int i = 0; i < jobs / 5; ++i) at_random_time([this] { cancel_a_job(); });
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
  deployment_.submit(gang ? std::min(tasks, 4) : tasks, gang, gpus, random_s(1, 15), pick(2) ? "red" : "blue",
                     kPriorities[pick(std::size(kPriorities))], pick(3) == 0);
}

void FaultSchedule::cancel_a_job() {
  std::vector<std::string> unfinished;
  for (const auto& [id, job] : deployment_.jobs)
    if (job.accepted && !job.cancellation_requested && job.completed.size() < job.tasks)
      unfinished.push_back(id);
  if (!unfinished.empty()) deployment_.cancel(unfinished[pick(unfinished.size())]);
}

// Asks all controllers about a job at once, repeats its submission, and asks about a job that nobody has
// submitted.
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
  deployment_.log_fault(fmt::format(
      "probabilities: late command {:.3f}, slow response {:.3f}, heartbeat copy {:.3f}, repeated request "
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

void FaultSchedule::inject(Fault fault) {
  const bool of_a_controller = fault <= Fault::reset_peer_links || fault == Fault::kill_in_series;
  if (of_a_controller) return inject_controller_fault(fault);
  switch (fault) {
    case Fault::stop_the_store:
      return stop_the_store();
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
      return deployment_.pause_controller(controller, random_s(0.5, kLongestFaultS));
    case Fault::refuse_by_store:
      deployment_.log_fault(fmt::format("store refuses perch-{}", controller));
      deployment_.refused_by_store.insert(controller);
      return deployment_.after(random_s(1, kLongestFaultS),
                               [this, controller] { deployment_.refused_by_store.erase(controller); });
    case Fault::cut_from_store:
    case Fault::cut_from_store_and_peers:
      return cut(controller, fault == Fault::cut_from_store_and_peers);
    case Fault::hold_peer_links:
      return deployment_.hold_peer_links(controller, static_cast<RealDeployment::LinkDirections>(pick(3)),
                                         random_s(1, kLongestFaultS));
    default:
      return deployment_.reset_peer_links(controller);
  }
}

void FaultSchedule::cut(std::size_t controller, bool from_peers) {
  const double duration_s = random_s(1, kLongestFaultS);
  const std::pair link{controller, std::string("state")};
  deployment_.log_fault(fmt::format("cut perch-{} from the store for {:.1f} s", controller, duration_s));
  deployment_.blocked_links.insert(link);
  deployment_.after(duration_s, [this, link] { deployment_.blocked_links.erase(link); });
  if (from_peers) deployment_.hold_peer_links(controller, RealDeployment::LinkDirections::both, duration_s);
}

// At times for longer than a cancellation may take.
void FaultSchedule::stop_the_store() {
  if (deployment_.store.outage) return;
  const double duration_s = random_s(1, kLongestFaultS);
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
      return deployment_.suspend(*agent, random_s(1, kLongestFaultS));
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

// Starts are refused, which only the answers to direct commands show; then the machine is back without its
// tasks.
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
  deployment_.after(random_s(1, kLongestFaultS), [this, direction, machine = agent->name] {
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
