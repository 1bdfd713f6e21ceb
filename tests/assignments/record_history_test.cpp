// Random histories of one partition's records across an upgrade: whatever is written, every reader counts
// each task once.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

#include "assignments/upgrade.hpp"

namespace finchrun::assignments {
namespace {

struct HistoryCase {
  double value_kb;
  int writes;
  bool production_listed;  // a controller of the version in production may read what is written
};

// The tasks of one partition's jobs, and what has become of them.
class History {
 public:
  History(const HistoryCase& limits, std::uint32_t seed)
      : upgrade_(settings(limits)), listed_(limits.production_listed), random_(seed) {
    if (listed_)
      upgrade_.after.state.cache.apply(
          {"members/perch-1", boost::json::parse(R"({"inc":3})"), ++upgrade_.revision});
  }
  // What production does before the upgrade, under the limits of then.
  void before_upgrade() {
    for (int i = 0; i < 80; ++i) add_job();
    for (int i = 0; i < 25; ++i) {
      place_some(upgrade_.before);
      exit_some(upgrade_.before);
      check("before");
    }
  }
  // What the new version does, a step of shrinking between any two other writes.
  void after_upgrade() {
    for (int i = 0; i < 60; ++i) {
      AssignmentWriter writer(upgrade_.after.state, upgrade_.after.partition);
      if (writer.shrink()) upgrade_.commit(writer);
      check("shrunk");
      if (i % 3 == 0) place_some(upgrade_.after);
      if (i % 3 == 1) exit_some(upgrade_.after);
      check("after");
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
    auto settings = Upgrade::with({100, 20, limits.value_kb, limits.writes});
    if (limits.production_listed) settings.members = {{"perch-1", "a", {}}};
    return settings;
  }
  std::uint32_t draw(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  void add_job() {
    Job job{"req-" + std::to_string(100000 + jobs_.size()), 10 + draw(50), {}, {}, {}};
    for (std::uint32_t t = 0; t < job.tasks; ++t) job.waiting.insert(t);
    upgrade_.job(job.name, job.tasks);
    jobs_.push_back(std::move(job));
  }
  void place_some(SinglePartition& leader) {
    AssignmentWriter writer(leader.state, leader.partition);
    const auto attempt = ++attempt_;
    for (int i = 0; i < 8; ++i) {
      auto& job = jobs_[draw(static_cast<std::uint32_t>(jobs_.size()))];
      std::vector<jobs::TaskAssignment> assignments;
      for (const auto task : job.waiting)
        if (assignments.size() < 12) assignments.push_back({task, attempt, machine(leader, draw(40)), 1});
      if (assignments.empty() || !writer.add(*leader.state.names.jobs.find(job.name), assignments)) continue;
      for (const auto& assignment : assignments) {
        job.waiting.erase(assignment.task);
        job.placed[assignment.task] = attempt;
      }
    }
    if (writer.touched() > 0) upgrade_.commit(writer);
  }
  static core::MachineId machine(SinglePartition& leader, std::uint32_t number) {
    return leader.state.names.machines.intern("host-" + std::to_string(100000 + number));
  }
  // One in four is lost and waits again.
  void exit_some(SinglePartition& leader) {
    AssignmentWriter writer(leader.state, leader.partition);
    for (auto& job : jobs_)
      for (auto it = job.placed.begin(); it != job.placed.end();) {
        const bool done = draw(5) != 0;
        const auto [task, attempt] = *it;
        if (draw(12) != 0 || !writer.record_exit({*leader.state.names.jobs.find(job.name), leader.partition,
                                                  task, attempt, done})) {
          ++it;
          continue;
        }
        (done ? job.done : job.waiting).insert(task);
        it = job.placed.erase(it);
      }
    if (writer.touched() > 0) upgrade_.commit(writer);
  }
  void check(const char* step) {
    const auto reader = upgrade_.fresh_reader();
    for (const auto& job : jobs_) {
      const auto done = static_cast<std::uint32_t>(job.done.size());
      const auto placed = static_cast<std::uint32_t>(job.placed.size());
      EXPECT_EQ(Upgrade::done_and_placed(*reader, job.name), std::pair(done, placed))
          << job.name << " " << step;
      const auto id = *upgrade_.after.state.names.jobs.find(job.name);
      EXPECT_EQ(upgrade_.after.state.cache.done_tasks(id), done) << job.name << " " << step;
      EXPECT_EQ(upgrade_.after.state.cache.placed_tasks(id), placed) << job.name << " " << step;
      if (!listed_) continue;
      EXPECT_EQ(upgrade_.shards_first.done(job.name), done) << job.name << " " << step;
      EXPECT_EQ(upgrade_.tombstones_first.done(job.name), done) << job.name << " " << step;
    }
  }

  Upgrade upgrade_;
  bool listed_;
  std::mt19937 random_;
  std::vector<Job> jobs_;
  std::uint64_t attempt_ = 1234567;
};

class RecordHistory : public testing::TestWithParam<std::tuple<HistoryCase, std::uint32_t>> {};
TEST_P(RecordHistory, EveryReaderCountsEachTaskOnce) {
  const auto& [limits, seed] = GetParam();
  History history(limits, seed);
  history.before_upgrade();
  if (!HasFailure()) history.after_upgrade();
}
INSTANTIATE_TEST_SUITE_P(Seeds, RecordHistory,
                         testing::Combine(testing::Values(HistoryCase{2, 5, true}, HistoryCase{2, 5, false},
                                                          HistoryCase{1, 16, true}, HistoryCase{1, 16, false},
                                                          HistoryCase{8, 16, true}),
                                          testing::Range(1u, 5u)),
                         [](const auto& info) {
                           const HistoryCase& limits = std::get<0>(info.param);
                           return fmt::format("{:.0f}_kb_{}_{}", limits.value_kb,
                                              limits.production_listed ? "listed" : "new",
                                              std::get<1>(info.param));
                         });

}  // namespace
}  // namespace finchrun::assignments
