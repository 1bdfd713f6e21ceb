#include "cloud/cloud_client.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <deque>
#include <optional>

#include "core/case_names.hpp"
#include "sim/scripted_network.hpp"

namespace finchrun::cloud {
namespace {

using sim::ScriptedNetwork;

struct Fixture {
  explicit Fixture(std::deque<http::ClientResponse> answers, double requests_per_s = 1000)
      : cloud(network, settings(requests_per_s)) {
    network.answers = std::move(answers);
  }
  static config::Settings settings(double requests_per_s) {
    config::Settings settings;
    settings.cloud_requests_per_s = requests_per_s;
    return settings;
  }
  ScriptedNetwork network;
  CloudClient cloud;
};

const char* kTypes = R"({"racks":[{"name":"gpu.8","vcpus":64,"gpus":8,"ramGb":512.5,"cacheGb":100,
    "pullGbPerS":0.5,"rate":20,"spotPrice":6,"readyS":90,"halls":["a","b"]}]})";

TEST(CloudClient, ReadsMachineTypes) {
  Fixture fixture({{200, kTypes}});
  const auto result = sim::run_to_completion([&] { return fixture.cloud.machine_types(); });
  const auto* types = std::get_if<std::vector<MachineType>>(&result);
  ASSERT_TRUE(types);
  ASSERT_EQ(types->size(), 1u);
  const auto& type = types->front();
  EXPECT_EQ(type.name, "gpu.8");
  EXPECT_EQ(type.size.cpus, 64);
  EXPECT_EQ(type.size.gpus, 8);
  EXPECT_EQ(type.size.ram_gb, 512.5);
  EXPECT_EQ(type.cache_gb, 100);
  EXPECT_EQ(type.fetch_gb_per_s, 0.5);
  EXPECT_EQ(type.price, 20);
  EXPECT_EQ(type.spot_price, 6);
  EXPECT_EQ(type.boot_s, 90);
  EXPECT_EQ(type.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(fixture.network.targets, std::vector<std::string>{"/flavors"});
}

struct ErrorCase {
  const char* name;
  http::ClientResponse answer;
  Error error;
};
class MachineTypesError : public testing::TestWithParam<ErrorCase> {};
TEST_P(MachineTypesError, IsReported) {
  Fixture fixture({GetParam().answer});
  const auto result = sim::run_to_completion([&] { return fixture.cloud.machine_types(); });
  ASSERT_TRUE(std::holds_alternative<Error>(result));
  EXPECT_EQ(std::get<Error>(result), GetParam().error) << name_of(std::get<Error>(result));
}
INSTANTIATE_TEST_SUITE_P(
    Table, MachineTypesError,
    testing::Values(ErrorCase{"no_answer", {0, ""}, Error::no_answer},
                    ErrorCase{"rate_limited", {429, ""}, Error::rate_limited},
                    ErrorCase{"server_error", {500, ""}, Error::refused},
                    ErrorCase{"unavailable", {503, "try again"}, Error::refused},
                    ErrorCase{"not_json", {200, "<html>"}, Error::malformed},
                    ErrorCase{"not_an_object", {200, "[]"}, Error::malformed},
                    ErrorCase{"other_object", {200, "{}"}, Error::malformed},
                    ErrorCase{"no_types", {200, R"({"racks":[]})"}, Error::malformed},
                    ErrorCase{"type_without_size", {200, R"({"racks":[{"name":"x"}]})"}, Error::malformed}),
    kCaseName);

const char* kFirstPage = R"({"perches":[{"nameId":"m-1","endpoint":"10.0.0.1:80","rack":"gpu.8","hall":"a",
    "loaners":true,"status":"running","heldS":12.5}],"hasNext":true})";
const char* kLastPage = R"({"perches":[{"nameId":"m-2","endpoint":null,"rack":"cpu.4","hall":"b",
    "loaners":false,"status":"starting","heldS":3}],"hasNext":false})";

TEST(CloudClient, ReadsTheMachineListPageByPage) {
  Fixture fixture({{200, kFirstPage}, {200, kLastPage}});
  const auto interval_s = fixture.cloud.list_interval_s();
  const auto result = sim::run_to_completion([&] { return fixture.cloud.machines(); });
  const auto* list = std::get_if<MachineList>(&result);
  ASSERT_TRUE(list);
  EXPECT_TRUE(list->complete);
  const auto* machines = &list->machines;
  ASSERT_EQ(machines->size(), 2u);
  const auto& first = machines->at(0);
  EXPECT_EQ(first.name, "m-1");
  EXPECT_EQ(first.endpoint, "10.0.0.1:80");
  EXPECT_EQ(first.type, "gpu.8");
  EXPECT_EQ(first.zone, "a");
  EXPECT_EQ(first.status, "running");
  EXPECT_TRUE(first.spot);
  EXPECT_EQ(first.rented_for_s, 12.5);
  EXPECT_EQ(machines->at(1).endpoint, "");
  EXPECT_FALSE(machines->at(1).spot);
  EXPECT_EQ(fixture.network.targets,
            (std::vector<std::string>{"/hosts?limit=500", "/hosts?limit=500&from=m-1"}));
  // A list of two pages is read half as often.
  EXPECT_DOUBLE_EQ(fixture.cloud.list_interval_s(), 2 * interval_s);
}

