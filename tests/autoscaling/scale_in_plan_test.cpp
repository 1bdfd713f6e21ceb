#include "autoscaling/scale_in_plan.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"
#include "autoscaling/machine_release.hpp"
#include "core/case_names.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

const core::TimePoint kNow{core::to_duration(10000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

config::Settings settings() {
  auto settings = assignments::single_partition_settings();
  settings.heartbeat_interval_s = 3;
  settings.agent_lease_s = 30;
  settings.cloud_list_lag_s = 5;
  return settings;
}

/// A controller that leads partition "a.0", with one healthy, empty machine "m".
struct Fixture : SinglePartition {
  Fixture() : SinglePartition(settings()) {
    state.synchronized_at = ago(0.1);
    state.tuning.scale_in_idle_s = 600;
    state.fleet.machine_types = {{"cpu.4", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}}};
    state.fleet.machine_type_ids = {state.names.types.intern("cpu.4")};
    add_healthy_machine("m");
  }
  agent::Machine& add_healthy_machine(const std::string& name) {
    auto& machine = state.fleet.find_or_add(state.names, name, {});
    machine.partition = partition;
    machine.type = state.fleet.machine_type_ids[0];
    machine.first_seen = ago(9000);
    machine.listed = machine.ever_listed = true;
    machine.status = "running";
    machine.has_heartbeat = true;
    machine.last_heartbeat = machine.idle_since = ago(1);
    return machine;
  }
  agent::Machine& machine() { return *state.fleet.find(*state.names.machines.find("m")); }
  void set_silent_for(double seconds) { machine().last_heartbeat = ago(seconds); }
  void place_task(bool cancelled = false) {
    const auto id = job("req-1", 1, false);
    jobs::JobAssignments job_assignments;
    job_assignments.assignments = {{0, 7, machine().id, 2}};
    state.cache.apply(
        {"runs/a.0/0",
         boost::json::object{
             {"jobs", boost::json::object{{"req-1", jobs::to_json(job_assignments, state.names)}}}},
         ++revision});
    if (!cancelled) return;
    auto record = *state.cache.job(id);
    record.status = jobs::Status::cancelled;
    state.cache.apply({"jobs/req-1", jobs::to_json(record, state.names), ++revision});
  }
};

struct Case {
  const char* name;
  std::function<void(Fixture&)> arrange;
  std::optional<ScaleInReason> reason;
};
class ScaleInPlan : public testing::TestWithParam<Case> {};
TEST_P(ScaleInPlan, ReleasesForExpectedReason) {
  Fixture fixture;
  GetParam().arrange(fixture);
  std::optional<ScaleInReason> reason;
  for (const auto& decision : plan_scale_in(fixture.state, kNow).request)
    if (decision.name == "m") reason = decision.reason;
  EXPECT_EQ(reason, GetParam().reason);
}

constexpr auto kKept = std::nullopt;
INSTANTIATE_TEST_SUITE_P(
    Table, ScaleInPlan,
    testing::Values(
        Case{"healthy", [](Fixture&) {}, kKept},
        Case{"failed", [](Fixture& fixture) { fixture.machine().status = "failed"; }, ScaleInReason::failed},
        Case{"failed_and_already_terminating",
             [](Fixture& fixture) {
               fixture.machine().status = "failed";
               fixture.machine().terminating = true;
             },
             kKept},
        Case{"failed_and_deleted",
             [](Fixture& fixture) {
               fixture.machine().status = "failed";
               fixture.machine().deleted = true;
             },
             kKept},
        Case{"state_is_not_current",
             [](Fixture& fixture) {
               fixture.machine().status = "failed";
               fixture.state.synchronized_at = ago(1.6);
             },
             kKept},
        Case{"another_controller_leads",
             [](Fixture& fixture) {
               fixture.machine().status = "failed";
               fixture.state.incarnation = 8;
             },
             kKept},
        Case{"in_use_unlisted_and_silent",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().listed = false;
               fixture.set_silent_for(12);
             },
             ScaleInReason::unlisted},
        Case{"in_use_unlisted_yet_heartbeating",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().listed = false;
               fixture.set_silent_for(10);
             },
             kKept},
        Case{"in_use_not_listed_yet",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().listed = fixture.machine().ever_listed = false;
               fixture.set_silent_for(19);
             },
             kKept},
        Case{"in_use_never_listed",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().listed = fixture.machine().ever_listed = false;
               fixture.set_silent_for(21);
             },
             ScaleInReason::unlisted},
        Case{"silent_within_grace_period",
             [](Fixture& fixture) {
               fixture.add_healthy_machine("other");
               fixture.set_silent_for(44);
             },
             kKept},
        Case{"silent",
             [](Fixture& fixture) {
               fixture.add_healthy_machine("other");
               fixture.set_silent_for(46);
             },
             ScaleInReason::silent},
        Case{"silent_but_leader_is_new",
             [](Fixture& fixture) {
               fixture.add_healthy_machine("other");
               fixture.set_silent_for(46);
               fixture.state.leading_since[0] = ago(20);
             },
             kKept},
        Case{"silent_like_most_of_its_partition", [](Fixture& fixture) { fixture.set_silent_for(119); },
             kKept},
        Case{"silent_like_most_for_too_long", [](Fixture& fixture) { fixture.set_silent_for(121); },
             ScaleInReason::silent},
        Case{"silent_with_a_cancelled_task",
             [](Fixture& fixture) {
               fixture.place_task(true);
               fixture.set_silent_for(34);
             },
             ScaleInReason::silent},
        Case{"starting_within_limit",
             [](Fixture& fixture) {
               fixture.machine().status = "starting";
               fixture.machine().has_heartbeat = false;
               fixture.machine().starting_since = ago(329);
             },
             kKept},
        Case{"never_came_up",
             [](Fixture& fixture) {
               fixture.machine().status = "starting";
               fixture.machine().has_heartbeat = false;
               fixture.machine().starting_since = ago(331);
             },
             ScaleInReason::never_came_up},
        Case{"quarantined", [](Fixture& fixture) { fixture.machine().quarantined = true; },
             ScaleInReason::quarantined},
        Case{"quarantined_in_use",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().quarantined = true;
             },
             kKept},
        Case{"unreachable_for_one_lease",
             [](Fixture& fixture) { fixture.machine().mark_unreachable(ago(74)); }, kKept},
        Case{"unreachable_for_two_leases",
             [](Fixture& fixture) { fixture.machine().mark_unreachable(ago(76)); },
             ScaleInReason::unreachable},
        Case{"unreachable_and_silent",
             [](Fixture& fixture) {
               fixture.machine().mark_unreachable(ago(76));
               fixture.set_silent_for(31);
             },
             kKept},
        Case{"idle_for_a_while", [](Fixture& fixture) { fixture.machine().idle_since = ago(599); }, kKept},
        Case{"idle", [](Fixture& fixture) { fixture.machine().idle_since = ago(601); }, ScaleInReason::idle},
        Case{"in_use_is_not_idle",
             [](Fixture& fixture) {
               fixture.place_task();
               fixture.machine().idle_since = ago(601);
             },
             kKept}),
    kCaseName);

