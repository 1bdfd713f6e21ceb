#include "wire/messages.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace finchrun::wire {
namespace {

namespace json = boost::json;

json::object valid_submission() {
  return json::parse(
             R"({"nameId":"req-000412","lane":"train","crew":"vision","shape":"ensemble","urgency":"high",
    "pieces":16,"vcpus":8.0,"gpus":1.0,"ramGb":64.0,"plate":"img-07","imageGb":6.2,"racks":["g8"],"hall":null,
    "together":true,"scatter":false,"loaners":true,"expectS":240.0,"snapshotS":30.0,"flushS":4.0,"dueS":900.0})")
      .as_object();
}

TEST(Submission, ReadsEveryField) {
  auto parsed = parse_submission(json::serialize(valid_submission()));
  ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
  const auto& submission = std::get<Submission>(parsed);
  EXPECT_EQ(submission.id, "req-000412");
  EXPECT_EQ(submission.team, "vision");
  EXPECT_TRUE(submission.spec.is_gang());
  EXPECT_EQ(submission.spec.priority, jobs::Priority::high);
  EXPECT_EQ(submission.spec.tasks, 16u);
  EXPECT_DOUBLE_EQ(submission.spec.need.ram_gb, 64.0);
  EXPECT_EQ(submission.allowed_types->front(), "g8");
  EXPECT_FALSE(submission.zone);
  EXPECT_EQ(submission.spec.deadline_s, 900.0);
}

struct InvalidFieldCase {
  const char* field;
  const char* value;  // JSON; nullptr: the field is left out
};

class MalformedSubmission : public testing::TestWithParam<InvalidFieldCase> {};

TEST_P(MalformedSubmission, IsMalformed) {
  auto message = valid_submission();
  message.erase(GetParam().field);
  if (GetParam().value) message[GetParam().field] = json::parse(GetParam().value);
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(json::serialize(message))));
}

INSTANTIATE_TEST_SUITE_P(
    Table, MalformedSubmission,
    testing::Values(InvalidFieldCase{"nameId", nullptr}, InvalidFieldCase{"nameId", R"("job 1")"},
                    InvalidFieldCase{"nameId", R"("req-")"}, InvalidFieldCase{"nameId", R"("req-12/3")"},
                    InvalidFieldCase{"nameId", "7"}, InvalidFieldCase{"lane", nullptr},
                    InvalidFieldCase{"crew", "null"}, InvalidFieldCase{"shape", R"("service")"},
                    InvalidFieldCase{"shape", R"("Standing")"}, InvalidFieldCase{"urgency", R"("low")"},
                    InvalidFieldCase{"pieces", "0"}, InvalidFieldCase{"pieces", "100001"},
                    InvalidFieldCase{"pieces", "-1"}, InvalidFieldCase{"pieces", "1.5"},
                    InvalidFieldCase{"pieces", R"("3")"}, InvalidFieldCase{"vcpus", "-0.5"},
                    InvalidFieldCase{"vcpus", "1e300"}, InvalidFieldCase{"gpus", "true"},
                    InvalidFieldCase{"ramGb", nullptr}, InvalidFieldCase{"plate", R"("")"},
                    InvalidFieldCase{"imageGb", "-1"}, InvalidFieldCase{"racks", R"("g8")"},
                    InvalidFieldCase{"racks", "[1]"}, InvalidFieldCase{"hall", "3"},
                    InvalidFieldCase{"together", "1"}, InvalidFieldCase{"scatter", nullptr},
                    InvalidFieldCase{"loaners", "null"}, InvalidFieldCase{"expectS", "-3"},
                    InvalidFieldCase{"snapshotS", "[]"}, InvalidFieldCase{"flushS", nullptr},
                    InvalidFieldCase{"dueS", "-1"}));

// Replicas of a service run until it is cancelled, so the estimated run time is ignored.
TEST(Submission, ServiceHasNoEndOfRunTime) {
  auto message = valid_submission();
  message["shape"] = "standing";
  for (const double estimate : {0.0, 30.0}) {
    message["expectS"] = estimate;
    const auto parsed = parse_submission(json::serialize(message));
    ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
    const auto& spec = std::get<Submission>(parsed).spec;
    EXPECT_TRUE(spec.is_service());
    EXPECT_FALSE(spec.is_gang());
    EXPECT_EQ(spec.expected_run_s, jobs::kUnlimitedRunTimeS);
  }
}

