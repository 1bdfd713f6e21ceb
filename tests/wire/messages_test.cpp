#include "wire/messages.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace finchrun::wire {
namespace {

namespace json = boost::json;

json::object good() {
  return json::parse(
             R"({"nameId":"req-000412","lane":"train","crew":"vision","shape":"ensemble","urgency":"high",
    "pieces":16,"vcpus":8.0,"gpus":1.0,"ramGb":64.0,"plate":"img-07","imageGb":6.2,"racks":["g8"],"hall":null,
    "together":true,"scatter":false,"loaners":true,"expectS":240.0,"snapshotS":30.0,"flushS":4.0,"dueS":900.0})")
      .as_object();
}

TEST(Submission, ReadsEveryField) {
  auto parsed = parse_submission(json::serialize(good()));
  ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
  const auto& s = std::get<Submission>(parsed);
  EXPECT_EQ(s.id, "req-000412");
  EXPECT_EQ(s.team, "vision");
  EXPECT_TRUE(s.spec.is_gang());
  EXPECT_EQ(s.spec.priority, jobs::Priority::high);
  EXPECT_EQ(s.spec.tasks, 16u);
  EXPECT_DOUBLE_EQ(s.spec.need.ram_gb, 64.0);
  EXPECT_EQ(s.types->front(), "g8");
  EXPECT_FALSE(s.zone);
  EXPECT_EQ(s.spec.deadline_s, 900.0);
}

struct BadField {
  const char* field;
  const char* value;  // JSON; nullptr: the field is left out
};

class BadSubmission : public testing::TestWithParam<BadField> {};

TEST_P(BadSubmission, IsMalformed) {
  auto o = good();
  o.erase(GetParam().field);
  if (GetParam().value) o[GetParam().field] = json::parse(GetParam().value);
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(json::serialize(o))));
}

INSTANTIATE_TEST_SUITE_P(
    Table, BadSubmission,
    testing::Values(BadField{"nameId", nullptr}, BadField{"nameId", R"("job 1")"},
                    BadField{"nameId", R"("req-")"}, BadField{"nameId", R"("req-12/3")"},
                    BadField{"nameId", "7"}, BadField{"lane", nullptr}, BadField{"crew", "null"},
                    BadField{"shape", R"("service")"}, BadField{"shape", R"("Standing")"},
                    BadField{"urgency", R"("low")"}, BadField{"pieces", "0"}, BadField{"pieces", "100001"},
                    BadField{"pieces", "-1"}, BadField{"pieces", "1.5"}, BadField{"pieces", R"("3")"},
                    BadField{"vcpus", "-0.5"}, BadField{"vcpus", "1e300"}, BadField{"gpus", "true"},
                    BadField{"ramGb", nullptr}, BadField{"plate", R"("")"}, BadField{"imageGb", "-1"},
                    BadField{"racks", R"("g8")"}, BadField{"racks", "[1]"}, BadField{"hall", "3"},
                    BadField{"together", "1"}, BadField{"scatter", nullptr}, BadField{"loaners", "null"},
                    BadField{"expectS", "-3"}, BadField{"snapshotS", "[]"}, BadField{"flushS", nullptr},
                    BadField{"dueS", "-1"}));

// The run time of replicas has no end, whatever the estimate says.
TEST(Submission, ReadsAStandingJob) {
  auto o = good();
  o["shape"] = "standing";
  for (const double estimate : {0.0, 30.0}) {
    o["expectS"] = estimate;
    const auto parsed = parse_submission(json::serialize(o));
    ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
    const auto& spec = std::get<Submission>(parsed).spec;
    EXPECT_TRUE(spec.is_service());
    EXPECT_FALSE(spec.is_gang());
    EXPECT_EQ(spec.expected_run_s, jobs::kUnlimitedRunTimeS);
  }
}

class OfShape : public testing::TestWithParam<const char*> {};
TEST_P(OfShape, NeedsEachFieldThatMayNotBeNull) {
  for (const char* field :
       {"nameId", "lane", "crew", "shape", "urgency", "pieces", "vcpus", "gpus", "ramGb", "plate", "imageGb",
        "together", "scatter", "loaners", "expectS", "snapshotS", "flushS"}) {
    for (const char* wrong : {"", "null", "{}", "[1]"}) {
      auto o = good();
      o["shape"] = GetParam();
      o.erase(field);
      if (*wrong) o[field] = json::parse(wrong);
      EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(json::serialize(o))))
          << field << " " << wrong;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table, OfShape, testing::Values("array", "ensemble", "standing"));

