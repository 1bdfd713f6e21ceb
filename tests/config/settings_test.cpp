#include "config/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace finchrun::config {
namespace {

const std::string kGood = R"(label = "perch-0"
domain = "a"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
future = true
[[members]]
label = "perch-1"
domain = "b"
endpoint = "127.0.0.1:8082"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
nodes = 2
zones = ["a", "b"]
[[deployment.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[deployment.workers]
report_s = 3.0
)";

struct File {
  explicit File(const std::string& text)
      : path(testing::TempDir() + "finchrun_settings_" + std::to_string(::getpid())) {
    std::ofstream(path) << text;
  }
  ~File() { std::remove(path.c_str()); }
  std::string path;
};

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos);
  return text.replace(at, from.size(), to);
}

// One line names the field and the value.
void expect_refused(const File& f, const std::string& field) {
  try {
    load_settings(f.path);
    FAIL() << "accepted";
  } catch (const SettingsError& e) {
    const std::string line = e.what();
    EXPECT_NE(line.find(field), std::string::npos) << line;
    EXPECT_EQ(line.find('\n'), std::string::npos) << line;
  }
}

TEST(Settings, ReadsThePlatformsFile) {
  File f(kGood);
  const auto s = load_settings(f.path);
  EXPECT_EQ(s.label, "perch-0");
  EXPECT_EQ(s.listen.port, 8080);
  ASSERT_EQ(s.members.size(), 1u);
  EXPECT_EQ(s.members[0].zone, "b");
  EXPECT_DOUBLE_EQ(s.teams.at(0).gpus_max, 8);
  EXPECT_DOUBLE_EQ(s.report_s, 3);
}

struct Announced {
  const char* name;
  const char* state;  // the table's text
  StateLimits limits;
};
class StateLimitsOf : public testing::TestWithParam<Announced> {};
// The moment at which the announced limits hold is unknown, so the smaller of both count from the start.
TEST_P(StateLimitsOf, AreTheSmallerOfPresentAndAnnounced) {
  File f(kGood + GetParam().state);
  const auto limits = load_settings(f.path).state_limits;
  EXPECT_DOUBLE_EQ(limits.requests_per_s, GetParam().limits.requests_per_s);
  EXPECT_DOUBLE_EQ(limits.writes_per_s, GetParam().limits.writes_per_s);
  EXPECT_DOUBLE_EQ(limits.value_kb, GetParam().limits.value_kb);
  EXPECT_EQ(limits.transaction_writes, GetParam().limits.transaction_writes);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StateLimitsOf,
    testing::Values(
        Announced{
            "nothing_announced", "[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\n", {150, 50, 8, 16}},
        Announced{"all_of_it",
                  "[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\n[deployment.state.next]\nrps = 90.0\n"
                  "write_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 5\n",
                  {90, 35, 2, 5}},
        Announced{"some_of_it",
                  "[deployment.state]\nvalue_kb = 6.0\n[deployment.state.next]\ntxn_ops = 5\n",
                  {100, 20, 6, 5}},
        Announced{"larger_ones_do_not_count_yet",
                  "[deployment.state]\ntxn_ops = 8\n[deployment.state.next]\ntxn_ops = 32\nvalue_kb = 1.0\n",
                  {100, 20, 1, 8}}),
    [](const auto& info) { return std::string(info.param.name); });

struct BadAnnounced {
  const char *next, *field;
};
class BadStateLimits : public testing::TestWithParam<BadAnnounced> {};
TEST_P(BadStateLimits, NameFieldOnOneLine) {
  File f(kGood + "[deployment.state]\n" + GetParam().next);
  expect_refused(f, GetParam().field);
}
INSTANTIATE_TEST_SUITE_P(
    Table, BadStateLimits,
    testing::Values(BadAnnounced{"next = 3\n", "deployment.state.next = 3"},
                    BadAnnounced{"next = [2]\n", "deployment.state.next"},
                    BadAnnounced{"next = { value_kb = \"x\" }\n", "deployment.state.next.value_kb"},
                    BadAnnounced{"next = { value_kb = 0.0 }\n", "deployment.state.next.value_kb = 0"},
                    BadAnnounced{"next = { txn_ops = 3 }\n", "deployment.state.next.txn_ops = 3"},
                    BadAnnounced{"next = { rps = -1 }\n", "deployment.state.next.rps"},
                    BadAnnounced{"next = { write_rps = nan }\n", "deployment.state.next.write_rps"}));

