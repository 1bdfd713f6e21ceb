#include "sched/preempt.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"
#include "jobs/job.hpp"

namespace finchrun::sched {
namespace {

using core::JobId;
using core::MachineId;
using core::TeamId;

Node full_node(std::uint32_t id) {
  Node n;
  n.id = MachineId{id};
  n.type = core::MachineTypeId{0};
  n.zone = core::ZoneId{0};
  n.size = {32, 4, 256};
  return n;
}
RunningTask running(std::uint32_t job, std::uint32_t machine, int priority, double gpus,
                    std::uint32_t team = 1) {
  RunningTask r;
  r.job = JobId{job};
  r.team = TeamId{team};
  r.machine = MachineId{machine};
  r.need = {gpus * 8, gpus, gpus * 64};
  r.priority = priority;
  r.stop_cost_s = 10;
  return r;
}
Demand demand(int priority, std::uint32_t tasks, bool may_claim_guarantee = false) {
  Demand d;
  d.job = JobId{99};
  d.team = TeamId{0};
  d.image = core::ImageId{0};
  d.need = {32, 4, 256};
  d.priority = priority;
  d.gang = true;
  d.count = d.zone_headroom = tasks;
  for (std::uint32_t i = 0; i < tasks; ++i) d.tasks.push_back(i);
  d.may_claim_guarantee = may_claim_guarantee;
  return d;
}
RunningTask gang(RunningTask r) {
  r.gang = true;
  return r;
}

struct Case {
  const char* name;
  Demand unplaced;
  std::vector<RunningTask> running;
  std::vector<GuaranteeUsage> guarantees;
  std::vector<std::size_t> victims;
};
class Preempt : public testing::TestWithParam<Case> {};
TEST_P(Preempt, SelectsExpectedVictims) {
  const auto& c = GetParam();
  const auto out = preempt({full_node(0), full_node(1)}, {c.unplaced}, {0}, c.running,
                           {TeamQuota{}, TeamQuota{}}, c.guarantees);
  std::vector<std::size_t> victims;
  if (!out.empty()) victims = out[0].victims;
  std::sort(victims.begin(), victims.end());
  EXPECT_EQ(victims, c.victims);
}
const GuaranteeUsage kUnusedGuarantee{{}, 0, 8};
GuaranteeUsage team_usage(double gpus, double guarantee) {
  return {{gpus * 8, gpus, gpus * 64}, 0, guarantee};
}

INSTANTIATE_TEST_SUITE_P(Table, Preempt,
                         testing::Values(Case{"preempts_lower_priority",
                                              demand(2, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 2, 4)},
                                              {kUnusedGuarantee, team_usage(8, 8)},
                                              {0}},
                                         Case{"equal_priority_is_protected",
                                              demand(1, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kUnusedGuarantee, team_usage(8, 8)},
                                              {}},
                                         Case{"idle_is_preempted_before_normal",
                                              demand(2, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 0, 4)},
                                              {kUnusedGuarantee, team_usage(8, 8)},
                                              {1}},
                                         Case{"nothing_preempted_if_gang_cannot_fit",
                                              demand(2, 2),
                                              {running(1, 0, 1, 4), running(2, 1, 2, 4)},
                                              {kUnusedGuarantee, team_usage(8, 8)},
                                              {}},
                                         Case{"victim_gang_is_stopped_as_a_whole",
                                              demand(2, 1),
                                              {gang(running(1, 0, 1, 4)), gang(running(1, 1, 1, 4))},
                                              {kUnusedGuarantee, team_usage(8, 8)},
                                              {0, 1}},
                                         Case{"guaranteed_demand_preempts_team_over_its_guarantee",
                                              demand(1, 1, true),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kUnusedGuarantee, team_usage(8, 4)},
                                              {0}},
                                         Case{"usage_within_another_guarantee_is_protected",
                                              demand(1, 2, true),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kUnusedGuarantee, team_usage(8, 4)},
                                              {}},
                                         Case{"no_preemption_without_guarantee",
                                              demand(1, 1, false),
                                              {running(1, 0, 1, 4)},
                                              {kUnusedGuarantee, team_usage(8, 0)},
                                              {}}),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           std::erase(name, '\'');
                           return name;
                         });

TEST(PreemptReservation, SkipsMachinesReservedForOtherJobs) {
  auto n = full_node(0);
  n.reserved_for = JobId{50};
  EXPECT_TRUE(preempt({n}, {demand(2, 1)}, {0}, {running(1, 0, 0, 4)}, {TeamQuota{}, TeamQuota{}},
                      {kUnusedGuarantee, kUnusedGuarantee})
                  .empty());
}

