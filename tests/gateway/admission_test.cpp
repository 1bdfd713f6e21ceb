#include "gateway/admission.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace finchrun::gateway {
namespace {

using controller::ControllerState;

const core::TimePoint kNow{core::to_duration(1000)};
constexpr double kWallS = 1.7e9;

config::Settings two_zones() {
  config::Settings settings;
  settings.label = "perch-0";
  settings.zone = "a";
  settings.zones = {"a", "b"};
  settings.teams = {{"vision", 0, 32, 0, 8}};
  return settings;
}

cloud::MachineType machine_type(const char* name, core::Resources size, std::vector<std::string> zones) {
  cloud::MachineType type;
  type.name = name;
  type.size = size;
  type.zones = std::move(zones);
  return type;
}

// Two zones. `g8` is in both, `c16` in zone a alone. Team vision may book 32 processors and 8 accelerators.
struct Deployment {
  Deployment() : state(two_zones(), {}) {
    state.loaded = true;
    state.fleet.machine_types = {machine_type("g8", {16, 8, 128}, {"a", "b"}),
                                 machine_type("c16", {16, 0, 64}, {"a"})};
    for (const auto& type : state.fleet.machine_types)
      state.fleet.machine_type_ids.push_back(state.names.types.intern(type.name));
  }
  void member(const char* label, const char* record) {
    state.cache.apply({std::string("members/") + label, boost::json::parse(record), ++revision});
  }
  void record_job(const wire::Submission& submission, jobs::Status status) {
    jobs::JobRecord record;
    record.status = status;
    record.spec = submission.spec;
    record.spec.job_class = state.names.job_classes.intern(submission.job_class);
    record.spec.team = core::TeamId{0};
    record.spec.image = state.names.images.intern(submission.image);
    state.cache.apply({"jobs/" + submission.id, jobs::to_json(record, state.names), ++revision});
  }
  ControllerState state;
  std::uint64_t revision = 40;
};

wire::Submission array_of_two() {
  wire::Submission submission;
  submission.id = "req-1";
  submission.job_class = "train";
  submission.team = "vision";
  submission.image = "img-07";
  submission.spec.tasks = 2;
  submission.spec.need = {8, 1, 32};
  return submission;
}

struct ImpossibleCase {
  const char* name;
  std::function<void(wire::Submission&)> change;
  std::optional<Impossible> reason;
};
void PrintTo(const ImpossibleCase& c, std::ostream* out) { *out << c.name; }

class WhyNeverRuns : public testing::TestWithParam<ImpossibleCase> {};
TEST_P(WhyNeverRuns, NamesTheReason) {
  Deployment deployment;
  auto submission = array_of_two();
  GetParam().change(submission);
  EXPECT_EQ(why_never_runs(deployment.state, submission), GetParam().reason);
  if (!GetParam().reason) return;
  const auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<NeverRuns>(admission));
  EXPECT_EQ(std::get<NeverRuns>(admission).reason, *GetParam().reason);
}
using S = wire::Submission;
INSTANTIATE_TEST_SUITE_P(
    Table, WhyNeverRuns,
    testing::Values(
        ImpossibleCase{"can_run", [](S&) {}, std::nullopt},
        ImpossibleCase{"team_not_in_the_settings", [](S& s) { s.team = "nobody"; }, Impossible::unknown_team},
        ImpossibleCase{"larger_than_any_machine", [](S& s) { s.spec.need.cpus = 17; },
                       Impossible::fits_no_machine_type},
        ImpossibleCase{"allowed_type_is_too_small", [](S& s) { s.types = {{"c16"}}; },
                       Impossible::fits_no_machine_type},
        ImpossibleCase{"zone_without_the_allowed_type",
                       [](S& s) { s.types = {{"c16"}}, s.zone = "b", s.spec.need.gpus = 0; },
                       Impossible::fits_no_machine_type},
        ImpossibleCase{"array_beyond_the_limit_runs_in_turns", [](S& s) { s.spec.tasks = 100; },
                       std::nullopt},
        ImpossibleCase{"gang_beyond_the_limit",
                       [](S& s) { s.spec.shape = jobs::Shape::gang, s.spec.tasks = 5; },
                       Impossible::over_team_limit},
        ImpossibleCase{"gang_at_the_limit", [](S& s) { s.spec.shape = jobs::Shape::gang, s.spec.tasks = 4; },
                       std::nullopt},
        ImpossibleCase{"gang_in_one_zone_and_spread",
                       [](S& s) { s.spec.shape = jobs::Shape::gang, s.spec.one_zone = s.spec.spread = true; },
                       Impossible::one_zone_and_spread},
        ImpossibleCase{"array_may_ask_for_both", [](S& s) { s.spec.one_zone = s.spec.spread = true; },
                       std::nullopt},
        ImpossibleCase{"gang_spread_over_one_zone",
                       [](S& s) { s.spec.shape = jobs::Shape::gang, s.spec.spread = true, s.zone = "a"; },
                       Impossible::no_second_zone},
        ImpossibleCase{"gang_of_one_needs_no_second_zone",
                       [](S& s) {
                         s.spec.shape = jobs::Shape::gang, s.spec.spread = true, s.zone = "a";
                         s.spec.tasks = 1;
                       },
                       std::nullopt},
        ImpossibleCase{"gang_that_no_transaction_can_record",
                       [](S& s) {
                         s.spec.shape = jobs::Shape::gang, s.spec.tasks = 100000, s.spec.need = {0, 0, 1};
                       },
                       Impossible::too_many_to_start_at_once}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Admission, RecordsANewJobOnlyIfNoneIsRecorded) {
  Deployment deployment;
  const auto admission = decide_admission(deployment.state, array_of_two(), kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<Admitted>(admission));
  const auto& transaction = std::get<Admitted>(admission).transaction;
  ASSERT_EQ(transaction.compares.size(), 1u);
  EXPECT_EQ(transaction.compares[0].key, "jobs/req-1");
  EXPECT_EQ(transaction.compares[0].revision, 0u);
  ASSERT_EQ(transaction.writes.size(), 1u);
  const auto record = jobs::job_from_json(*transaction.writes[0].value, deployment.state.names);
  EXPECT_EQ(record.status, jobs::Status::live);
  EXPECT_EQ(record.spec.submitted_s, kWallS);
  std::uint32_t tasks = 0;
  for (const auto& range : record.ranges) tasks += range.to - range.from;
  EXPECT_EQ(tasks, 2u);
}

TEST(Admission, CountsItsTasksAsWaiting) {
  Deployment deployment;
  decide_admission(deployment.state, array_of_two(), kNow, kWallS);
  core::Resources waiting;
  for (const auto& of_partition : deployment.state.load.waiting) waiting += of_partition;
  EXPECT_DOUBLE_EQ(waiting.gpus, 2);
}

TEST(Admission, AKnownJobIsNeverRefused) {
  for (const auto status : {jobs::Status::live, jobs::Status::done, jobs::Status::cancelled}) {
    Deployment deployment;
    auto submission = array_of_two();
    deployment.record_job(submission, status);
    submission.team = "nobody";  // has left the settings since
    const auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
    EXPECT_TRUE(std::holds_alternative<AlreadyKnown>(admission));
  }
}

TEST(Admission, WaitsForTheStateAndTheMachineTypes) {
  Deployment not_loaded, no_types;
  not_loaded.state.loaded = false;
  no_types.state.fleet.machine_types.clear();
  for (auto* deployment : {&not_loaded, &no_types})
    EXPECT_TRUE(
        std::holds_alternative<NotReady>(decide_admission(deployment->state, array_of_two(), kNow, kWallS)));
}

TEST(Admission, AServiceWaitsForTheUpgradeOfAllControllers) {
  auto service = array_of_two();
  service.spec.shape = jobs::Shape::standing;
  service.spec.expected_run_s = jobs::kNoEnd;
  Deployment deployment;
  deployment.member("perch-0", R"({"inc":1,"level":1})");
  deployment.member("perch-1", R"({"inc":2})");
  EXPECT_TRUE(
      std::holds_alternative<TooEarlyForUpgrade>(decide_admission(deployment.state, service, kNow, kWallS)));
  deployment.member("perch-1", R"({"inc":3,"level":1})");
  EXPECT_TRUE(std::holds_alternative<Admitted>(decide_admission(deployment.state, service, kNow, kWallS)));
}

TEST(Admission, ARecordOverTheLimitNamesItsLongestField) {
  Deployment deployment;
  deployment.state.settings.state_limits.value_kb = 0.1;
  auto submission = array_of_two();
  submission.image = std::string(100, 'i');
  auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<NeverRuns>(admission));
  EXPECT_EQ(text_of(std::get<NeverRuns>(admission).reason), "plate: too long to be recorded");
  submission.types = {{"g8", std::string(150, 't')}};
  admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<NeverRuns>(admission));
  EXPECT_EQ(text_of(std::get<NeverRuns>(admission).reason), "racks: too long to be recorded");
}

TEST(Cancellation, ComparesTheRevisionOfTheLiveRecord) {
  Deployment deployment;
  EXPECT_TRUE(std::holds_alternative<UnknownJob>(decide_cancellation(deployment.state, "req-1")));
  deployment.record_job(array_of_two(), jobs::Status::live);
  const auto decision = decide_cancellation(deployment.state, "req-1");
  ASSERT_TRUE(std::holds_alternative<Cancellable>(decision));
  const auto& transaction = std::get<Cancellable>(decision).transaction;
  EXPECT_EQ(transaction.compares.at(0).revision, deployment.revision);
  const auto record = jobs::job_from_json(*transaction.writes.at(0).value, deployment.state.names);
  EXPECT_EQ(record.status, jobs::Status::cancelled);
  for (const auto status : {jobs::Status::done, jobs::Status::cancelled}) {
    deployment.record_job(array_of_two(), status);
    EXPECT_TRUE(std::holds_alternative<AlreadyOver>(decide_cancellation(deployment.state, "req-1")));
  }
}

}  // namespace
}  // namespace finchrun::gateway
