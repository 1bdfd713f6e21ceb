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
  int changes;
  bool production_listed;  // a controller of the version in production may read what is written
};

// The tasks of one partition's jobs, and what has become of them.
class History {
 public:
  History(const HistoryCase& c, std::uint32_t seed)
      : u_(settings(c)), listed_(c.production_listed), dice_(seed) {
    if (listed_)
      u_.after.w.cache.apply({"members/perch-1", boost::json::parse(R"({"inc":3})"), ++u_.revision});
  }
  // What production does before the upgrade, under the limits of then.
  void before_upgrade() {
    for (int i = 0; i < 80; ++i) add_job();
    for (int i = 0; i < 25; ++i) {
      place_some(u_.before);
      end_some(u_.before);
      check("before");
    }
  }
  // What the new version does, a step of shrinking between any two other writes.
  void after_upgrade() {
    for (int i = 0; i < 60; ++i) {
      AssignmentWriter writer(u_.after.w, u_.after.partition);
      if (writer.shrink()) u_.commit(writer);
      check("shrunk");
      if (i % 3 == 0) place_some(u_.after);
      if (i % 3 == 1) end_some(u_.after);
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

  static config::Settings settings(const HistoryCase& c) {
    auto s = Upgrade::with({100, 20, c.value_kb, c.changes});
    if (c.production_listed) s.members = {{"perch-1", "a", {}}};
    return s;
  }
  std::uint32_t draw(std::uint32_t below) { return static_cast<std::uint32_t>(dice_() % below); }

  void add_job() {
    Job job{"req-" + std::to_string(100000 + jobs_.size()), 10 + draw(50), {}, {}, {}};
    for (std::uint32_t t = 0; t < job.tasks; ++t) job.waiting.insert(t);
    u_.job(job.name, job.tasks);
    jobs_.push_back(std::move(job));
  }
  void place_some(SinglePartition& leader) {
    AssignmentWriter writer(leader.w, leader.partition);
    const auto attempt = ++attempt_;
    for (int i = 0; i < 8; ++i) {
      auto& job = jobs_[draw(static_cast<std::uint32_t>(jobs_.size()))];
      std::vector<jobs::TaskAssignment> assignments;
      for (const auto task : job.waiting)
        if (assignments.size() < 12) assignments.push_back({task, attempt, machine(leader, draw(40)), 1});
      if (assignments.empty() || !writer.add(*leader.w.names.jobs.find(job.name), assignments)) continue;
      for (const auto& e : assignments) {
        job.waiting.erase(e.task);
        job.placed[e.task] = attempt;
      }
    }
    if (writer.touched() > 0) u_.commit(writer);
  }
  static core::MachineId machine(SinglePartition& leader, std::uint32_t number) {
    return leader.w.names.machines.intern("host-" + std::to_string(100000 + number));
  }
  // One in four is lost and waits again.
  void end_some(SinglePartition& leader) {
    AssignmentWriter writer(leader.w, leader.partition);
    for (auto& job : jobs_)
      for (auto it = job.placed.begin(); it != job.placed.end();) {
        const bool done = draw(5) != 0;
        const auto [task, attempt] = *it;
        if (draw(12) != 0 || !writer.apply_tombstones({*leader.w.names.jobs.find(job.name), leader.partition,
                                                       task, attempt, done})) {
          ++it;
          continue;
        }
        (done ? job.done : job.waiting).insert(task);
        it = job.placed.erase(it);
      }
    if (writer.touched() > 0) u_.commit(writer);
  }
  void check(const char* step) {
    const auto reader = u_.fresh_reader();
    for (const auto& job : jobs_) {
      const auto done = static_cast<std::uint32_t>(job.done.size());
      const auto placed = static_cast<std::uint32_t>(job.placed.size());
      EXPECT_EQ(Upgrade::done_and_placed(*reader, job.name), std::pair(done, placed))
          << job.name << " " << step;
      const auto id = *u_.after.w.names.jobs.find(job.name);
      EXPECT_EQ(u_.after.w.cache.done(id), done) << job.name << " " << step;
      EXPECT_EQ(u_.after.w.cache.placed(id), placed) << job.name << " " << step;
      if (!listed_) continue;
      EXPECT_EQ(u_.shards_first.done(job.name), done) << job.name << " " << step;
      EXPECT_EQ(u_.ends_first.done(job.name), done) << job.name << " " << step;
    }
  }

  Upgrade u_;
  bool listed_;
  std::mt19937 dice_;
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
                           const HistoryCase& c = std::get<0>(info.param);
                           return fmt::format("{:.0f}_kb_{}_{}", c.value_kb,
                                              c.production_listed ? "listed" : "new",
                                              std::get<1>(info.param));
                         });

}  // namespace
}  // namespace finchrun::assignments