TEST(ScaleInPlan, ReleasesNoMoreThanTheLimitAtOnce) {
  Fixture fixture;
  for (int i = 0; i < 60; ++i) fixture.add_healthy_machine("host-" + std::to_string(i)).status = "failed";
  const auto plan = plan_scale_in(fixture.state, kNow);
  EXPECT_EQ(plan.request.size(), kMaxReleasesPerPlan);
  EXPECT_EQ(plan.postponed.size(), 60 - kMaxReleasesPerPlan);
}

// How many machines a request may name after requests that the cloud refused.
TEST(ScaleInPlan, HalvesTheRequestWithEachRefusal) {
  const std::vector<std::size_t> expected{50, 25, 12, 6, 3, 1, 1, 1};
  agent::Machine machine;
  for (const auto limit : expected) {
    EXPECT_EQ(max_release_batch(machine), limit) << machine.refused_releases;
    ++machine.refused_releases;
  }
}

// Guards against one machine that the cloud refuses to delete, in whose request all others are refused too.
TEST(ScaleInPlan, AMachineThatIsRefusedDoesNotKeepOthersFromBeingReleased) {
  constexpr int kMachines = 60, kRequests = 16;
  Fixture fixture;
  for (int i = 0; i < kMachines; ++i)
    fixture.add_healthy_machine("host-" + std::to_string(i)).status = "failed";
  const std::string refused = "host-7";
  for (int request = 0; request < kRequests; ++request) {
    const auto now = kNow + core::to_duration(request);
    fixture.state.synchronized_at = now;
    const auto plan = plan_scale_in(fixture.state, now);
    const bool is_refused = std::any_of(plan.request.begin(), plan.request.end(),
                                        [&](const auto& decision) { return decision.name == refused; });
    for (const auto& decision : plan.request) {
      auto& machine = *fixture.state.fleet.find(decision.machine);
      machine.release_requested_at = now;
      machine.deleted = !is_refused;
      machine.refused_releases += is_refused ? 1 : 0;
    }
  }
  for (const auto& [_, machine] : fixture.state.fleet.machines())
    EXPECT_EQ(machine.deleted, machine.name != "m" && machine.name != refused) << machine.name;
}

// Guards against machines that are deleted one by one, for minutes, after a time in which the cloud refused
// all deletions: their requests had been halved, and never grew again. One machine may stay refused.
TEST(ScaleInPlan, RequestsGrowAgainOnceDeletionsAreConfirmed) {
  constexpr int kMachines = 200, kRefusedRequests = 600, kLaterRequests = 40;
  for (const std::string refused_for_good : {"none", "host-7"}) {
    Fixture fixture;
    for (int i = 0; i < kMachines; ++i)
      fixture.add_healthy_machine("host-" + std::to_string(i)).status = "failed";
    for (int request = 0; request < kRefusedRequests + kLaterRequests; ++request) {
      const auto now = kNow + core::to_duration(request);
      fixture.state.synchronized_at = now;
      fixture.machine().last_heartbeat = fixture.machine().idle_since = now;
      const auto plan = plan_scale_in(fixture.state, now);
      begin_release(fixture.state, plan, now);
      const bool is_refused =
          request < kRefusedRequests ||
          std::any_of(plan.request.begin(), plan.request.end(),
                      [&](const auto& decision) { return decision.name == refused_for_good; });
      for (const auto& decision : plan.request) {
        if (is_refused)
          fail_release(fixture.state, decision, cloud::Error::refused, true);
        else
          finish_release(fixture.state, decision);
      }
      if (!is_refused) forgive_refused_releases(fixture.state);
    }
    for (const auto& [_, machine] : fixture.state.fleet.machines())
      EXPECT_EQ(machine.deleted, machine.name != "m" && machine.name != refused_for_good) << machine.name;
  }
}

}  // namespace
}  // namespace finchrun::autoscaling
