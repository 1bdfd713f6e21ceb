#include "sched/place.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"
#include "sched/distribute.hpp"

namespace finchrun::sched {
namespace {

using core::ImageId;
using core::JobId;
using core::MachineId;
using core::MachineTypeId;
using core::PartitionId;
using core::TeamId;
using core::ZoneId;

Node node(std::uint32_t id, double gpus, bool spot = false, std::uint32_t type = 0) {
  Node n;
  n.id = MachineId{id};
  n.type = MachineTypeId{type};
  n.zone = ZoneId{0};
  n.spot = spot;
  n.size = n.free = {gpus * 8, gpus, gpus * 64};
  return n;
}

Demand demand(std::uint32_t job, std::uint32_t tasks, double gpus, bool gang) {
  Demand d;
  d.job = JobId{job};
  d.team = TeamId{0};
  d.image = ImageId{job};
  d.image_gb = 5;
  d.need = {gpus * 8, gpus, gpus * 64};
  d.gang = gang;
  d.count = tasks;
  for (std::uint32_t i = 0; i < tasks; ++i) d.tasks.push_back(i);
  d.zone_headroom = tasks;
  return d;
}

Costs weight(double w) {
  Costs c;
  c.weight = w;
  return c;
}

struct Case {
  const char* name;
  std::vector<Node> nodes;
  std::vector<Demand> demands;
  std::vector<double> weights;
  double gpus_max;
  std::vector<std::size_t> placed;  // tasks placed, by demand
};

class Place : public testing::TestWithParam<Case> {};

TEST_P(Place, PlacesExpectedNumberOfTasks) {
  const auto& c = GetParam();
  std::vector<Costs> costs;
  for (double w : c.weights) costs.push_back(weight(w));
  const auto plan = place(c.nodes, c.demands, costs, {TeamQuota{{}, 0, c.gpus_max}});
  std::vector<std::size_t> placed(c.demands.size());
  std::map<MachineId, core::Resources> free;
  for (const auto& n : c.nodes) free[n.id] = n.free;
  for (const auto& p : plan.placements) {
    ++placed[p.demand];
    EXPECT_TRUE(c.demands[p.demand].need.fits_in(free[p.machine]));
    free[p.machine] -= c.demands[p.demand].need;
  }
  EXPECT_EQ(placed, c.placed);
}

Demand with(Demand d, auto&& change) {
  change(d);
  return d;
}

INSTANTIATE_TEST_SUITE_P(
    Table, Place,
    testing::Values(Case{"highest_weight_first",
                         {node(0, 4)},
                         {demand(0, 1, 4, false), demand(1, 1, 4, false)},
                         {1, 2},
                         0,
                         {0, 1}},
                    Case{"gang_is_not_placed_in_part",
                         {node(0, 4), node(1, 2)},
                         {demand(0, 2, 4, true), demand(1, 1, 2, false)},
                         {2, 1},
                         0,
                         {0, 1}},
                    Case{"array_is_placed_in_part", {node(0, 4)}, {demand(0, 9, 1, false)}, {1}, 0, {4}},
                    Case{"array_capped_by_team_limit", {node(0, 8)}, {demand(0, 8, 1, false)}, {1}, 3, {3}},
                    Case{"gang_over_team_limit", {node(0, 8)}, {demand(0, 4, 1, true)}, {1}, 3, {0}},
                    Case{"spot_not_allowed", {node(0, 4, true)}, {demand(0, 1, 4, false)}, {1}, 0, {0}},
                    Case{"spot_allowed",
                         {node(0, 4, true)},
                         {with(demand(0, 1, 4, false), [](Demand& d) { d.spot = true; })},
                         {1},
                         0,
                         {1}},
                    Case{"type_not_allowed",
                         {node(0, 4, false, 1)},
                         {with(demand(0, 1, 1, false),
                               [](Demand& d) { d.allowed_types = {{MachineTypeId{0}}}; })},
                         {1},
                         0,
                         {0}},
                    Case{"other_zone",
                         {node(0, 4)},
                         {with(demand(0, 1, 1, false), [](Demand& d) { d.zone = ZoneId{1}; })},
                         {1},
                         0,
                         {0}},
                    Case{"array_capped_by_zone_limit",
                         {node(0, 8)},
                         {with(demand(0, 5, 1, false), [](Demand& d) { d.zone_headroom = 3; })},
                         {1},
                         0,
                         {3}},
                    Case{"gang_over_zone_limit",
                         {node(0, 8)},
                         {with(demand(0, 5, 1, true), [](Demand& d) { d.zone_headroom = 3; })},
                         {1},
                         0,
                         {0}}),
    kCaseName);

TEST(Place, PrefersMachineWithCachedImage) {
  auto cold = node(0, 4), warm = node(1, 4);
  warm.images.push_back(ImageId{7});
  auto d = demand(7, 1, 4, true);
  const auto plan = place({cold, warm}, {d}, {weight(1)}, {TeamQuota{}});
  ASSERT_EQ(plan.placements.size(), 1u);
  EXPECT_EQ(plan.placements[0].machine, MachineId{1});
}

// A replica should start within seconds: it is placed where its image is cached, or is fetched without
// concurrent fetches, and not next to another replica of its service.
TEST(Place, PrefersFastestStartForReplica) {
  auto busy = node(0, 4), alone = node(1, 4), warm = node(2, 4), colocated = node(3, 4);
  busy.fetches_in_progress = 2;
  warm.images.push_back(ImageId{7});
  colocated.images.push_back(ImageId{7});
  colocated.replicas.push_back(JobId{7});
  auto d = demand(7, 1, 0, false);
  d.need = {1, 0, 4};
  d.image_gb = 1;
  d.is_service = true;
  d.expected_run_s = jobs::kUnlimitedRunTimeS;
  struct Case {
    std::vector<Node> nodes;
    MachineId chosen;
  };
  for (const auto& c : {Case{{busy, alone}, alone.id}, Case{{busy, alone, warm, colocated}, warm.id},
                        Case{{colocated, alone}, alone.id}}) {
    const auto plan = place(c.nodes, {d}, {weight(1)}, {TeamQuota{}});
    ASSERT_EQ(plan.placements.size(), 1u);
    EXPECT_EQ(plan.placements[0].machine, c.chosen);
  }
  // An endless replica would not free a machine that is reserved for a gang.
  auto reserved = alone;
  reserved.reserved_for = JobId{1};
  reserved.reservation_starts_in_s = 1e9;
  EXPECT_FALSE(respects_reservation(d, reserved));
}

struct PrecedenceCase {
  int priority;
  bool deferrable;
  int precedence;
};
// Priorities above normal precede the ranking, idle jobs are ranked like normal ones, and deferrable jobs are
// last.
TEST(Precedence, FollowsPriorityAboveNormalAndDeferrable) {
  for (const auto& c : {PrecedenceCase{0, false, 1}, PrecedenceCase{1, false, 1}, PrecedenceCase{2, false, 2},
                        PrecedenceCase{3, false, 3}, PrecedenceCase{3, true, 0}}) {
    Demand d;
    d.priority = c.priority;
    d.deferrable = c.deferrable;
    EXPECT_EQ(precedence(d), c.precedence) << c.priority;
  }
}

struct DistributeCase {
  const char* name;
  std::uint32_t tasks;
  bool gang, spread;
  std::vector<PartitionCapacity> partitions;
  std::vector<std::uint32_t> want;  // tasks by partition
};
class Distribute : public testing::TestWithParam<DistributeCase> {};
TEST_P(Distribute, AssignsEachTaskToOnePartition) {
  const auto& c = GetParam();
  jobs::JobSpec spec;
  spec.tasks = c.tasks;
  spec.shape = c.gang ? jobs::Shape::gang : jobs::Shape::array;
  spec.spread = c.spread;
  const auto ranges = distribute(spec, c.partitions);
  std::vector<std::uint32_t> got(c.partitions.size());
  std::uint32_t at = 0;
  for (const auto& r : ranges) {
    EXPECT_EQ(r.from, at);
    at = r.to;
    got[r.partition.index] += r.to - r.from;
  }
  EXPECT_EQ(at, c.tasks);
  EXPECT_EQ(got, c.want);
}
PartitionCapacity room(std::uint32_t partition, double free, double backlog = 0, double capacity = 16) {
  return {PartitionId{partition}, ZoneId{partition}, true, free, backlog, capacity, false};
}
// An uneven spread would lose more replicas than necessary in a zone outage.
TEST(Distribute, SpreadsReplicasEvenlyOverZones) {
  struct Case {
    std::uint32_t replicas;
    std::vector<PartitionCapacity> partitions;
    std::vector<std::uint32_t> want;
  };
  for (const auto& c : {Case{4, {room(0, 9), room(1, 8), room(2, 7)}, {2, 2, 0}},
                        Case{3, {room(0, 9), room(1, 8), room(2, 7)}, {1, 1, 1}},
                        Case{3, {room(0, 9), room(1, 8), room(2, 0)}, {2, 1, 0}}}) {
    jobs::JobSpec spec;
    spec.tasks = c.replicas;
    spec.shape = jobs::Shape::service;
    spec.spread = true;
    std::vector<std::uint32_t> got(c.partitions.size());
    for (const auto& r : distribute(spec, c.partitions)) got[r.partition.index] += r.to - r.from;
    EXPECT_EQ(got, c.want) << c.replicas;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, Distribute,
    testing::Values(
        DistributeCase{
            "gang_in_partition_with_most_free_capacity", 2, true, false, {room(0, 1), room(1, 4)}, {0, 2}},
        DistributeCase{"array_by_free_capacity", 6, false, false, {room(0, 4), room(1, 2)}, {4, 2}},
        DistributeCase{"backlog_reduces_free_capacity", 4, false, false, {room(0, 4, 4), room(1, 4)}, {0, 4}},
        DistributeCase{"spread_over_two_zones", 5, false, true, {room(0, 9), room(1, 9)}, {3, 2}},
        DistributeCase{
            "by_total_capacity_if_none_is_free", 4, false, false, {room(0, 0), room(1, 0)}, {2, 2}}),
    kCaseName);

}  // namespace
}  // namespace finchrun::sched