class SubmissionOfShape : public testing::TestWithParam<const char*> {};
TEST_P(SubmissionOfShape, RequiresEveryFieldThatMayNotBeNull) {
  for (const char* field :
       {"nameId", "lane", "crew", "shape", "urgency", "pieces", "vcpus", "gpus", "ramGb", "plate", "imageGb",
        "together", "scatter", "loaners", "expectS", "snapshotS", "flushS"}) {
    for (const char* invalid : {"", "null", "{}", "[1]"}) {
      auto message = valid_submission();
      message["shape"] = GetParam();
      message.erase(field);
      if (*invalid) message[field] = json::parse(invalid);
      EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(json::serialize(message))))
          << field << " " << invalid;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table, SubmissionOfShape, testing::Values("array", "ensemble", "standing"));

class InvalidBody : public testing::TestWithParam<const char*> {};
TEST_P(InvalidBody, IsMalformedSubmissionAndHeartbeat) {
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_submission(GetParam())));
  EXPECT_TRUE(std::holds_alternative<Malformed>(parse_heartbeat(GetParam())));
}
INSTANTIATE_TEST_SUITE_P(Table, InvalidBody,
                         testing::Values("", "{", "[]", "3", "null", "{} x", "{\"a\":1e999}"));

TEST(Submission, FieldsThatMayBeNullMayBeLeftOut) {
  auto message = valid_submission();
  for (const char* field : {"racks", "hall", "dueS"}) message.erase(field);
  message["unheardOf"] = 1;
  auto parsed = parse_submission(json::serialize(message));
  ASSERT_TRUE(std::holds_alternative<Submission>(parsed));
  EXPECT_FALSE(std::get<Submission>(parsed).allowed_types);
  EXPECT_FALSE(std::get<Submission>(parsed).spec.deadline_s);
}

// The texts are sent to users and agents, and name the first invalid field.
TEST(Malformed, NamesReasonAndFirstInvalidField) {
  const struct {
    const char* field;
    const char* value;  // JSON; nullptr: the field is left out
    const char* reason;
  } submissions[] = {
      {"nameId", nullptr, "missing field nameId"},      {"nameId", R"("job-1")", "invalid field nameId"},
      {"shape", R"("service")", "invalid field shape"}, {"urgency", R"("low")", "invalid field urgency"},
      {"pieces", "0", "field out of range pieces"},     {"pieces", "1.5", "invalid field pieces"},
      {"ramGb", "-1", "field out of range ramGb"},      {"racks", "[1]", "invalid field racks"},
      {"together", "1", "invalid field together"},      {"dueS", "-1", "field out of range dueS"}};
  for (const auto& c : submissions) {
    auto message = valid_submission();
    message.erase(c.field);
    if (c.value) message[c.field] = json::parse(c.value);
    message["flushS"] = nullptr;  // also invalid, and read after all other fields but `dueS`
    if (std::string(c.field) == "dueS") message["flushS"] = 4.0;
    const auto parsed = parse_submission(json::serialize(message));
    ASSERT_TRUE(std::holds_alternative<Malformed>(parsed)) << c.field;
    EXPECT_EQ(std::get<Malformed>(parsed).reason, c.reason);
  }
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("{")).reason, "not JSON");
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("[]")).reason, "not an object");
  EXPECT_EQ(std::get<Malformed>(parse_heartbeat("{}")).reason, "missing field perch");
}

TEST(Heartbeat, ReadsTasks) {
  auto parsed = parse_heartbeat(R"({"perch":"host-000231","endpoint":"10.1.0.232:9000","rack":"g8","hall":"a",
    "loaners":true,"stint":1,"tick":88,"baton":41,"warningS":12.5,"pieces":[
    {"piece":"req-000412/3","try":2,"status":"running"},
    {"piece":"req-000398/0","try":1,"status":"ended","cause":"halted","stored":true}]})");
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(parsed));
  const auto& heartbeat = std::get<Heartbeat>(parsed);
  EXPECT_EQ(heartbeat.fencing_token, 41u);
  EXPECT_EQ(heartbeat.termination_notice_s, 12.5);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].task, 3u);
  EXPECT_EQ(heartbeat.tasks[0].state, TaskState::running);
  EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(heartbeat.tasks[1].checkpoint_saved);
}

TEST(Commands, AreRenderedWithWireNames) {
  const std::vector<Command> commands{{Command::Kind::start, "req-1", 4, 2, 0},
                                      {Command::Kind::stop, "req-2", 1, 1, 10},
                                      {Command::Kind::forget, "req-3", 0, 1, 0}};
  const auto rendered = json::parse(render_commands(41, commands));
  EXPECT_EQ(rendered, json::parse(R"({"baton":41,"orders":[{"verb":"run","piece":"req-1/4","try":2},
    {"verb":"kill","piece":"req-2/1","try":1,"leewayS":10.0},{"verb":"reap","piece":"req-3/0","try":1}]})"));
}

TEST(Answers, AreRenderedInTheOrderOfTheProtocol) {
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
