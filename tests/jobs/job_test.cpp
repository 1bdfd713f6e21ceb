#include "jobs/job.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"

namespace finchrun::jobs {
namespace {

TEST(Intervals, MatchAPlainSet) {
  const std::pair<std::uint32_t, std::uint32_t> added[] = {{3, 4},   {5, 6},  {4, 5}, {0, 1},
                                                           {10, 20}, {9, 12}, {2, 2}, {1, 3}};
  Intervals set;
  std::vector<bool> expected(32);
  for (const auto& [from, to] : added) {
    set.add(from, to);
    for (auto number = from; number < to; ++number) expected[number] = true;
    std::uint32_t expected_size = 0;
    for (std::uint32_t number = 0; number < expected.size(); ++number) {
      EXPECT_EQ(set.contains(number), expected[number]) << number;
      expected_size += expected[number] ? 1 : 0;
    }
    EXPECT_EQ(set.size(), expected_size);
  }
  EXPECT_EQ(set.spans().size(), 2u);
}

TEST(Records, RoundTripThroughJson) {
  Names names;
  names.partitions.intern("a.0");
  JobRecord record;
  record.spec.job_class = names.job_classes.intern("train");
  record.spec.team = names.teams.intern("vision");
  record.spec.image = names.images.intern("img");
  record.spec.shape = Shape::gang;
  record.spec.priority = Priority::high;
  record.spec.tasks = 4;
  record.spec.need = {8, 1, 64.5};
  record.spec.allowed_types = {{names.types.intern("g8")}};
  record.spec.zone = names.zones.intern("a");
  record.spec.deadline_s = 12;
  record.ranges = {{0, 4, core::PartitionId{0}}};
  const auto read = job_from_json(to_json(record, names), names);
  EXPECT_EQ(to_json(read, names), to_json(record, names));
  EXPECT_EQ(read.ranges, record.ranges);

  JobAssignments job_assignments;
  job_assignments.assignments.push_back({2, 99, names.machines.intern("host-1"), 3});
  job_assignments.done.add(0, 2);
  EXPECT_EQ(to_json(assignments_from_json(to_json(job_assignments, names), names), names),
            to_json(job_assignments, names));

  // The record of a finished job keeps the resources of its last tasks, which may still run.
  record.status = Status::cancelled;
  const auto finished = job_from_json(to_json(record, names), names);
  EXPECT_EQ(finished.status, Status::cancelled);
  EXPECT_EQ(finished.spec.team, record.spec.team);
  EXPECT_DOUBLE_EQ(finished.spec.need.ram_gb, 64.5);
}

// Records as an earlier release writes them.
struct StoredCase {
  const char* name;
  const char* record;
  Status status;
  Shape shape;
};
class StoredByEarlierRelease : public testing::TestWithParam<StoredCase> {};
TEST_P(StoredByEarlierRelease, IsReadAndWrittenUnchanged) {
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
    Table, StoredByEarlierRelease,
    testing::Values(
        StoredCase{
            "array",
            R"({"st":"live","lane":"scan","team":"red","gang":false,"pri":"idle","n":9,"need":[6.0,1.0,48.0],
               "img":"img-3","gb":5.5,"types":["g8"],"onez":false,"sprd":false,"spot":true,"exp":80.0,"ckpt":30.0,
               "save":2.0,"due":170.5,"at":1790000000.5,"r":[[0,5,"a.0"],[5,9,"b.0"]]})",
            Status::live, Shape::array},
        StoredCase{
            "gang",
            R"({"st":"live","lane":"flow","team":"red","gang":true,"pri":"high","n":4,"need":[21.0,4.0,77.0],
               "img":"img-1","gb":7.0,"zone":"a","onez":true,"sprd":false,"spot":false,"exp":100.0,"ckpt":15.0,
               "save":2.0,"at":1790000000.5,"r":[[0,4,"a.0"]]})",
            Status::live, Shape::gang},
        StoredCase{"done", R"({"st":"done","n":4,"team":"red","need":[21.0,4.0,77.0]})", Status::done,
                   Shape::array},
        StoredCase{"cancelled", R"({"st":"cancelled","n":4,"team":"red","need":[1.0,0.0,2.0]})",
                   Status::cancelled, Shape::array}),
    kCaseName);

// When an earlier release moves a job's ranges, it keeps only the fields that it knows, with their types.
TEST(Records, ServiceSurvivesRewriteByEarlierRelease) {
  Names names;
  names.partitions.intern("a.0");
  JobRecord record;
  record.spec.job_class = names.job_classes.intern("service");
  record.spec.team = names.teams.intern("red");
  record.spec.image = names.images.intern("img");
  record.spec.shape = Shape::service;
  record.spec.expected_run_s = kUnlimitedRunTimeS;
  record.spec.priority = Priority::prod;
  record.spec.tasks = 3;
  record.spec.spread = true;
  record.ranges = {{0, 3, core::PartitionId{0}}};
  const auto written = to_json(record, names).as_object();
  json::object rewritten;
  for (const char* field : {"st", "lane", "team", "gang", "pri", "n", "need", "img", "gb", "onez", "sprd",
                            "spot", "exp", "ckpt", "save", "at", "r"})
    rewritten[field] = written.at(field);
  EXPECT_EQ(rewritten, written) << "an earlier release drops a field";
  EXPECT_TRUE(rewritten.at("gang").is_bool());
  EXPECT_TRUE(rewritten.at("exp").is_number());
  const auto read = job_from_json(rewritten, names);
  EXPECT_TRUE(read.spec.is_service());
  EXPECT_EQ(read.spec.expected_run_s, kUnlimitedRunTimeS);
}

}  // namespace
}  // namespace finchrun::jobs
