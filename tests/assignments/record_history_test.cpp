// Random histories of one partition's records across an upgrade: every reader must count each task once after
// every write.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

#include "assignments/upgrade.hpp"

namespace finchrun::assignments {
namespace {

struct HistoryCase {
  double value_kb;
  int writes;
  bool earlier_release_listed;  // a controller of an earlier release may read the records
};

// The expected states of all tasks of one partition's jobs, and the random operations on them.
class History {
 public:
  History(const HistoryCase& limits, std::uint32_t seed)
      : upgrade_(settings(limits)), earlier_release_listed_(limits.earlier_release_listed), random_(seed) {
    if (earlier_release_listed_)
      upgrade_.after.state.cache.apply(
          {"members/perch-1", boost::json::parse(R"({"inc":3})"), ++upgrade_.revision});
  }
  // Operations of the earlier release, under the larger limits.
  void run_before_upgrade() {
    for (int i = 0; i < 80; ++i) add_job();
    for (int i = 0; i < 25; ++i) {
      place_random_tasks(upgrade_.before);
      end_random_tasks(upgrade_.before);
      expect_counts("before");
    }
  }
  // Operations of this release, with a step of shrinking between any two other writes.
  void run_after_upgrade() {
    for (int i = 0; i < 60; ++i) {
      AssignmentWriter writer(upgrade_.after.state, upgrade_.after.partition);
      if (writer.shrink()) upgrade_.commit(writer);
      expect_counts("shrunk");
      if (i % 3 == 0) place_random_tasks(upgrade_.after);
      if (i % 3 == 1) end_random_tasks(upgrade_.after);
      expect_counts("after");
    }
  }

 private:
  struct Job {
    std::string name;
    std::uint32_t tasks = 0;
    std::set<std::uint32_t> waiting, done;
    std::map<std::uint32_t, std::uint64_t> placed;  // task, attempt
  };

  static config::Settings settings(const HistoryCase& limits) {
    auto settings = Upgrade::settings_with({100, 20, limits.value_kb, limits.writes});
    if (limits.earlier_release_listed) settings.members = {{"perch-1", "a", {}}};
    return settings;
  }
  std::uint32_t random_below(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  void add_job() {
    Job job{"req-" + std::to_string(100000 + jobs_.size()), 10 + random_below(50), {}, {}, {}};
    for (std::uint32_t t = 0; t < job.tasks; ++t) job.waiting.insert(t);
    upgrade_.job(job.name, job.tasks);
    jobs_.push_back(std::move(job));
  }
  void place_random_tasks(SinglePartition& leader) {
    AssignmentWriter writer(leader.state, leader.partition);
    const auto attempt = ++attempt_;
    for (int i = 0; i < 8; ++i) {
      auto& job = jobs_[random_below(static_cast<std::uint32_t>(jobs_.size()))];
      std::vector<jobs::TaskAssignment> assignments;
      for (const auto task : job.waiting)
        if (assignments.size() < 12)
          assignments.push_back({task, attempt, machine(leader, random_below(40)), 1});
      if (assignments.empty() || !writer.add(*leader.state.names.jobs.find(job.name), assignments)) continue;
      for (const auto& assignment : assignments) {
        job.waiting.erase(assignment.task);
        job.placed[assignment.task] = attempt;
      }
    }
    if (writer.written_key_count() > 0) upgrade_.commit(writer);
  }
  static core::MachineId machine(SinglePartition& leader, std::uint32_t number) {
    return leader.state.names.machines.intern("host-" + std::to_string(100000 + number));
  }
  // Ends a random twelfth of the placed tasks. One in five of these is lost and waits again.
  void end_random_tasks(SinglePartition& leader) {
    AssignmentWriter writer(leader.state, leader.partition);
    for (auto& job : jobs_)
      for (auto it = job.placed.begin(); it != job.placed.end();) {
        const bool done = random_below(5) != 0;
        const auto [task, attempt] = *it;
        if (random_below(12) != 0 || !writer.record_exit({*leader.state.names.jobs.find(job.name),
                                                          leader.partition, task, attempt, done})) {
          ++it;
          continue;
        }
        (done ? job.done : job.waiting).insert(task);
        it = job.placed.erase(it);
      }
    if (writer.written_key_count() > 0) upgrade_.commit(writer);
  }
  void expect_counts(const char* step) {
    const auto reader = upgrade_.fresh_reader();
    for (const auto& job : jobs_) {
      const auto done = static_cast<std::uint32_t>(job.done.size());
      const auto placed = static_cast<std::uint32_t>(job.placed.size());
      EXPECT_EQ(Upgrade::done_and_placed(*reader, job.name), std::pair(done, placed))
          << job.name << " " << step;
      const auto id = *upgrade_.after.state.names.jobs.find(job.name);
      EXPECT_EQ(upgrade_.after.state.cache.done_tasks(id), done) << job.name << " " << step;
      EXPECT_EQ(upgrade_.after.state.cache.placed_tasks(id), placed) << job.name << " " << step;
      if (!earlier_release_listed_) continue;
      EXPECT_EQ(upgrade_.shards_first_reader.done(job.name), done) << job.name << " " << step;
      EXPECT_EQ(upgrade_.tombstones_first_reader.done(job.name), done) << job.name << " " << step;
    }
  }

  Upgrade upgrade_;
  bool earlier_release_listed_;
  std::mt19937 random_;
  std::vector<Job> jobs_;
  std::uint64_t attempt_ = 1234567;
};

class RecordHistory : public testing::TestWithParam<std::tuple<HistoryCase, std::uint32_t>> {};
TEST_P(RecordHistory, EveryReaderCountsEachTaskOnce) {
  const auto& [limits, seed] = GetParam();
  History history(limits, seed);
  history.run_before_upgrade();
  if (!HasFailure()) history.run_after_upgrade();
}
INSTANTIATE_TEST_SUITE_P(Seeds, RecordHistory,
                         testing::Combine(testing::Values(HistoryCase{2, 5, true}, HistoryCase{2, 5, false},
                                                          HistoryCase{1, 16, true}, HistoryCase{1, 16, false},
                                                          HistoryCase{8, 16, true}),
                                          testing::Range(1u, 5u)),
                         [](const auto& info) {
                           const HistoryCase& limits = std::get<0>(info.param);
                           return fmt::format(
                               "{:.0f}_kb_{}_seed_{}", limits.value_kb,
                               limits.earlier_release_listed ? "earlier_release_listed" : "all_upgraded",
                               std::get<1>(info.param));
                         });

}  // namespace
}  // namespace finchrun::assignments
