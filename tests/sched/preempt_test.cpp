#include "sched/preempt.hpp"

#include <gtest/gtest.h>

namespace finchrun::sched {
namespace {

using core::JobId;
using core::MachineId;
using core::TeamId;

Node full(std::uint32_t id) {
  Node n;
  n.id = MachineId{id};
  n.type = core::TypeId{0};
  n.zone = core::ZoneId{0};
  n.size = {32, 4, 256};
  return n;
}
Running running(std::uint32_t job, std::uint32_t machine, int priority, double gpus, std::uint32_t team = 1) {
  Running r;
  r.job = JobId{job};
  r.team = TeamId{team};
  r.machine = MachineId{machine};
  r.need = {gpus * 8, gpus, gpus * 64};
  r.priority = priority;
  r.loss_s = 10;
  return r;
}
Demand demand(int priority, std::uint32_t tasks, bool guaranteed = false) {
  Demand d;
  d.job = JobId{99};
  d.team = TeamId{0};
  d.image = core::ImageId{0};
  d.need = {32, 4, 256};
  d.priority = priority;
  d.gang = true;
  d.count = d.room_in_zone = tasks;
  for (std::uint32_t i = 0; i < tasks; ++i) d.tasks.push_back(i);
  d.guaranteed = guaranteed;
  return d;
}
Running gang(Running r) {
  r.gang = true;
  return r;
}

struct Case {
  const char* name;
  Demand d;
  std::vector<Running> running;
  std::vector<TeamClaim> claims;
  std::vector<std::size_t> victims;
};
class Preempt : public testing::TestWithParam<Case> {};
TEST_P(Preempt, Stops) {
  const auto& c = GetParam();
  const auto out = preempt({full(0), full(1)}, {c.d}, {0}, c.running, {TeamRoom{}, TeamRoom{}}, c.claims);
  std::vector<std::size_t> victims;
  if (!out.empty()) victims = out[0].victims;
  std::sort(victims.begin(), victims.end());
  EXPECT_EQ(victims, c.victims);
}
const TeamClaim kIdle{{}, 0, 8};
TeamClaim uses(double gpus, double guarantee) { return {{gpus * 8, gpus, gpus * 64}, 0, guarantee}; }

INSTANTIATE_TEST_SUITE_P(Table, Preempt,
                         testing::Values(Case{"lower_priority_is_stopped",
                                              demand(2, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 2, 4)},
                                              {kIdle, uses(8, 8)},
                                              {0}},
                                         Case{"equal_priority_is_not",
                                              demand(1, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kIdle, uses(8, 8)},
                                              {}},
                                         Case{"idle_before_normal",
                                              demand(2, 1),
                                              {running(1, 0, 1, 4), running(2, 1, 0, 4)},
                                              {kIdle, uses(8, 8)},
                                              {1}},
                                         Case{"gang_needs_all_its_places",
                                              demand(2, 2),
                                              {running(1, 0, 1, 4), running(2, 1, 2, 4)},
                                              {kIdle, uses(8, 8)},
                                              {}},
                                         Case{"a_gang_goes_as_a_whole",
                                              demand(2, 1),
                                              {gang(running(1, 0, 1, 4)), gang(running(1, 1, 1, 4))},
                                              {kIdle, uses(8, 8)},
                                              {0, 1}},
                                         Case{"guarantee_stops_what_is_beyond_another's",
                                              demand(1, 1, true),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kIdle, uses(8, 4)},
                                              {0}},
                                         Case{"guarantee_leaves_guarantees_alone",
                                              demand(1, 2, true),
                                              {running(1, 0, 1, 4), running(2, 1, 1, 4)},
                                              {kIdle, uses(8, 4)},
                                              {}},
                                         Case{"without_guarantee_no_claim",
                                              demand(1, 1, false),
                                              {running(1, 0, 1, 4)},
                                              {kIdle, uses(8, 0)},
                                              {}}),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           std::erase(name, '\'');
                           return name;
                         });

TEST(PreemptReservation, LeavesOthersReservationsAlone) {
  auto n = full(0);
  n.reserved_for = JobId{50};
  EXPECT_TRUE(
      preempt({n}, {demand(2, 1)}, {0}, {running(1, 0, 0, 4)}, {TeamRoom{}, TeamRoom{}}, {kIdle, kIdle})
          .empty());
}

}  // namespace
}  // namespace finchrun::sched
