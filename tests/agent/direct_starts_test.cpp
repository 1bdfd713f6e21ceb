#include "agent/direct_starts.hpp"

#include <gtest/gtest.h>

#include "core/case_names.hpp"

namespace finchrun::agent {
namespace {

const TaskAttempt kAttempt{core::JobId{0}, 3, 7};
core::TimePoint at(double seconds) { return core::TimePoint{core::to_duration(seconds)}; }

DirectStarts sent_under(std::uint64_t fencing_token, std::uint64_t agent_incarnation) {
  DirectStarts starts;
  starts.record(kAttempt, fencing_token, agent_incarnation, at(10));
  return starts;
}

struct VoidCase {
  const char* name;
  std::uint64_t agent_incarnation, fencing_token;
  bool may_be_executed;
};
class VoidDirectStart : public testing::TestWithParam<VoidCase> {};
// The start carries token 50 and incarnation 2.
TEST_P(VoidDirectStart, IsOneThatTheAgentRefuses) {
  for (const bool answered : {false, true}) {
    auto starts = sent_under(50, 2);
    if (answered) starts.mark_answered(kAttempt);
    starts.drop_void(GetParam().agent_incarnation, GetParam().fencing_token);
    EXPECT_EQ(starts.token_of(kAttempt).has_value(), GetParam().may_be_executed) << answered;
  }
}
INSTANTIATE_TEST_SUITE_P(Table, VoidDirectStart,
                         testing::Values(VoidCase{"same_token", 2, 50, true},
                                         VoidCase{"lower_token", 2, 49, true},
                                         VoidCase{"higher_token", 2, 51, false},
                                         VoidCase{"later_incarnation", 3, 50, false},
                                         VoidCase{"earlier_incarnation", 1, 50, true}),
                         kCaseName);

TEST(DirectStarts, NameTheHighestTokenOfOtherAttemptsOfTheTask) {
  auto starts = sent_under(50, 2);
  EXPECT_FALSE(starts.token_of_other_attempts(kAttempt));
  const TaskAttempt next{core::JobId{0}, 3, 9};
  EXPECT_EQ(starts.token_of_other_attempts(next), 50u);
  starts.record({core::JobId{0}, 3, 8}, 60, 2, at(11));
  EXPECT_EQ(starts.token_of_other_attempts(next), 60u);
  EXPECT_FALSE(starts.token_of_other_attempts({core::JobId{0}, 4, 9}));
  EXPECT_FALSE(starts.token_of_other_attempts({core::JobId{1}, 3, 9}));
}

TEST(DirectStarts, NameTheOldestWithoutAnAnswer) {
  auto starts = sent_under(50, 2);
  starts.record({core::JobId{0}, 4, 7}, 55, 2, at(12));
  EXPECT_EQ(starts.oldest_unanswered(50), at(10));
  EXPECT_EQ(starts.oldest_unanswered(51), at(12));
  starts.mark_answered(kAttempt);
  EXPECT_EQ(starts.oldest_unanswered(50), at(12));
  EXPECT_FALSE(starts.oldest_unanswered(56));
}

}  // namespace
}  // namespace finchrun::agent