class BadBody : public testing::TestWithParam<const char*> {};
TEST_P(BadBody, IsMalformedForUsersAndWorkers) {
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(GetParam())));
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_heartbeat(GetParam())));
}
INSTANTIATE_TEST_SUITE_P(Table, BadBody,
                         testing::Values("", "{", "[]", "3", "null", "{} x", "{\"a\":1e999}"));

TEST(Submission, FieldsThatMayBeNullMayBeLeftOut) {
  auto o = good();
  for (const char* field : {"racks", "hall", "dueS"}) o.erase(field);
  o["unheardOf"] = 1;
  auto parsed = parse_submission(json::serialize(o));
  ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
  EXPECT_FALSE(std::get<Submission>(parsed).types);
  EXPECT_FALSE(std::get<Submission>(parsed).spec.deadline_s);
}

// Users and agents see these texts, and the first field that is wrong is named.
TEST(Malformed, NamesReasonAndField) {
  const struct {
    const char* field;
    const char* value;  // JSON; nullptr: the field is left out
    const char* why;
  } submissions[] = {
      {"nameId", nullptr, "missing field nameId"},      {"nameId", R"("job-1")", "invalid field nameId"},
      {"shape", R"("service")", "invalid field shape"}, {"urgency", R"("low")", "invalid field urgency"},
      {"pieces", "0", "field out of range pieces"},     {"pieces", "1.5", "invalid field pieces"},
      {"ramGb", "-1", "field out of range ramGb"},      {"racks", "[1]", "invalid field racks"},
      {"together", "1", "invalid field together"},      {"dueS", "-1", "field out of range dueS"}};
  for (const auto& c : submissions) {
    auto o = good();
    o.erase(c.field);
    if (c.value) o[c.field] = json::parse(c.value);
    o["flushS"] = nullptr;  // wrong too, and read later than all but `dueS`
    if (std::string(c.field) == "dueS") o["flushS"] = 4.0;
    const auto parsed = parse_submission(json::serialize(o));
    ASSERT_TRUE(std::holds_alternative<Malformed>(parsed)) << c.field;
    EXPECT_EQ(std::get<Malformed>(parsed).why, c.why);
  }
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("{")).why, "not JSON");
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("[]")).why, "not an object");
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("{}")).why, "missing field perch");
}

TEST(Heartbeat, ReadsPieces) {
  auto parsed = parse_heartbeat(R"({"perch":"host-000231","endpoint":"10.1.0.232:9000","rack":"g8","hall":"a",
    "loaners":true,"stint":1,"tick":88,"baton":41,"warningS":12.5,"pieces":[
    {"piece":"req-000412/3","try":2,"status":"running"},
    {"piece":"req-000398/0","try":1,"status":"ended","cause":"halted","stored":true}]})");
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(parsed));
  const auto& r = std::get<Heartbeat>(parsed);
  EXPECT_EQ(r.fencing_token, 41u);
  EXPECT_EQ(r.termination_notice_s, 12.5);
  ASSERT_EQ(r.tasks.size(), 2u);
  EXPECT_EQ(r.tasks[0].task, 3u);
  EXPECT_EQ(r.tasks[0].state, TaskState::running);
  EXPECT_EQ(r.tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(r.tasks[1].saved);
}

TEST(Orders, AreWrittenAsTheProtocolSays) {
  const std::vector<Command> commands{{Command::Kind::start, "req-1", 4, 2, 0},
                                      {Command::Kind::stop, "req-2", 1, 1, 10},
                                      {Command::Kind::forget, "req-3", 0, 1, 0}};
  const auto v = json::parse(render_commands(41, commands));
  EXPECT_EQ(v, json::parse(R"({"baton":41,"orders":[{"verb":"run","piece":"req-1/4","try":2},
    {"verb":"kill","piece":"req-2/1","try":1,"leewayS":10.0},{"verb":"reap","piece":"req-3/0","try":1}]})"));
}

TEST(Answers, KeepTheirFieldsInTheProtocolsOrder) {
  EXPECT_EQ(render_status("req-1", "pending"), R"({"nameId":"req-1","status":"pending"})");
  EXPECT_EQ(render_status("req-1", "running", 2, 3),
            R"({"nameId":"req-1","status":"running","done":2,"running":3})");
  EXPECT_EQ(render_redirect("perch-1"), R"({"foreman":"perch-1"})");
  EXPECT_EQ(render_redirect(std::nullopt), "{}");
  EXPECT_EQ(render_error("no such job"), R"({"error":"no such job"})");
  EXPECT_EQ(render_direct_commands(41, 2, {}), R"({"baton":41,"stint":2,"orders":[]})");
}

}  // namespace
}  // namespace finchrun::wire
