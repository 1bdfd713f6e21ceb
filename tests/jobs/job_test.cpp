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
  names.partitions.intern("a.0");
  JobRecord r;
  r.spec.job_class = names.job_classes.intern("train");
  r.spec.team = names.teams.intern("vision");
  r.spec.image = names.images.intern("img");
  r.spec.shape = Shape::gang;
  r.spec.priority = Priority::high;
  r.spec.tasks = 4;
  r.spec.need = {8, 1, 64.5};
  r.spec.types = {{names.types.intern("g8")}};
  r.spec.zone = names.zones.intern("a");
  r.spec.deadline_s = 12;
  r.ranges = {{0, 4, core::PartitionId{0}}};
  const auto back = job_from_json(to_json(r, names), names);
  EXPECT_EQ(to_json(back, names), to_json(r, names));
  EXPECT_EQ(back.ranges, r.ranges);

  JobAssignments run;
  run.assignments.push_back({2, 99, names.machines.intern("host-1"), 3});
  run.done.add(0, 2);
  EXPECT_EQ(to_json(assignments_from_json(to_json(run, names), names), names), to_json(run, names));

  // A finished job's record still tells what its last tasks take, until they are certainly gone.
  r.status = Status::cancelled;
  const auto over = job_from_json(to_json(r, names), names);
  EXPECT_EQ(over.status, Status::cancelled);
  EXPECT_EQ(over.spec.team, r.spec.team);
  EXPECT_DOUBLE_EQ(over.spec.need.ram_gb, 64.5);
}

// Records as the version in production writes them.
struct Stored {
  const char* name;
  const char* record;
  Status status;
  Shape shape;
};
class StoredByProduction : public testing::TestWithParam<Stored> {};
TEST_P(StoredByProduction, IsReadAndWrittenAgainUnchanged) {
  Names names;
  names.partitions.intern("a.0");
  names.partitions.intern("b.0");
  const auto stored = json::parse(GetParam().record);
  const auto record = job_from_json(stored, names);
  EXPECT_EQ(record.status, GetParam().status);
  EXPECT_EQ(record.spec.shape, GetParam().shape);
  EXPECT_EQ(to_json(record, names), stored);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StoredByProduction,
    testing::Values(
        Stored{
            "array",
            R"({"st":"live","lane":"scan","team":"red","gang":false,"pri":"idle","n":9,"need":[6.0,1.0,48.0],
               "img":"img-3","gb":5.5,"types":["g8"],"onez":false,"sprd":false,"spot":true,"exp":80.0,"ckpt":30.0,
               "save":2.0,"due":170.5,"at":1790000000.5,"r":[[0,5,"a.0"],[5,9,"b.0"]]})",
            Status::live, Shape::array},
        Stored{
            "gang",
            R"({"st":"live","lane":"flow","team":"red","gang":true,"pri":"high","n":4,"need":[21.0,4.0,77.0],
               "img":"img-1","gb":7.0,"zone":"a","onez":true,"sprd":false,"spot":false,"exp":100.0,"ckpt":15.0,
               "save":2.0,"at":1790000000.5,"r":[[0,4,"a.0"]]})",
            Status::live, Shape::gang},
        Stored{"done", R"({"st":"done","n":4,"team":"red","need":[21.0,4.0,77.0]})", Status::done,
               Shape::array},
        Stored{"cancelled", R"({"st":"cancelled","n":4,"team":"red","need":[1.0,0.0,2.0]})",
               Status::cancelled, Shape::array}),
    [](const auto& info) { return std::string(info.param.name); });

// The version in production keeps the fields it knows, with their types, when it moves a job's ranges.
TEST(Records, AStandingJobStaysOneWhenProductionRewritesIt) {
  Names names;
  names.partitions.intern("a.0");
  JobRecord r;
  r.spec.job_class = names.job_classes.intern("service");
  r.spec.team = names.teams.intern("red");
  r.spec.image = names.images.intern("img");
  r.spec.shape = Shape::standing;
  r.spec.expected_run_s = kNoEnd;
  r.spec.priority = Priority::prod;
  r.spec.tasks = 3;
  r.spec.spread = true;
  r.ranges = {{0, 3, core::PartitionId{0}}};
  const auto written = to_json(r, names).as_object();
  json::object rewritten;
  for (const char* field : {"st", "lane", "team", "gang", "pri", "n", "need", "img", "gb", "onez", "sprd",
                            "spot", "exp", "ckpt", "save", "at", "r"})
    rewritten[field] = written.at(field);
  EXPECT_EQ(rewritten, written) << "a field that production drops";
  EXPECT_TRUE(rewritten.at("gang").is_bool());
  EXPECT_TRUE(rewritten.at("exp").is_number());
  const auto back = job_from_json(rewritten, names);
  EXPECT_TRUE(back.spec.standing());
  EXPECT_EQ(back.spec.expected_run_s, kNoEnd);
}

}  // namespace
}  // namespace finchrun::jobs
