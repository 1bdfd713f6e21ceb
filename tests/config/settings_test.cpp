#include "config/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "core/case_names.hpp"

namespace finchrun::config {
namespace {

const std::string kValidSettings = R"(label = "perch-0"
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

struct TemporaryFile {
  explicit TemporaryFile(const std::string& text)
      : path(testing::TempDir() + "finchrun_settings_" + std::to_string(::getpid())) {
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { std::remove(path.c_str()); }
  std::string path;
};

std::string with_replacement(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos);
  return text.replace(at, from.size(), to);
}

// Expects an error message on one line that names the field.
void expect_rejected(const TemporaryFile& file, const std::string& field) {
  try {
    load_settings(file.path);
    FAIL() << "accepted";
  } catch (const SettingsError& error) {
    const std::string line = error.what();
    EXPECT_NE(line.find(field), std::string::npos) << line;
    EXPECT_EQ(line.find('\n'), std::string::npos) << line;
  }
}

TEST(Settings, ReadsAValidFile) {
  TemporaryFile file(kValidSettings);
  const auto settings = load_settings(file.path);
  EXPECT_EQ(settings.label, "perch-0");
  EXPECT_EQ(settings.listen.port, 8080);
  ASSERT_EQ(settings.members.size(), 1u);
  EXPECT_EQ(settings.members[0].zone, "b");
  EXPECT_DOUBLE_EQ(settings.teams.at(0).gpus_max, 8);
  EXPECT_DOUBLE_EQ(settings.heartbeat_interval_s, 3);
}

struct LimitsCase {
  const char* name;
  const char* state;  // TOML text of the table
  StoreLimits limits;
};
class EffectiveStoreLimits : public testing::TestWithParam<LimitsCase> {};
// The announced limits may apply at any time, so the smaller ones count from the start.
TEST_P(EffectiveStoreLimits, AreTheSmallerOfCurrentAndAnnounced) {
  TemporaryFile file(kValidSettings + GetParam().state);
  const auto limits = load_settings(file.path).store_limits;
  EXPECT_DOUBLE_EQ(limits.requests_per_s, GetParam().limits.requests_per_s);
  EXPECT_DOUBLE_EQ(limits.writes_per_s, GetParam().limits.writes_per_s);
  EXPECT_DOUBLE_EQ(limits.max_value_kb, GetParam().limits.max_value_kb);
  EXPECT_EQ(limits.max_transaction_writes, GetParam().limits.max_transaction_writes);
}
INSTANTIATE_TEST_SUITE_P(
    Table, EffectiveStoreLimits,
    testing::Values(
        LimitsCase{
            "nothing_announced", "[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\n", {150, 50, 8, 16}},
        LimitsCase{"all_limits_announced",
                   "[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\n[deployment.state.next]\nrps = 90.0\n"
                   "write_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 5\n",
                   {90, 35, 2, 5}},
        LimitsCase{"one_limit_announced",
                   "[deployment.state]\nvalue_kb = 6.0\n[deployment.state.next]\ntxn_ops = 5\n",
                   {100, 20, 6, 5}},
        LimitsCase{"larger_announced_limits_are_ignored",
                   "[deployment.state]\ntxn_ops = 8\n[deployment.state.next]\ntxn_ops = 32\nvalue_kb = 1.0\n",
                   {100, 20, 1, 8}}),
    kCaseName);

struct InvalidAnnouncement {
  const char *next, *field;
};
class InvalidStoreLimits : public testing::TestWithParam<InvalidAnnouncement> {};
TEST_P(InvalidStoreLimits, AreReportedWithTheFieldOnOneLine) {
  TemporaryFile file(kValidSettings + "[deployment.state]\n" + GetParam().next);
  expect_rejected(file, GetParam().field);
}
INSTANTIATE_TEST_SUITE_P(
    Table, InvalidStoreLimits,
    testing::Values(InvalidAnnouncement{"next = 3\n", "deployment.state.next = 3"},
                    InvalidAnnouncement{"next = [2]\n", "deployment.state.next"},
                    InvalidAnnouncement{"next = { value_kb = \"x\" }\n", "deployment.state.next.value_kb"},
                    InvalidAnnouncement{"next = { value_kb = 0.0 }\n", "deployment.state.next.value_kb = 0"},
                    InvalidAnnouncement{"next = { txn_ops = 3 }\n", "deployment.state.next.txn_ops = 3"},
                    InvalidAnnouncement{"next = { rps = -1 }\n", "deployment.state.next.rps"},
                    InvalidAnnouncement{"next = { write_rps = nan }\n", "deployment.state.next.write_rps"}));

struct InvalidSetting {
  const char *from, *to, *field;
};
class InvalidSettings : public testing::TestWithParam<InvalidSetting> {};
TEST_P(InvalidSettings, AreReportedWithTheFieldOnOneLine) {
  TemporaryFile file(with_replacement(kValidSettings, GetParam().from, GetParam().to));
  expect_rejected(file, GetParam().field);
}
INSTANTIATE_TEST_SUITE_P(
    Table, InvalidSettings,
    testing::Values(InvalidSetting{"label = \"perch-0\"\n", "", "label"},
                    InvalidSetting{"bind = \"127.0.0.1:8080\"", "bind = \"here:8080\"", "bind"},
                    InvalidSetting{"bind = \"127.0.0.1:8080\"", "bind = \"127.0.0.1:0\"", "bind"},
                    InvalidSetting{"state = \"127.0.0.1:2\"", "state = 2", "endpoints.state"},
                    InvalidSetting{"nodes = 2", "nodes = 0", "deployment.nodes"},
                    InvalidSetting{"zones = [\"a\", \"b\"]", "zones = []", "deployment.zones"},
                    InvalidSetting{"gpus = 4.0", "gpus = -1", "deployment.teams.gpus"},
                    InvalidSetting{"gpus = 4.0", "gpus = nan", "deployment.teams.gpus"},
                    InvalidSetting{"report_s = 3.0", "report_s = \"x\"", "deployment.workers.report_s"},
                    InvalidSetting{"report_s = 3.0", "report_s = 3.0\nlease_s = 45.0\ncancel_s = 49.4",
                                   "deployment.workers.cancel_s"},
                    InvalidSetting{"[deployment]", "[deployment", "file"}));

// The window is cancel_s less the agent lease, an allowance for clock drift and a reserve.
TEST(Settings, RenewalWindowIsCancellationDeadlineLessLeaseDriftAndReserve) {
  struct WindowCase {
    double lease_s, cancel_s, window_s;
  };
  for (const auto& test_case :
       {WindowCase{10, 30, 16.9}, WindowCase{15.25, 35.25, 16.8475}, WindowCase{45, 70, 21.55}}) {
    Settings settings;
    settings.agent_lease_s = test_case.lease_s;
    settings.cancel_s = test_case.cancel_s;
    EXPECT_NEAR(settings.lease_renewal_window_s(), test_case.window_s, 1e-9);
  }
}

struct PropertyCase {
  const char *text, *field;  // the field is null if the text is valid
};
class Properties : public testing::TestWithParam<PropertyCase> {};
TEST_P(Properties, AreChecked) {
  TemporaryFile file(GetParam().text);
  if (!GetParam().field) {
    EXPECT_NO_THROW(load_properties(file.path));
    return;
  }
  try {
    load_properties(file.path);
    FAIL() << "accepted";
  } catch (const SettingsError& error) {
    EXPECT_NE(std::string(error.what()).find(GetParam().field), std::string::npos) << error.what();
  }
}
INSTANTIATE_TEST_SUITE_P(Table, Properties,
                         testing::Values(PropertyCase{"# nothing\n", nullptr},
                                         PropertyCase{"usage.windows = 6\nusage.decay: 0.5\n", nullptr},
                                         PropertyCase{"usage.decay = 1.5\n", "usage.decay"},
                                         PropertyCase{"usage.windows = many\n", "usage.windows"},
                                         PropertyCase{"rank.image_factor = 0.5\n", "rank.image_factor"},
                                         PropertyCase{"round_s = 0\n", "round_s"},
                                         PropertyCase{"usage.window_s = -3\n", "usage.window_s"}));

TEST(Properties, DefaultsAreValidAndMatchTheDesign) {
  const Tuning tuning;
  EXPECT_NO_THROW(check(tuning));
  EXPECT_DOUBLE_EQ(tuning.usage_window_s, 30);
  EXPECT_EQ(tuning.usage_windows, 12);
  EXPECT_DOUBLE_EQ(tuning.usage_decay, 0.8);
  EXPECT_DOUBLE_EQ(tuning.scheduling_interval_s, 2);
}

}  // namespace
}  // namespace finchrun::config
