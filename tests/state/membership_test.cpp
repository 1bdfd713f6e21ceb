#include "coordination/membership.hpp"

#include <gtest/gtest.h>

#include "assignments/single_partition.hpp"
#include "core/case_names.hpp"

namespace finchrun::coordination {
namespace {

using state::LeaseRenewal;

constexpr std::uint64_t kIncarnation = 71, kJoinedRevision = 12;

struct LossCase {
  const char* name;
  LeaseRenewal renewal;
  const char* member_record;  // nullptr: the key does not exist
  std::uint64_t read_to;      // revision up to which the cache has read
  bool loaded;
  std::optional<std::string_view> reason;
};
class MembershipLoss : public testing::TestWithParam<LossCase> {};
TEST_P(MembershipLoss, IsReportedOnlyIfCertain) {
  const auto& test_case = GetParam();
  auto settings = assignments::single_partition_settings();
  settings.label = "perch-1";
  controller::ControllerState state(settings, {});
  state.incarnation = kIncarnation;
  state.joined_revision = kJoinedRevision;
  state.cache_loaded = test_case.loaded;
  if (test_case.member_record)
    state.cache.apply({"members/perch-1", boost::json::parse(test_case.member_record), kJoinedRevision});
  state.cache.synchronized(test_case.read_to);
  EXPECT_EQ(membership_loss(state, test_case.renewal), test_case.reason);
}
INSTANTIATE_TEST_SUITE_P(
    Cases, MembershipLoss,
    testing::Values(
        LossCase{"lease_renewed", LeaseRenewal::renewed, R"({"inc":71,"level":2})", 12, true, std::nullopt},
        LossCase{"store_unavailable", LeaseRenewal::unknown, R"({"inc":71,"level":2})", 12, true,
                 std::nullopt},
        LossCase{"lease_expired", LeaseRenewal::expired, R"({"inc":71,"level":2})", 12, true,
                 "lease_expired"},
        LossCase{"lease_expired_before_state_is_loaded", LeaseRenewal::expired, nullptr, 0, false,
                 "lease_expired"},
        LossCase{"key_deleted_while_lease_is_valid", LeaseRenewal::renewed, nullptr, 12, true,
                 "member_key_gone"},
        LossCase{"key_not_read_yet", LeaseRenewal::renewed, nullptr, 11, true, std::nullopt},
        LossCase{"state_is_being_reloaded", LeaseRenewal::renewed, nullptr, 12, false, std::nullopt},
        LossCase{"key_overwritten_by_earlier_process", LeaseRenewal::renewed, R"({"inc":60,"level":2})", 12,
                 true, "member_key_of_another_process"}),
    kCaseName);

TEST(StateFollower, ReadsAllRecordsOnlyAtStartAndAfterALongGap) {
  const auto at = [](double s) { return core::TimePoint(core::to_duration(s)); };
  EXPECT_TRUE(needs_full_load(false, {}, at(100)));
  EXPECT_TRUE(needs_full_load(false, at(99), at(100))) << "the store no longer keeps the changes";
  EXPECT_FALSE(needs_full_load(true, {}, at(100))) << "all pages read, no changes yet";
  EXPECT_FALSE(needs_full_load(true, at(92.5), at(100)));
  EXPECT_TRUE(needs_full_load(true, at(91.5), at(100)));
}

}  // namespace
}  // namespace finchrun::coordination
