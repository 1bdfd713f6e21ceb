#include "gateway/admission.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "core/case_names.hpp"

namespace finchrun::gateway {
namespace {

using controller::ControllerState;

const core::TimePoint kNow{core::to_duration(1000)};
constexpr double kWallS = 1.7e9;

config::Settings two_zone_settings() {
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

// Two zones. `g8` is offered in both, `c16` only in zone a. The limit of team vision is 32 processors and 8
// accelerators.
struct Deployment {
  Deployment() : state(two_zone_settings(), {}) {
    state.cache_loaded = true;
    state.fleet.machine_types = {machine_type("g8", {16, 8, 128}, {"a", "b"}),
                                 machine_type("c16", {16, 0, 64}, {"a"})};
    for (const auto& type : state.fleet.machine_types)
      state.fleet.machine_type_ids.push_back(state.names.types.intern(type.name));
  }
  void add_member(const char* label, const char* record) {
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

struct InfeasibleCase {
  const char* name;
  std::function<void(wire::Submission&)> change;
  std::optional<InfeasibleReason> reason;
};
void PrintTo(const InfeasibleCase& test_case, std::ostream* out) { *out << test_case.name; }

class Feasibility : public testing::TestWithParam<InfeasibleCase> {};
TEST_P(Feasibility, GivesTheReasonWhyAJobCanNeverRun) {
  Deployment deployment;
  auto submission = array_of_two();
  GetParam().change(submission);
  EXPECT_EQ(infeasible_reason(deployment.state, submission), GetParam().reason);
  if (!GetParam().reason) return;
  const auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<Infeasible>(admission));
  EXPECT_EQ(std::get<Infeasible>(admission).reason, *GetParam().reason);
}
using Submission = wire::Submission;
INSTANTIATE_TEST_SUITE_P(
    Table, Feasibility,
    testing::Values(InfeasibleCase{"feasible", [](Submission&) {}, std::nullopt},
                    InfeasibleCase{"unknown_team", [](Submission& submission) { submission.team = "nobody"; },
                                   InfeasibleReason::unknown_team},
                    InfeasibleCase{"larger_than_any_machine",
                                   [](Submission& submission) { submission.spec.need.cpus = 17; },
                                   InfeasibleReason::fits_no_machine_type},
                    InfeasibleCase{"allowed_type_is_too_small",
                                   [](Submission& submission) { submission.allowed_types = {{"c16"}}; },
                                   InfeasibleReason::fits_no_machine_type},
                    InfeasibleCase{"zone_without_the_allowed_type",
                                   [](Submission& submission) {
                                     submission.allowed_types = {{"c16"}}, submission.zone = "b",
                                     submission.spec.need.gpus = 0;
                                   },
                                   InfeasibleReason::fits_no_machine_type},
                    InfeasibleCase{"array_beyond_the_limit_runs_in_parts",
                                   [](Submission& submission) { submission.spec.tasks = 100; }, std::nullopt},
                    InfeasibleCase{"gang_beyond_the_limit",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang, submission.spec.tasks = 5;
                                   },
                                   InfeasibleReason::over_team_limit},
                    InfeasibleCase{"gang_at_the_limit",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang, submission.spec.tasks = 4;
                                   },
                                   std::nullopt},
                    InfeasibleCase{"gang_in_one_zone_and_spread",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang,
                                     submission.spec.single_zone = submission.spec.spread = true;
                                   },
                                   InfeasibleReason::single_zone_with_spread},
                    InfeasibleCase{"array_in_one_zone_and_spread",
                                   [](Submission& submission) {
                                     submission.spec.single_zone = submission.spec.spread = true;
                                   },
                                   std::nullopt},
                    InfeasibleCase{"gang_spread_over_one_zone",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang, submission.spec.spread = true,
                                     submission.zone = "a";
                                   },
                                   InfeasibleReason::spread_needs_second_zone},
                    InfeasibleCase{"gang_of_one_needs_no_second_zone",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang, submission.spec.spread = true,
                                     submission.zone = "a";
                                     submission.spec.tasks = 1;
                                   },
                                   std::nullopt},
                    InfeasibleCase{"gang_too_large_for_one_transaction",
                                   [](Submission& submission) {
                                     submission.spec.shape = jobs::Shape::gang,
                                     submission.spec.tasks = 100000, submission.spec.need = {0, 0, 1};
                                   },
                                   InfeasibleReason::gang_too_large}),
    kCaseName);

TEST(Admission, NewJobIsRecordedOnlyIfNoRecordExists) {
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

TEST(Admission, NewJobAddsToTheWaitingDemand) {
  Deployment deployment;
  decide_admission(deployment.state, array_of_two(), kNow, kWallS);
  core::Resources waiting;
  for (const auto& partition_waiting : deployment.state.cluster_load.waiting_demand)
    waiting += partition_waiting;
  EXPECT_DOUBLE_EQ(waiting.gpus, 2);
}

TEST(Admission, AcceptedJobIsNeverRejected) {
  for (const auto status : {jobs::Status::live, jobs::Status::done, jobs::Status::cancelled}) {
    Deployment deployment;
    auto submission = array_of_two();
    deployment.record_job(submission, status);
    submission.team = "nobody";  // removed from the settings
    const auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
    EXPECT_TRUE(std::holds_alternative<AlreadyAccepted>(admission));
  }
}

TEST(Admission, IsNotReadyWithoutStateOrMachineTypes) {
  Deployment not_loaded, no_types;
  not_loaded.state.cache_loaded = false;
  no_types.state.fleet.machine_types.clear();
  for (auto* deployment : {&not_loaded, &no_types})
    EXPECT_TRUE(
        std::holds_alternative<NotReady>(decide_admission(deployment->state, array_of_two(), kNow, kWallS)));
}

TEST(Admission, ServiceRequiresTheUpgradeOfAllControllers) {
  auto service = array_of_two();
  service.spec.shape = jobs::Shape::service;
  service.spec.expected_run_s = jobs::kUnlimitedRunTimeS;
  Deployment deployment;
  deployment.add_member("perch-0", R"({"inc":1,"level":1})");
  deployment.add_member("perch-1", R"({"inc":2})");
  EXPECT_TRUE(
      std::holds_alternative<AwaitingUpgrade>(decide_admission(deployment.state, service, kNow, kWallS)));
  deployment.add_member("perch-1", R"({"inc":3,"level":1})");
  EXPECT_TRUE(std::holds_alternative<Admitted>(decide_admission(deployment.state, service, kNow, kWallS)));
}

TEST(Admission, RecordOverTheLimitNamesItsLongestField) {
  Deployment deployment;
  deployment.state.settings.store_limits.max_value_kb = 0.1;
  auto submission = array_of_two();
  submission.image = std::string(100, 'i');
  auto admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<Infeasible>(admission));
  EXPECT_EQ(error_text(std::get<Infeasible>(admission).reason), "plate: too long to be recorded");
  submission.allowed_types = {{"g8", std::string(150, 't')}};
  admission = decide_admission(deployment.state, submission, kNow, kWallS);
  ASSERT_TRUE(std::holds_alternative<Infeasible>(admission));
  EXPECT_EQ(error_text(std::get<Infeasible>(admission).reason), "racks: too long to be recorded");
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
    EXPECT_TRUE(std::holds_alternative<AlreadyFinished>(decide_cancellation(deployment.state, "req-1")));
  }
}

}  // namespace
}  // namespace finchrun::gateway