struct Bad {
  const char *from, *to, *field;
};
class BadSettings : public testing::TestWithParam<Bad> {};
TEST_P(BadSettings, NameFieldOnOneLine) {
  File f(replaced(kGood, GetParam().from, GetParam().to));
  expect_refused(f, GetParam().field);
}
INSTANTIATE_TEST_SUITE_P(
    Table, BadSettings,
    testing::Values(Bad{"label = \"perch-0\"\n", "", "label"},
                    Bad{"bind = \"127.0.0.1:8080\"", "bind = \"here:8080\"", "bind"},
                    Bad{"bind = \"127.0.0.1:8080\"", "bind = \"127.0.0.1:0\"", "bind"},
                    Bad{"state = \"127.0.0.1:2\"", "state = 2", "endpoints.state"},
                    Bad{"nodes = 2", "nodes = 0", "deployment.nodes"},
                    Bad{"zones = [\"a\", \"b\"]", "zones = []", "deployment.zones"},
                    Bad{"gpus = 4.0", "gpus = -1", "deployment.teams.gpus"},
                    Bad{"gpus = 4.0", "gpus = nan", "deployment.teams.gpus"},
                    Bad{"report_s = 3.0", "report_s = \"x\"", "deployment.workers.report_s"},
                    Bad{"report_s = 3.0", "report_s = 3.0\nlease_s = 45.0\ncancel_s = 49.4",
                        "deployment.workers.cancel_s"},
                    Bad{"[deployment]", "[deployment", "file"}));

// What an agent's lease leaves of cancel_s, less drift and a reserve.
TEST(Settings, RenewalWindowIsWhatTheLeaseLeavesOfACancellation) {
  struct Case {
    double lease_s, cancel_s, window_s;
  };
  for (const auto& c : {Case{10, 30, 16.9}, Case{15.25, 35.25, 16.8475}, Case{45, 70, 21.55}}) {
    Settings s;
    s.lease_s = c.lease_s;
    s.cancel_s = c.cancel_s;
    EXPECT_NEAR(s.renewal_window_s(), c.window_s, 1e-9);
  }
}

struct Property {
  const char *text, *field;  // no field: accepted
};
class Properties : public testing::TestWithParam<Property> {};
TEST_P(Properties, AreChecked) {
  File f(GetParam().text);
  if (!GetParam().field) {
    EXPECT_NO_THROW(load_properties(f.path));
    return;
  }
  try {
    load_properties(f.path);
    FAIL() << "accepted";
  } catch (const SettingsError& e) {
    EXPECT_NE(std::string(e.what()).find(GetParam().field), std::string::npos) << e.what();
  }
}
INSTANTIATE_TEST_SUITE_P(Table, Properties,
                         testing::Values(Property{"# nothing\n", nullptr},
                                         Property{"usage.windows = 6\nusage.decay: 0.5\n", nullptr},
                                         Property{"usage.decay = 1.5\n", "usage.decay"},
                                         Property{"usage.windows = many\n", "usage.windows"},
                                         Property{"rank.image_factor = 0.5\n", "rank.image_factor"},
                                         Property{"round_s = 0\n", "round_s"},
                                         Property{"usage.window_s = -3\n", "usage.window_s"}));

TEST(Properties, DefaultsAreTheDesigns) {
  const Tuning t;
  EXPECT_NO_THROW(check(t));
  EXPECT_DOUBLE_EQ(t.window_s, 30);
  EXPECT_EQ(t.windows, 12);
  EXPECT_DOUBLE_EQ(t.decay, 0.8);
  EXPECT_DOUBLE_EQ(t.round_s, 2);
}

}  // namespace
}  // namespace finchrun::config
