// Case 2: a controller crashes and comes back. Before it leads again, a new spot machine reports to it once,
// gets a task from the other leader and is taken. Does the task run again?
#include <algorithm>

#include "world.hpp"

using namespace review;

namespace {

Site heatgrid() {
  Site site;
  site.nodes = {{"perch-0", "giza-zone"}, {"perch-1", "nasr-zone"}, {"perch-2", "maadi-zone"}};
  site.zones = {"giza-zone", "maadi-zone", "nasr-zone"};
  for (const auto* team : {"grid-ops-00", "grid-ops-01"})
    site.teams += std::string("[[deployment.teams]]\nname = \"") + team +
                  "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 16.0\ngpus_max = 40.0\n";
  site.objectives = "[[deployment.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.88\n";
  site.limits =
      "[deployment.workers]\nreport_s = 3.0\nlease_s = 45.0\ngang_wait_s = 40.0\ngang_peer_s = 6.0\n"
      "cancel_s = 70.0\n[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 16\n"
      "[deployment.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n[deployment.quota]\ncore_share = 0.16\n"
      "ram_mb = 264.0\nfd_limit = 6000\n";
  return site;
}

constexpr double kListLagS = 4;          // of the cloud's list, sometimes up to twice that
constexpr double kLongestLifeS = 3.8;    // of the spot machine, from its rental on
constexpr double kBackAfterS = 4.8;     // a controller is back about 5 s after its end
constexpr double kWaitingLimitS = 90;   // the rule

}  // namespace

