#include "state/records.hpp"

#include <gtest/gtest.h>

#include "state/keys.hpp"

namespace finchrun::state {
namespace {

// Stored forms as the version in production writes them. Other versions read them, so no byte may change.
struct RecordsFixture {
  RecordsFixture() {
    for (const char* name : {"a.0", "b.0"}) names.partitions.intern(name);
    for (const char* name : {"red", "blue"}) names.teams.intern(name);
  }
  jobs::Names names;
};

TEST(Keys, KeepTheirStoredForm) {
  using keys::Table;
  const std::tuple<std::string, Table, std::string, const char*> cases[] = {
      {keys::job("req-1"), Table::jobs, "req-1", "jobs/req-1"},
      {keys::shard("a.0", "3"), Table::shards, "a.0/3", "runs/a.0/3"},
      {keys::tombstones("a.0"), Table::tombstones, "a.0", "ends/a.0"},
      {keys::leadership("a.0"), Table::leadership, "a.0", "parts/a.0"},
      {keys::member("perch-1"), Table::members, "perch-1", "members/perch-1"},
      {keys::quota("red"), Table::quotas, "red", "teams/red"},
      {keys::fence("a.0"), Table::fences, "a.0", "fence/a.0"},
      {keys::usage("a.0"), Table::usage, "a.0", "usage/a.0"}};
  for (const auto& [key, table, name, expected_key] : cases) {
    EXPECT_EQ(key, expected_key);
    EXPECT_EQ(keys::table_from(keys::split(key).first), table) << key;
    EXPECT_EQ(keys::split(key).second, name);
  }
  EXPECT_EQ(keys::table_from("later"), Table::unknown) << "written by a newer version";
}

TEST(Records, MemberKeepsItsStoredForm) {
  const std::string text = R"({"inc":71,"level":2})";
  const auto member = decode_member(json::parse(text), 12);
  EXPECT_EQ(member.incarnation, 71u);
  EXPECT_EQ(member.record_level, 2u);
  EXPECT_EQ(member.revision, 12u);
  EXPECT_EQ(json::serialize(encode(member)), text);
  EXPECT_EQ(decode_member(json::parse(R"({"inc":3})"), 1).record_level, 0u)
      << "written by a build without record levels";
}

TEST(Records, LeadershipKeepsItsStoredForm) {
  const std::string text = R"({"owner":"perch-1","inc":71})";
  const auto leadership = decode_leadership(json::parse(text), 41);
  EXPECT_EQ(leadership.leader, "perch-1");
  EXPECT_EQ(leadership.incarnation, 71u);
  EXPECT_EQ(leadership.revision, 41u);
  EXPECT_EQ(json::serialize(encode(leadership)), text);
}

TEST(Records, QuotaKeepsItsStoredForm) {
  RecordsFixture fixture;
  const std::string text = R"({"parts":{"a.0":[1.25E1,4E0,0E0,0E0],"b.0":[2E1,0E0,3E0,1E0]}})";
  const auto quota = decode_quota(json::parse(text), 9, 2, fixture.names);
  ASSERT_EQ(quota.partitions.size(), 2u);
  EXPECT_EQ(quota.partitions[0].first.cpus, 12.5);
  EXPECT_EQ(quota.partitions[0].first.gpus, 4);
  EXPECT_EQ(quota.partitions[1].second.cpus, 3);
  EXPECT_EQ(quota.partitions[1].second.gpus, 1);
  EXPECT_EQ(json::serialize(encode(quota, fixture.names)), text);
  // A partition that was added after the record was written has neither a share nor a request; an unknown
  // partition in the record is an error.
  EXPECT_EQ(decode_quota(json::parse(R"({"parts":{"a.0":[1,2,3,4]}})"), 9, 2, fixture.names)
                .partitions[1]
                .first.cpus,
            0);
  EXPECT_THROW(decode_quota(json::parse(R"({"parts":{"z.9":[1,2,3,4]}})"), 9, 2, fixture.names),
               std::exception);
}

TEST(Records, UsageKeepsItsStoredForm) {
  const std::string text = R"({"i":4972,"w":[[120,0],[3600,25]]})";
  const auto usage = decode_usage(json::parse(text), 8);
  EXPECT_EQ(usage.index, 4972);
  EXPECT_EQ(usage.windows, (std::deque<std::vector<double>>{{120, 0}, {3600, 25}}));
  EXPECT_EQ(json::serialize(encode(usage, 1024)), text);
}

TEST(Records, UsageIsRoundedAndDropsOldestWindowsOverTheLimit) {
  const UsageRecord usage{7, {{1.4, 2.5}, {10, 20}, {30, 40}}, 0};
  EXPECT_EQ(json::serialize(encode(usage, 1024)), R"({"i":7,"w":[[1,3],[10,20],[30,40]]})");
  EXPECT_EQ(json::serialize(encode(usage, 48 + 6 + 8)), R"({"i":7,"w":[[1,3],[10,20]]})");
  EXPECT_EQ(json::serialize(encode(usage, 48)), R"({"i":7,"w":[]})");
}

TEST(Records, FenceIsWrittenAsTheNewestRevision) { EXPECT_EQ(json::serialize(encode_fence(431)), "431"); }

TEST(Records, TombstonesKeepTheirStoredForm) {
  RecordsFixture fixture;
  const std::string text = R"({"0":{"req-1":[[0,7,0,1],[2,7]],"req-2":[[5,9]]},"12":{"req-1":[[3,8,0,4]]}})";
  const auto list = decode_tombstones(json::parse(text), 6, fixture.names);
  EXPECT_EQ(list.revision, 6u);
  const auto job = *fixture.names.jobs.find("req-1");
  EXPECT_EQ(list.of("0").at(job), (std::vector<Tombstone>{{0, 7, {0, 1}}, {2, 7, {0, 0}}}));
  EXPECT_EQ(list.of("12").at(job), (std::vector<Tombstone>{{3, 8, {0, 4}}}));
  EXPECT_TRUE(list.of("3").empty());
  EXPECT_EQ(json::serialize(encode(list.shards, fixture.names)), text);
  EXPECT_EQ(json::serialize(encode(ShardTombstones{}, fixture.names)), "{}");
}

TEST(Records, ShardKeepsItsStoredForm) {
  RecordsFixture fixture;
  const std::string text =
      R"({"jobs":{"req-1":{"p":[[7,[["m-1",3,[0,2]],["m-2",1,[1]]]]],"d":[[3,5]]},"req-2":{"p":[],"d":[[0,1]]}}})";
  const auto contents = decode_shard(json::parse(text), fixture.names);
  ASSERT_EQ(contents.size(), 2u);
  EXPECT_EQ(contents[0].second.assignments.size(), 3u);
  EXPECT_EQ(contents[1].second.done.size(), 1u);
  std::map<core::JobId, jobs::JobAssignments> by_job(contents.begin(), contents.end());
  by_job[fixture.names.jobs.intern("req-3")];  // an empty entry is left out
  EXPECT_EQ(json::serialize(encode_shard(by_job, fixture.names)), text);
}

TEST(Records, TombstonesRemoveAssignmentsAndMarkTasksDone) {
  RecordsFixture fixture;
  const auto machine = fixture.names.machines.intern("m-1");
  jobs::JobAssignments job_assignments;
  job_assignments.assignments = {{0, 7, machine, 1}, {1, 7, machine, 1}};
  EXPECT_FALSE(apply_tombstones(job_assignments, {{0, 6, {0, 0}}})) << "tombstone of another attempt";
  EXPECT_TRUE(apply_tombstones(job_assignments, {{0, 7, {0, 0}}}));
  EXPECT_TRUE(apply_tombstones(job_assignments, {{0, 7, {0, 1}}}))
      << "exit reported first without and then with a result";
  EXPECT_FALSE(apply_tombstones(job_assignments, {{0, 7, {0, 1}}})) << "applied again";
  EXPECT_EQ(job_assignments.assignments.size(), 1u);
  EXPECT_EQ(job_assignments.done.size(), 1u);
}

}  // namespace
}  // namespace finchrun::state
