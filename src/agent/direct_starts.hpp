// The start commands sent straight to one agent that the agent may still execute.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace finchrun::agent {

/// Key of one attempt to run a task: job, task, attempt. Attempt numbers are unique within a job.
using TaskAttempt = std::tuple<core::JobId, std::uint32_t, std::uint64_t>;

/// Direct start commands to one agent, by the attempt that they start. The network may deliver a command at
/// any later time, and once more after it was executed and answered. It is void only once the agent obeys a
/// higher fencing token or is in a later incarnation (docs/design.md "Why the rules hold", 4).
class DirectStarts {
 public:
  /// Records that a start command is being sent.
  void record(const TaskAttempt& attempt, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
              core::TimePoint now);
  /// Records that the agent has executed the command. A copy of it may still arrive.
  void mark_answered(const TaskAttempt& attempt);
  /// Drops a start that the agent has refused as void.
  void withdraw(const TaskAttempt& attempt);
  /// Drops the starts that an agent in this incarnation, obeying this fencing token, refuses.
  void drop_void(std::uint64_t agent_incarnation, std::uint64_t fencing_token);

  /// Returns the fencing token of the attempt's start; empty if no start of it can be executed.
  [[nodiscard]] std::optional<std::uint64_t> token_of(const TaskAttempt& attempt) const;
  /// Returns the highest fencing token of the starts of the task's other attempts; empty if there are none.
  [[nodiscard]] std::optional<std::uint64_t> token_of_other_attempts(const TaskAttempt& attempt) const;
  /// Returns the time at which the oldest start was sent that has this fencing token or a higher one and no
  /// answer; empty if there is none.
  [[nodiscard]] std::optional<core::TimePoint> oldest_unanswered(std::uint64_t least_token) const;
  /// Returns true if a start has this fencing token or a higher one.
  [[nodiscard]] bool has_any(std::uint64_t least_token) const;
  [[nodiscard]] std::size_t size() const { return starts_.size(); }

 private:
  struct Start {
    std::uint64_t fencing_token = 0, agent_incarnation = 0;  // that the command carries
    core::TimePoint sent_at{};
    bool answered = false;
  };
  std::map<TaskAttempt, Start> starts_;
};

}  // namespace finchrun::agent
