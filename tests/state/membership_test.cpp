#include "coordination/membership.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"

namespace finchrun::coordination {
namespace {

using state::LeaseRenewal;

constexpr std::uint64_t kIncarnation = 71, kJoinedRevision = 12;

struct LossCase {
  const char* name;
  LeaseRenewal renewal;
  const char* member_record;  // nullptr: there is none
  std::uint64_t read_to;      // revision up to which the cache has read
  bool loaded;
  std::optional<std::string_view> reason;
};
class MembershipLoss : public testing::TestWithParam<LossCase> {};
TEST_P(MembershipLoss, IsOnlyWhatIsCertain) {
  const auto& c = GetParam();
  auto settings = assignments::single_partition_settings();
  settings.label = "perch-1";
  controller::ControllerState state(settings, {});
  state.incarnation = kIncarnation;
  state.joined_revision = kJoinedRevision;
  state.cache_loaded = c.loaded;
  if (c.member_record)
    state.cache.apply({"members/perch-1", boost::json::parse(c.member_record), kJoinedRevision});
  state.cache.synchronized(c.read_to);
  EXPECT_EQ(membership_loss(state, c.renewal), c.reason);
}
INSTANTIATE_TEST_SUITE_P(
    Table, MembershipLoss,
    testing::Values(
        LossCase{"goes_on", LeaseRenewal::renewed, R"({"inc":71,"level":2})", 12, true, std::nullopt},
        LossCase{"store_is_out", LeaseRenewal::unknown, R"({"inc":71,"level":2})", 12, true, std::nullopt},
        LossCase{"expired", LeaseRenewal::expired, R"({"inc":71,"level":2})", 12, true, "lease_expired"},
        LossCase{"expired_before_the_state_is_read", LeaseRenewal::expired, nullptr, 0, false,
                 "lease_expired"},
        LossCase{"key_gone_under_a_living_lease", LeaseRenewal::renewed, nullptr, 12, true,
                 "member_key_gone"},
        LossCase{"key_not_read_yet", LeaseRenewal::renewed, nullptr, 11, true, std::nullopt},
        LossCase{"state_is_read_anew", LeaseRenewal::renewed, nullptr, 12, false, std::nullopt},
        LossCase{"late_write_of_the_earlier_process", LeaseRenewal::renewed, R"({"inc":60,"level":2})", 12,
                 true, "member_key_of_another_process"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(StateFollower, ReadsEverythingAtFirstAndAfterALongGapOnly) {
  const auto at = [](double s) { return core::TimePoint(core::secs(s)); };
  EXPECT_TRUE(reads_everything(false, {}, at(100)));
  EXPECT_TRUE(reads_everything(false, at(99), at(100))) << "the changes since are no longer kept";
  EXPECT_FALSE(reads_everything(true, {}, at(100))) << "all pages read, no changes yet";
  EXPECT_FALSE(reads_everything(true, at(92.5), at(100)));
  EXPECT_TRUE(reads_everything(true, at(91.5), at(100)));
}

}  // namespace
}  // namespace finchrun::coordination