// A gang needs two whole machines; a task runs on each of three machines.
struct ReservationCase {
  const char* name;
  double waited_s;
  std::size_t max_machines;
  std::size_t machines;
};
class GangReservation : public testing::TestWithParam<ReservationCase> {};
TEST_P(GangReservation, ReservesMachinesAfterMinimumWait) {
  const auto& c = GetParam();
  auto d = demand(1, 2);
  d.waited_s = c.waited_s;
  auto small = running(1, 0, 1, 4), later = running(2, 1, 1, 4), last = running(3, 2, 1, 4);
  small.remaining_s = 10, later.remaining_s = 20, last.remaining_s = 300;
  const auto out = reserve_for_gangs({full_node(0), full_node(1), full_node(2)}, {d}, {0},
                                     {small, later, last}, {TeamQuota{}, TeamQuota{}}, 10, c.max_machines);
  EXPECT_EQ(out.empty() ? 0 : out[0].machines.size(), c.machines);
  if (!out.empty()) {
    EXPECT_DOUBLE_EQ(out[0].ready_in_s, 20) << "on the machines that are expected to be free first";
  }
}
INSTANTIATE_TEST_SUITE_P(Table, GangReservation,
                         testing::Values(ReservationCase{"no_reservation_before_minimum_wait", 5, 2, 0},
                                         ReservationCase{"reservation_after_minimum_wait", 30, 2, 2},
                                         ReservationCase{"first_gang_may_exceed_machine_limit", 30, 1, 2}),
                         kCaseName);

// A steady stream of small jobs takes all freed resources. Without a reservation the gang never starts.
TEST(GangReservations, StartGangUnderStreamOfSmallJobs) {
  for (const bool with_reservations : {true, false}) {
    auto free_gpus = std::vector<double>{0, 0};  // by machine; one-accelerator tasks use all
    std::vector<std::vector<double>> ends{{1, 2, 3, 4}, {1.5, 2.5, 3.5, 4.5}};
    core::JobId reserved[2];
    bool started = false;
    for (double t = 0; t < 60 && !started; t += 0.5) {
      for (std::size_t m = 0; m < 2; ++m)
        free_gpus[m] += static_cast<double>(std::erase_if(ends[m], [&](double e) { return e <= t; }));
      std::vector<Node> nodes{full_node(0), full_node(1)};
      std::vector<RunningTask> busy;
      for (std::uint32_t m = 0; m < 2; ++m) {
        nodes[m].free = {free_gpus[m] * 8, free_gpus[m], free_gpus[m] * 64};
        nodes[m].reserved_for = reserved[m];
        for (const double e : ends[m]) {
          auto r = running(1, m, 1, 1);
          r.remaining_s = e - t;
          busy.push_back(r);
        }
      }
      auto gang_job = demand(1, 2);
      gang_job.waited_s = t;
      auto small = demand(1, 4);
      small.job = JobId{5};
      small.need = {8, 1, 64};
      small.gang = false;
      small.expected_run_s = 4;
      Costs first, second;
      first.weight = 2;
      const auto plan = place(nodes, {small, gang_job}, {first, second}, {TeamQuota{}, TeamQuota{}});
      for (const auto& p : plan.placements) {
        started = started || p.demand == 1;
        if (p.demand == 0) {
          free_gpus[p.machine.index] -= 1;
          ends[p.machine.index].push_back(t + 4);
          auto r = running(1, p.machine.index, 1, 1);
          r.remaining_s = 4;
          busy.push_back(r);
        }
      }
      if (!with_reservations) continue;
      for (const auto& g :
           reserve_for_gangs(plan.nodes, {small, gang_job}, plan.unplaced, busy, plan.team_quotas, 10, 1))
        for (const auto m : g.machines) reserved[m.index] = gang_job.job;
    }
    EXPECT_EQ(started, with_reservations);
  }
}

// Replicas never free their resources by themselves, so a reservation of their machines would never
// be used.
TEST(GangReservations, SkipMachinesUsedByReplicas) {
  for (const bool endless : {false, true}) {
    auto d = demand(1, 1);
    d.waited_s = 60;
    auto r = running(1, 0, 3, 4);
    r.remaining_s = endless ? jobs::kUnlimitedRunTimeS : 30;
    auto n = full_node(0);
    n.free = {};
    EXPECT_EQ(reserve_for_gangs({n}, {d}, {0}, {r}, {TeamQuota{}, TeamQuota{}}, 10, 1).size(),
              endless ? 0u : 1u);
  }
}

struct ClaimCase {
  const char* name;
  bool demand_within;
  int demand_priority;
  bool victim_within;
  int victim_priority;
  std::size_t stopped;
};
class PreemptionOrder : public testing::TestWithParam<ClaimCase> {};
// Without a strict order, two jobs could preempt each other in turn.
TEST_P(PreemptionOrder, IsStrict) {
  const auto& c = GetParam();
  auto d = demand(c.demand_priority, 1, c.demand_within);
  d.within_guarantee = c.demand_within;
  auto victim = running(1, 0, c.victim_priority, 4);
  victim.within_guarantee = c.victim_within;
  const auto out = preempt({full_node(0)}, {d}, {0}, {victim}, {TeamQuota{}, TeamQuota{}},
                           {kUnusedGuarantee, team_usage(20, 8)});
  EXPECT_EQ(out.empty() ? 0 : out[0].victims.size(), c.stopped);
}
INSTANTIATE_TEST_SUITE_P(
    Table, PreemptionOrder,
    testing::Values(ClaimCase{"high_preempts_idle", false, 2, false, 0, 1},
                    ClaimCase{"high_over_guarantee_does_not_preempt_idle_within", false, 2, true, 0, 0},
                    ClaimCase{"idle_within_guarantee_preempts_high_over", true, 0, false, 2, 1},
                    ClaimCase{"high_within_guarantee_preempts_idle_within", true, 2, true, 0, 1},
                    ClaimCase{"idle_within_guarantee_does_not_preempt_high_within", true, 0, true, 2, 0}),
    kCaseName);

}  // namespace
}  // namespace finchrun::sched