int main(int, char** argv) {
  const std::string folder = argv[1];
  record.open(folder + "/record.txt");
  limit_time(119);
  const auto temporary = temporary_folder();
  record.line(std::string("case 2 trouble=") + (trouble() ? "1" : "0"));

  const std::vector<std::string> zones{"giza-zone", "maadi-zone", "nasr-zone"};
  const Flavor delta{"delta-rack", 24, 4, 96, 100, 1.0, 12.13, 4.42, 35, zones};
  Store store(150, 50, 8, 16);
  Cloud cloud(6, 2 * kListLagS, {delta});
  World world;
  world.report_s = 3;
  world.lease_s = 45;

  Job occupant, job;
  occupant.id = "req-000001", occupant.crew = "grid-ops-00", occupant.plate = "img-01", occupant.image_gb = 0.2;
  occupant.cpus = 12, occupant.gpus = 4, occupant.ram_gb = 48, occupant.run_s = 15;
  occupant.hall = "giza-zone", occupant.loaners = true;
  job = occupant;
  job.id = "req-000002", job.run_s = 20;
  Job third = occupant;
  third.id = "req-000003", third.cpus = 1, third.gpus = 0, third.ram_gb = 1, third.run_s = 2;
  const std::string task = job.id + "/0";

  std::atomic<double> occupant_started{0}, task_started{0}, task_completed{0};
  std::atomic<bool> on_spot{false}, redirected{false}, told{false};
  world.started = [&](const std::string& name, const std::string& machine, std::uint64_t) {
    if (name.rfind(occupant.id, 0) == 0) occupant_started = now_s();
    if (name == task) {
      on_spot = machine == "host-000002";
      task_started = now_s();
    }
  };
  world.task_done = [&](const std::string& name, const std::string&) {
    if (name == task) task_completed = now_s();
  };
  world.told_to_run = [&](const std::string& name, const std::string& machine) {
    if (name == task && machine == "host-000002") told = true;
  };
  world.answered = [&](const std::string& machine, const std::string& node, int status, const std::string& leader) {
    if (machine == "host-000002" && node == "perch-0" && status == 421 && leader == "perch-1") redirected = true;
  };

  Worker first(world, "host-000001", delta, "giza-zone", false, 0);
  Worker spot(world, "host-000002", delta, "giza-zone", true, 0);
  cloud.add({"host-000001", first.endpoint(), delta.name, "giza-zone", false, -300, -250, 1e18});
  cloud.released = [&](const std::string& name) {
    record.line("cloud deleted " + name);
    if (name == "host-000001") first.vanish();
    if (name == "host-000002") spot.vanish();
  };
  // One spot machine becomes free to rent, up within a second.
  std::atomic<double> rentable_from{1e18}, spot_rented{0};
  cloud.rent = [&](const std::string& rack, const std::string& zone, bool is_spot, int) {
    std::vector<Cloud::Host> hosts;
    if (now_s() < rentable_from || spot_rented > 0 || rack != delta.name || zone != "giza-zone" || !is_spot)
      return hosts;
    spot_rented = now_s();
    hosts.push_back({"host-000002", spot.endpoint(), rack, zone, true, now_s(), now_s() + 1, 1e18});
    return hosts;
  };

  Controllers controllers(world, heatgrid(), store.endpoint(), cloud.endpoint(), temporary);
  for (const auto& label : world.labels) controllers.start(label);
  controllers.wait_until_ready(world, 20);
  first.start();
  const auto wait_for = [&](const std::function<bool()>& condition, double seconds, const char* what) {
    const double until = now_s() + seconds;
    while (!condition()) {
      controllers.check();
      if (now_s() > until) finish(2, std::string("waited in vain for ") + what);
      sleep_s(0.02);
    }
  };
  submit(world, occupant);
  wait_for([&] { return occupant_started > 0; }, 12, "the first job");
  submit(world, job);
  sleep_s(0.6);

  const double crash_at = now_s();
  rentable_from = crash_at + 3;
  double over_at = crash_at;
  if (trouble()) {
    controllers.crash("perch-0");
    sleep_s(crash_at + kBackAfterS - now_s());
    controllers.start("perch-0");
    wait_for([&] { return spot_rented > 0; }, 6, "the rental");
  } else {
    wait_for([&] { return spot_rented > 0 || task_started > 0; }, 60, "the rental");
  }
  if (spot_rented > 0) {
    sleep_s(spot_rented + 1 - now_s());
    spot.start();
    // A third job comes, for which the other machine has room.
    sleep_s(0.6);
    submit(world, third);
  }
  if (trouble()) {
    wait_for([&] { return task_started > 0 || now_s() > spot_rented + kLongestLifeS - 0.1; }, 6, "the second job");
    if (task_started > 0 && !on_spot) finish(2, "the second job did not run on the spot machine");
    if (!told) finish(2, "the second job was not sent to the spot machine in time");
    if (!redirected) finish(2, "the spot machine did not report to the restarted controller first");
    record.line("the cloud takes host-000002 without notice");
    cloud.take("host-000002");
    spot.vanish();
    over_at = now_s();
    if (over_at > crash_at + kBackAfterS + 7.5) finish(2, "the spot machine was taken too late");
    // The list was eight seconds late up to now. When it is four seconds late, the machine is not in it any more.
    sleep_s(over_at + kListLagS + 0.05 - now_s());
    if (now_s() > spot_rented + 2 * kListLagS) finish(2, "the spot machine has been in the list");
    cloud.lag_s = kListLagS;
    record.line("the list is four seconds late again");
    task_started = 0;
  }

  // From now on the job may wait for 90 s while the first machine has room.
  double room_since = 0;
  double polled_at = 0;
  while (true) {
    controllers.check();
    if (task_started > 0 && task_completed > 0) finish(0, "the task ran and completed");
    if (task_started > 0 && now_s() > 112) finish(0, "the task runs");
    double cpus, gpus, ram_gb;
    first.free(cpus, gpus, ram_gb);
    const bool room = first.up() && cpus >= job.cpus && gpus >= job.gpus && ram_gb >= job.ram_gb;
    if (!room || task_started > 0) room_since = 0;
    else if (room_since == 0) room_since = now_s();
    if (now_s() > polled_at + 5) {
      polled_at = now_s();
      for (const auto& label : world.labels) {
        const auto reply = call(world.node_ports.at(label), "GET", "/submissions/" + job.id, "", 2);
        record.line("user asks " + label + " for " + job.id + " -> " + std::to_string(reply.status) + " " + reply.body);
      }
    }
    if (room_since > 0 && now_s() > std::max(room_since, over_at) + kWaitingLimitS)
      finish(1, "accepted job " + job.id +
                    " waits for 90 s after the troubles, while host-000001 has room and its team uses nothing");
    sleep_s(0.05);
  }
}