TEST(CloudClient, PartialListIsAnError) {
  struct Case {
    http::ClientResponse second_page;
    Error error;
  };
  for (const auto& test_case : {Case{{500, ""}, Error::refused}, Case{{0, ""}, Error::no_answer},
                                Case{{200, R"({"perches":[]})"}, Error::malformed},
                                Case{{200, R"({"perches":[],"hasNext":true})"}, Error::malformed}}) {
    Fixture fixture({{200, kFirstPage}, test_case.second_page});
    const auto result = sim::run_to_completion([&] { return fixture.cloud.machines(); });
    ASSERT_TRUE(std::holds_alternative<Error>(result));
    EXPECT_EQ(std::get<Error>(result), test_case.error);
  }
}

// Guards against a list that is cut off and taken as whole: machines on the pages left out would count as
// gone.
TEST(CloudClient, AListOfTooManyPagesIsNotComplete) {
  constexpr std::size_t kMaxPages = 200;
  for (const std::size_t pages : {kMaxPages, kMaxPages + 1}) {
    std::deque<http::ClientResponse> answers(pages - 1, {200, kFirstPage});
    answers.push_back({200, kLastPage});
    Fixture fixture(std::move(answers));
    const auto result = sim::run_to_completion([&] { return fixture.cloud.machines(); });
    ASSERT_TRUE(std::holds_alternative<MachineList>(result));
    EXPECT_EQ(std::get<MachineList>(result).complete, pages == kMaxPages) << pages;
    EXPECT_EQ(fixture.network.targets.size(), kMaxPages);
  }
}

// Guards against a list that counts as younger than it is: its pages are answered one after the other, and
// the first one may be the oldest.
TEST(CloudClient, AListIsAsOldAsTheRequestOfItsFirstPage) {
  const core::TimePoint start{core::to_duration(100)};
  core::SteadyClock::simulate(start);
  Fixture fixture({{200, kFirstPage}, {200, kLastPage}});
  fixture.network.on_request = [] {
    core::SteadyClock::simulate(core::SteadyClock::now() + core::to_duration(3));
  };
  const auto result = sim::run_to_completion([&] { return fixture.cloud.machines(); });
  core::SteadyClock::simulate(std::nullopt);
  ASSERT_TRUE(std::holds_alternative<MachineList>(result));
  EXPECT_EQ(std::get<MachineList>(result).requested_at, start);
}

TEST(CloudClient, ScaleOutReturnsRentedMachinesOrError) {
  struct Case {
    http::ClientResponse answer;
    std::variant<std::vector<std::string>, Error> result;
  };
  const std::vector<std::string> both{"m-1", "m-2"};
  for (const auto& test_case :
       {Case{{200, R"({"perches":["m-1","m-2"]})"}, both},
        Case{{503, R"({"error":"no capacity"})"}, Error::no_capacity},
        Case{{503, R"({"error":"busy"})"}, Error::refused}, Case{{0, ""}, Error::no_answer},
        Case{{200, R"({"perches":["m-1",2]})"}, Error::malformed}}) {
    Fixture fixture({test_case.answer});
    const auto result =
        sim::run_to_completion([&] { return fixture.cloud.scale_out("perch-0-7-1", "gpu.8", "a", true, 3); });
    EXPECT_EQ(fixture.network.bodies.at(0),
              R"({"hire":"perch-0-7-1","rack":"gpu.8","hall":"a","loaners":true,"howMany":3})");
    ASSERT_EQ(result.index(), test_case.result.index()) << test_case.answer.body;
    if (const auto* rented = std::get_if<Rented>(&result))
      EXPECT_EQ(rented->machines, std::get<0>(test_case.result));
    else
      EXPECT_EQ(std::get<Error>(result), std::get<Error>(test_case.result)) << test_case.answer.body;
  }
}

// Only status 200 proves that the machines are gone.
TEST(CloudClient, ReleaseSucceedsOnlyWithStatus200) {
  for (const int status : {200, 0, 404, 429, 500, 503}) {
    Fixture fixture({{status, ""}});
    const auto result = sim::run_to_completion([&] { return fixture.cloud.release({"m-1", "m-2"}); });
    EXPECT_EQ(std::holds_alternative<Released>(result), status == 200) << status;
    EXPECT_EQ(fixture.network.targets.at(0), "/hosts/release");
    EXPECT_EQ(fixture.network.bodies.at(0), R"({"perches":["m-1","m-2"]})");
  }
}

TEST(CloudClient, SendsNoRequestBeyondItsShareOfTheRateLimit) {
  Fixture fixture({{200, ""}, {200, ""}, {200, ""}}, 0.01);
  int released = 0;
  for (int i = 0; i < 3; ++i) {
    const auto result = sim::run_to_completion([&] { return fixture.cloud.release({"m-1"}); });
    if (std::holds_alternative<Released>(result))
      ++released;
    else
      EXPECT_EQ(std::get<Error>(result), Error::rate_limited);
  }
  EXPECT_EQ(released, 2);
  EXPECT_EQ(fixture.network.targets.size(), 2u);
}

}  // namespace
}  // namespace finchrun::cloud
