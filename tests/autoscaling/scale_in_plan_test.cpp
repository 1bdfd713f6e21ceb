#include "autoscaling/scale_in_plan.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "assignments/single_partition.hpp"

namespace finchrun::autoscaling {
namespace {

using assignments::SinglePartition;

const core::TimePoint kNow{core::to_duration(10000)};
core::TimePoint ago(double seconds) { return kNow - core::to_duration(seconds); }

config::Settings settings() {
  auto s = assignments::single_partition_settings();
  s.report_s = 3;
  s.lease_s = 30;
  s.cloud_list_lag_s = 5;
  return s;
}

/// The partition "a.0", which we lead, and in it the machine "m", healthy and empty.
struct Scene : SinglePartition {
  Scene() : SinglePartition(settings()) {
    state.synchronized_at = ago(0.1);
    state.tuning.idle_return_s = 600;
    state.fleet.machine_types = {{"cpu.4", {4, 0, 16}, 50, 1, 4, 1, 60, {"a"}}};
    state.fleet.machine_type_ids = {state.names.types.intern("cpu.4")};
    healthy("m");
  }
  agent::Machine& healthy(const std::string& name) {
    auto& machine = state.fleet.intern(state.names, name);
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
  void silent(double seconds) { machine().last_heartbeat = ago(seconds); }
  void place_task(bool cancelled = false) {
    const auto id = job("req-1", 1, false);
    jobs::JobAssignments run;
    run.assignments = {{0, 7, machine().id, 2}};
    state.cache.apply(
        {"runs/a.0/0",
         boost::json::object{{"jobs", boost::json::object{{"req-1", jobs::to_json(run, state.names)}}}},
         ++revision});
    if (!cancelled) return;
    auto record = *state.cache.job(id);
    record.status = jobs::Status::cancelled;
    state.cache.apply({"jobs/req-1", jobs::to_json(record, state.names), ++revision});
  }
};

struct Case {
  const char* name;
  std::function<void(Scene&)> arrange;
  std::optional<ScaleInReason> reason;
};
class ScaleInPlan : public testing::TestWithParam<Case> {};
TEST_P(ScaleInPlan, Returns) {
  Scene scene;
  GetParam().arrange(scene);
  std::optional<ScaleInReason> reason;
  for (const auto& decision : plan_scale_in(scene.state, kNow))
    if (decision.name == "m") reason = decision.reason;
  EXPECT_EQ(reason, GetParam().reason);
}

constexpr auto kKept = std::nullopt;
INSTANTIATE_TEST_SUITE_P(
    Table, ScaleInPlan,
    testing::Values(
        Case{"healthy", [](Scene&) {}, kKept},
        Case{"failed", [](Scene& s) { s.machine().status = "failed"; }, ScaleInReason::failed},
        Case{"failed_and_already_terminating",
             [](Scene& s) {
               s.machine().status = "failed";
               s.machine().terminating = true;
             },
             kKept},
        Case{"failed_and_gone",
             [](Scene& s) {
               s.machine().status = "failed";
               s.machine().gone = true;
             },
             kKept},
        Case{"state_is_not_current",
             [](Scene& s) {
               s.machine().status = "failed";
               s.state.synchronized_at = ago(1.6);
             },
             kKept},
        Case{"another_controller_leads",
             [](Scene& s) {
               s.machine().status = "failed";
               s.state.incarnation = 8;
             },
             kKept},
        Case{"in_use_unlisted_and_silent",
             [](Scene& s) {
               s.place_task();
               s.machine().listed = false;
               s.silent(12);
             },
             ScaleInReason::unlisted},
        Case{"in_use_unlisted_yet_heartbeating",
             [](Scene& s) {
               s.place_task();
               s.machine().listed = false;
               s.silent(10);
             },
             kKept},
        Case{"in_use_never_listed_the_list_lags",
             [](Scene& s) {
               s.place_task();
               s.machine().listed = s.machine().ever_listed = false;
               s.silent(19);
             },
             kKept},
        Case{"in_use_never_listed",
             [](Scene& s) {
               s.place_task();
               s.machine().listed = s.machine().ever_listed = false;
               s.silent(21);
             },
             ScaleInReason::unlisted},
        Case{"silent_within_the_wait",
             [](Scene& s) {
               s.healthy("other");
               s.silent(44);
             },
             kKept},
        Case{"silent",
             [](Scene& s) {
               s.healthy("other");
               s.silent(46);
             },
             ScaleInReason::silent},
        Case{"silent_towards_an_earlier_leader",
             [](Scene& s) {
               s.healthy("other");
               s.silent(46);
               s.state.leading_since[0] = ago(20);
             },
             kKept},
        Case{"silent_like_most_of_its_partition", [](Scene& s) { s.silent(119); }, kKept},
        Case{"silent_like_most_for_too_long", [](Scene& s) { s.silent(121); }, ScaleInReason::silent},
        Case{"silent_with_a_cancelled_task",
             [](Scene& s) {
               s.place_task(true);
               s.silent(34);
             },
             ScaleInReason::silent},
        Case{"starting_for_long",
             [](Scene& s) {
               s.machine().status = "starting";
               s.machine().has_heartbeat = false;
               s.machine().starting_since = ago(329);
             },
             kKept},
        Case{"never_came_up",
             [](Scene& s) {
               s.machine().status = "starting";
               s.machine().has_heartbeat = false;
               s.machine().starting_since = ago(331);
             },
             ScaleInReason::never_came_up},
        Case{"quarantined", [](Scene& s) { s.machine().quarantined = true; }, ScaleInReason::quarantined},
        Case{"quarantined_in_use",
             [](Scene& s) {
               s.place_task();
               s.machine().quarantined = true;
             },
             kKept},
        Case{"unreachable_for_one_lease", [](Scene& s) { s.machine().mark_unreachable(ago(74)); }, kKept},
        Case{"unreachable_for_two_leases", [](Scene& s) { s.machine().mark_unreachable(ago(76)); },
             ScaleInReason::unreachable},
        Case{"unreachable_and_silent",
             [](Scene& s) {
               s.machine().mark_unreachable(ago(76));
               s.silent(31);
             },
             kKept},
        Case{"idle_for_a_while", [](Scene& s) { s.machine().idle_since = ago(599); }, kKept},
        Case{"idle", [](Scene& s) { s.machine().idle_since = ago(601); }, ScaleInReason::idle},
        Case{"in_use_is_not_idle",
             [](Scene& s) {
               s.place_task();
               s.machine().idle_since = ago(601);
             },
             kKept}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ScaleInPlan, ReturnsAtMostOneRequestFullAtOnce) {
  Scene scene;
  for (int i = 0; i < 60; ++i) scene.healthy("host-" + std::to_string(i)).status = "failed";
  EXPECT_EQ(plan_scale_in(scene.state, kNow).size(), kMostReturnedAtOnce);
}

}  // namespace
}  // namespace finchrun::autoscaling
