#include "jobs/job.hpp"

#include <gtest/gtest.h>

namespace finchrun::jobs {
namespace {

TEST(Intervals, AgreeWithAPlainSet) {
  const std::pair<std::uint32_t, std::uint32_t> adds[] = {{3, 4},   {5, 6},  {4, 5}, {0, 1},
                                                          {10, 20}, {9, 12}, {2, 2}, {1, 3}};
  Intervals set;
  std::vector<bool> plain(32);
  for (const auto& [a, b] : adds) {
    set.add(a, b);
    for (auto i = a; i < b; ++i) plain[i] = true;
    std::uint32_t n = 0;
    for (std::uint32_t i = 0; i < plain.size(); ++i) {
      EXPECT_EQ(set.contains(i), plain[i]) << i;
      n += plain[i] ? 1 : 0;
    }
    EXPECT_EQ(set.size(), n);
  }
  EXPECT_EQ(set.spans().size(), 2u);
}

TEST(Records, SurviveTheStore) {
  Names names;
  names.parts.intern("a.0");
  JobRecord r;
  r.spec.lane = names.lanes.intern("train");
  r.spec.team = names.teams.intern("vision");
  r.spec.image = names.images.intern("img");
  r.spec.gang = true;
  r.spec.priority = Priority::high;
  r.spec.tasks = 4;
  r.spec.need = {8, 1, 64.5};
  r.spec.types = {{names.types.intern("g8")}};
  r.spec.zone = names.zones.intern("a");
  r.spec.due_s = 12;
  r.ranges = {{0, 4, core::PartId{0}}};
  const auto back = job_from_json(to_json(r, names), names);
  EXPECT_EQ(to_json(back, names), to_json(r, names));
  EXPECT_EQ(back.ranges, r.ranges);

  RunRecord run;
  run.entries.push_back({2, 99, names.machines.intern("host-1"), 3});
  run.done.add(0, 2);
  EXPECT_EQ(to_json(run_from_json(to_json(run, names), names), names), to_json(run, names));

  // A finished job's record still tells what its last tasks take, until they are certainly gone.
  r.status = Status::cancelled;
  const auto over = job_from_json(to_json(r, names), names);
  EXPECT_EQ(over.status, Status::cancelled);
  EXPECT_EQ(over.spec.team, r.spec.team);
  EXPECT_DOUBLE_EQ(over.spec.need.ram_gb, 64.5);
}

}  // namespace
}  // namespace finchrun::jobs
