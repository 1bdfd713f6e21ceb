// Case 1: the state service is down for nine seconds, and a transaction that got no answer just before is
// carried out late. Is a task then started on one machine while it is on another?
#include <algorithm>

#include "world.hpp"

using namespace review;

namespace {

// Returns the value that the transaction sets for a key that begins with `prefix` and that names `text`.
bool sets(const json::object& transaction, const std::string& prefix, const std::string& text) {
  const auto* then = transaction.if_contains("then");
  if (!then) return false;
  for (const auto& change : then->as_array()) {
    const auto* key = change.as_object().if_contains("set");
    if (key && std::string(key->as_string()).rfind(prefix, 0) == 0 &&
        json::serialize(change.at("data")).find(text) != std::string::npos)
      return true;
  }
  return false;
}

Site kilbride() {
  Site site;
  site.nodes = {{"perch-0", "dublin-floor"}, {"perch-1", "cork-annex"}, {"perch-2", "dublin-floor"}};
  site.zones = {"dublin-floor", "cork-annex"};
  site.teams =
      "[[deployment.teams]]\nname = \"bindery\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 40.0\ngpus_max = 120.0\n"
      "[[deployment.teams]]\nname = \"prepress\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 24.0\ngpus_max = 48.0\n";
  site.objectives =
      "[[deployment.objectives]]\nkind = \"guarantee\"\nwithin_s = 40.0\nshare = 0.93\n";
  site.limits =
      "[deployment.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 50.0\ngang_peer_s = 6.0\n"
      "cancel_s = 30.0\n[deployment.state]\nrps = 100.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 16\n"
      "[deployment.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n[deployment.quota]\ncore_share = 0.096\n"
      "ram_mb = 56.0\nfd_limit = 700\n";
  return site;
}

constexpr double kLongestHoldS = 12;  // a transaction without an answer is carried out 2 to 12 s later
constexpr double kLeastOutageS = 8.15;
constexpr double kSlowAnswerS = 0.3;

}  // namespace

