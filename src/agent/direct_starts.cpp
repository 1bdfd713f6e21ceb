#include "agent/direct_starts.hpp"

#include <algorithm>

namespace finchrun::agent {

void DirectStarts::record(const TaskAttempt& attempt, std::uint64_t fencing_token,
                          std::uint64_t agent_incarnation, core::TimePoint now) {
  starts_[attempt] = {fencing_token, agent_incarnation, now, false};
}

void DirectStarts::mark_answered(const TaskAttempt& attempt) {
  const auto start = starts_.find(attempt);
  if (start != starts_.end()) start->second.answered = true;
}

void DirectStarts::withdraw(const TaskAttempt& attempt) { starts_.erase(attempt); }

void DirectStarts::drop_void(std::uint64_t agent_incarnation, std::uint64_t fencing_token) {
  std::erase_if(starts_, [&](const auto& item) {
    const auto& start = item.second;
    return start.fencing_token < fencing_token || start.agent_incarnation < agent_incarnation;
  });
}

std::optional<std::uint64_t> DirectStarts::token_of(const TaskAttempt& attempt) const {
  const auto start = starts_.find(attempt);
  if (start == starts_.end()) return std::nullopt;
  return start->second.fencing_token;
}

std::optional<std::uint64_t> DirectStarts::token_of_other_attempts(const TaskAttempt& attempt) const {
  const auto [job, task, number] = attempt;
  std::optional<std::uint64_t> highest;
  for (auto it = starts_.lower_bound({job, task, 0}); it != starts_.end(); ++it) {
    const auto& [other_job, other_task, other_number] = it->first;
    if (other_job != job || other_task != task) break;
    if (other_number != number) highest = std::max(highest.value_or(0), it->second.fencing_token);
  }
  return highest;
}

bool DirectStarts::has_any(std::uint64_t least_token) const {
  return std::any_of(starts_.begin(), starts_.end(),
                     [&](const auto& item) { return item.second.fencing_token >= least_token; });
}

std::optional<core::TimePoint> DirectStarts::oldest_unanswered(std::uint64_t least_token) const {
  std::optional<core::TimePoint> oldest;
  for (const auto& [_, start] : starts_) {
    if (start.answered || start.fencing_token < least_token) continue;
    oldest = std::min(oldest.value_or(start.sent_at), start.sent_at);
  }
  return oldest;
}

}  // namespace finchrun::agent