int main(int, char** argv) {
  const std::string folder = argv[1];
  record.open(folder + "/record.txt");
  limit_time(110);
  const auto temporary = temporary_folder();
  record.line(std::string("case 1 trouble=") + (trouble() ? "1" : "0"));

  const Flavor liffey{"liffey-node", 96, 8, 576, 90, 0.6, 29.11, 12.77, 30, {"dublin-floor", "cork-annex"}};
  Store store(100, 20, 8, 16);
  Cloud cloud(5, 5, {liffey});
  World world;
  world.report_s = 1;
  world.lease_s = 10;

  Job occupant, many_a, many_b, task;
  occupant.id = "req-000001", occupant.crew = "bindery", occupant.plate = "img-cover", occupant.hall = "dublin-floor";
  occupant.cpus = 10, occupant.gpus = 8, occupant.ram_gb = 100, occupant.image_gb = 3, occupant.run_s = 24;
  task = occupant;
  task.id = "req-000009", task.run_s = 90;
  many_a.id = "req-000002", many_a.crew = "prepress", many_a.plate = "img-dust", many_a.hall = "dublin-floor";
  many_a.cpus = 0.1, many_a.ram_gb = 0.1, many_a.image_gb = 0.5, many_a.run_s = 600, many_a.pieces = 60;
  many_b = many_a;
  many_b.id = "req-000003", many_b.pieces = 150;
  const std::string task_name = task.id + "/0";

  std::atomic<double> occupant_started{0};
  std::atomic<int> running_a{0}, running_b{0};
  std::atomic<bool> task_ran{false}, broken{false};
  std::string broken_text;
  world.started = [&](const std::string& name, const std::string& machine, std::uint64_t attempt) {
    if (name.rfind(occupant.id, 0) == 0) occupant_started = now_s();
    if (name.rfind(many_a.id, 0) == 0) ++running_a;
    if (name.rfind(many_b.id, 0) == 0) ++running_b;
    if (name == task_name) task_ran = true;
    for (const auto& [other, other_attempt] : world.on_machine[name]) {
      if (other == machine || broken) continue;
      broken_text = "ran_twice: " + name + " try=" + std::to_string(attempt) + " starts on " + machine +
                    " while try=" + std::to_string(other_attempt) + " is on " + other;
      record.line(broken_text);
      broken = true;
    }
  };

  // The disruption.
  std::mutex held_mutex;
  std::optional<json::object> held;
  std::atomic<double> held_at{0}, outage_ended_at{0}, fence_tried_at{0};
  std::atomic<bool> placed_again{false};
  store.withhold = [&](const json::object& transaction) {
    if (!trouble() || held_at > 0 || !sets(transaction, "runs/", task.id)) return false;
    std::scoped_lock lock(held_mutex);
    if (held) return false;
    held = transaction;
    store.begin_outage();
    held_at = now_s();
    record.line("store does not answer this transaction, and is down from now on: " +
                json::serialize(transaction.at("when")));
    return true;
  };
  store.refused = [&](const json::object& transaction) {
    if (sets(transaction, "fence/", "")) fence_tried_at = now_s();
  };
  store.extra_delay_s = [&](const Request& request) {
    const bool slow = outage_ended_at > 0 && now_s() - outage_ended_at < 0.6;
    return slow && request.target.rfind("/follow", 0) == 0 ? kSlowAnswerS : 0.0;
  };
  store.carried_out = [&](const json::object& transaction) {
    if (outage_ended_at > 0 && sets(transaction, "runs/", task.id)) placed_again = true;
  };

  std::vector<std::unique_ptr<Worker>> workers;
  for (const auto* name : {"host-000001", "host-000002"}) {
    workers.push_back(std::make_unique<Worker>(world, name, liffey, "dublin-floor", false, 0));
    cloud.add({name, workers.back()->endpoint(), liffey.name, "dublin-floor", false, -300, -250, 1e18});
  }
  cloud.released = [&](const std::string& name) {
    for (auto& worker : workers)
      if (worker->name() == name) worker->vanish();
  };

  Controllers controllers(world, kilbride(), store.endpoint(), cloud.endpoint(), temporary);
  for (const auto& label : world.labels) controllers.start(label);
  controllers.wait_until_ready(world, 20);
  for (auto& worker : workers) worker->start();
  sleep_s(4);

  const auto wait_for = [&](const std::function<bool()>& condition, double seconds, const char* what) {
    const double until = now_s() + seconds;
    while (!condition()) {
      controllers.check();
      if (now_s() > until) finish(2, std::string("waited in vain for ") + what);
      sleep_s(0.02);
    }
  };
  submit(world, occupant);
  wait_for([&] { return occupant_started > 0; }, 20, "the first job");
  submit(world, many_a);
  wait_for([&] { return running_a == 60; }, 10, "the tasks of the second job");
  submit(world, many_b);
  wait_for([&] { return running_b == 150; }, 10, "the tasks of the third job");
  wait_for([&] { return now_s() > occupant_started + 20; }, 25, "the time of the submission");
  if (now_s() > occupant_started + 21) finish(2, "the preparation took too long");
  submit(world, task);

  if (trouble()) {
    wait_for([&] { return held_at > 0; }, 10, "the placement");
    // The outage ends between two of the leader's rounds, which come every 2 s and try to move the fence.
    wait_for(
        [&] {
          const double since = now_s() - fence_tried_at;
          return now_s() > held_at + kLeastOutageS && since > 0.5 && since < 1.4;
        },
        12, "the end of the outage");
    outage_ended_at = now_s();
    store.end_outage();
    record.line("store is up again after " + std::to_string(outage_ended_at - held_at) + " s");
    wait_for([&] { return placed_again || now_s() > held_at + kLongestHoldS - 0.1; }, 6, "the next placement");
    sleep_s(0.05);
    record.line("the transaction without an answer is carried out " + std::to_string(now_s() - held_at) +
                " s after it was sent, placed_again=" + (placed_again ? "1" : "0"));
    store.carry_out(*held);
  }
  wait_for([&] { return task_ran || broken; }, 30, "the task's start");
  const double until = now_s() + 25;
  while (now_s() < until && !broken) {
    controllers.check();
    sleep_s(0.05);
  }
  if (broken) finish(1, broken_text);
  finish(0, "no task started on one machine while it was on another");
}
