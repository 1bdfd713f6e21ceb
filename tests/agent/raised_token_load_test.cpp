// Counts what raised fencing tokens cost: agents that follow the protocol's rules for heartbeats, on some of
// which a task ends every second, and the leader's handling of their heartbeats.
#include <gtest/gtest.h>

#include "agent/heartbeat_handler.hpp"
#include "wire/messages.hpp"

namespace finchrun::agent {
namespace {

namespace json = boost::json;
using wire::Command;
using wire::ExitCause;
using wire::TaskState;

constexpr std::uint64_t kPartitionToken = 50;
constexpr double kHeartbeatIntervalS = 10, kLeaseS = 45, kChangeDelayS = 0.5;
constexpr double kDurationS = 60, kStepS = 0.1;
constexpr std::uint32_t kTasksPerMachine = 4;
constexpr std::size_t kMachinesPerBusyOne = 10;

struct Counts {
  std::size_t heartbeats = 0;
  std::size_t ended_tasks_reported = 0;
  std::size_t task_ends = 0;
  std::size_t refused_starts = 0;  // direct starts that a raised token had overtaken
  std::size_t raised_tokens = 0;
  std::size_t unconfirmed_ends = 0;  // heartbeats with ends that wait for a probe
};

/// One agent that follows the protocol.
struct ModelAgent {
  wire::Heartbeat state;
  std::uint32_t next_task = 0;
  double last_sent_s = 0, next_regular_s = 0;
  double last_token_change_s = -kLeaseS;
  bool changed = false;

  void take_token(std::uint64_t token, double now_s) {
    if (token <= state.fencing_token) return;
    state.fencing_token = token;
    // A higher token counts as a change at most once per half of the lease.
    if (now_s - last_token_change_s < kLeaseS / 2) return;
    last_token_change_s = now_s;
    changed = true;
  }
  [[nodiscard]] bool is_heartbeat_due(double now_s) const {
    return now_s >= next_regular_s || (changed && now_s >= last_sent_s + kChangeDelayS);
  }
};

/// A leader with its agents. Each ended task is replaced by the next attempt on the same machine.
class Load {
 public:
  /// `records_direct_starts`: false as before tokens were raised.
  Load(std::size_t machines, bool records_direct_starts)
      : cache_(add_names(names_), 1, 1), records_direct_starts_(records_direct_starts) {
    for (std::size_t index = 0; index < machines; ++index) add_machine(index, machines);
  }

  Counts run() {
    for (double now_s = kStepS; now_s < kDurationS; now_s += kStepS) {
      const bool full_second = static_cast<int>(now_s) != static_cast<int>(now_s - kStepS);
      for (std::size_t index = 0; index < agents_.size(); ++index) {
        if (full_second && index % kMachinesPerBusyOne == 0) end_task(index);
        if (agents_[index].is_heartbeat_due(now_s)) send_heartbeat(index, now_s);
      }
      replace_ended_tasks(now_s);
    }
    return counts_;
  }

 private:
  static jobs::Names& add_names(jobs::Names& names) {
    names.teams.intern("red");
    names.partitions.intern("a.0");
    return names;
  }
  void add_job(const std::string& name) {
    jobs::JobRecord record;
    record.spec.job_class = names_.job_classes.intern("lane");
    record.spec.team = core::TeamId{0};
    record.spec.image = names_.images.intern("img");
    record.spec.shape = jobs::Shape::array;
    record.spec.tasks = kTasksPerMachine + static_cast<std::uint32_t>(kDurationS) + 1;
    record.ranges = {{0, record.spec.tasks, core::PartitionId{0}}};
    cache_.apply({"jobs/" + name, jobs::to_json(record, names_), ++revision_});
  }
  // Each machine runs the tasks of a job of its own.
  void add_machine(std::size_t index, std::size_t machines) {
    const auto job = "req-" + std::to_string(index);
    add_job(job);
    auto& machine = fleet_.find_or_add(names_, "host-" + std::to_string(index), {});
    machine.partition = core::PartitionId{0};
    machines_.push_back(&machine);
    auto& agent = agents_.emplace_back();
    agent.state.machine = machine.name;
    agent.state.agent_incarnation = 1;
    agent.state.fencing_token = kPartitionToken;
    agent.next_regular_s = kHeartbeatIntervalS * static_cast<double>(index) / static_cast<double>(machines);
    for (; agent.next_task < kTasksPerMachine; ++agent.next_task)
      agent.state.tasks.push_back({job, agent.next_task, 1, TaskState::running, ExitCause::none, false});
    agent.changed = true;  // its tasks have started
    record_assignments(index);
    for (const auto& task : agent.state.tasks) note_direct_start(index, task);
  }
  // Records the attempts that have not ended as the machine's assignments.
  void record_assignments(std::size_t index) {
    jobs::JobAssignments assigned;
    for (const auto& task : agents_[index].state.tasks)
      if (task.state != TaskState::ended)
        assigned.assignments.push_back({task.task, task.attempt, machines_[index]->id, 1});
    cache_.apply({"runs/a.0/" + std::to_string(index),
                  json::object{{"jobs", json::object{{"req-" + std::to_string(index),
                                                      jobs::to_json(assigned, names_)}}}},
                  ++revision_});
  }
  void note_direct_start(std::size_t index, const wire::TaskStatus& task) {
    if (!records_direct_starts_) return;
    auto& starts = machines_[index]->direct_starts;
    const TaskAttempt attempt{*names_.jobs.find(task.job), task.task, task.attempt};
    starts.record(attempt, machines_[index]->command_token(tokens()), 1, {});
    starts.mark_answered(attempt);
  }
  [[nodiscard]] FencingTokens tokens() const { return {kPartitionToken, revision_}; }

  void end_task(std::size_t index) {
    for (auto& task : agents_[index].state.tasks) {
      if (task.state != TaskState::running) continue;
      task.state = TaskState::ended;
      task.cause = ExitCause::done;
      agents_[index].changed = true;
      ++counts_.task_ends;
      return;
    }
  }
  HeartbeatResult deliver(std::size_t index, double now_s, bool is_direct_answer) {
    auto& agent = agents_[index];
    ++agent.state.sequence;
    return handle_heartbeat({names_, cache_, fleet_, job_failures_, tokens(),
                             core::TimePoint{core::to_duration(now_s)}, kLeaseS, true, is_direct_answer},
                            *machines_[index], agent.state);
  }
  void send_heartbeat(std::size_t index, double now_s) {
    auto& agent = agents_[index];
    agent.last_sent_s = now_s;
    if (now_s >= agent.next_regular_s) agent.next_regular_s += kHeartbeatIntervalS;
    agent.changed = false;
    ++counts_.heartbeats;
    for (const auto& task : agent.state.tasks)
      counts_.ended_tasks_reported += task.state == TaskState::ended ? 1 : 0;
    const auto token_before = machines_[index]->command_token(tokens());
    const auto result = deliver(index, now_s, false);
    counts_.raised_tokens += machines_[index]->command_token(tokens()) > token_before ? 1 : 0;
    agent.take_token(machines_[index]->command_token(tokens()), now_s);
    counts_.unconfirmed_ends += machines_[index]->has_unconfirmed_ends ? 1 : 0;
    for (const auto& command : result.commands) {
      if (command.kind != Command::Kind::forget) continue;
      agent.changed |= std::erase_if(agent.state.tasks, [&](const wire::TaskStatus& task) {
                         return task.task == command.task && task.attempt == command.attempt;
                       }) > 0;
    }
    if (result.exits_observed) exited_.push_back(index);
  }
  // Records the exits and starts the next attempts by direct commands.
  void replace_ended_tasks(double now_s) {
    for (const auto index : std::exchange(exited_, {})) {
      auto& agent = agents_[index];
      const auto before = agent.state.tasks;
      for (const auto& task : before) {
        const ObservedExit exit{*names_.jobs.find(task.job), core::PartitionId{0}, task.task, task.attempt,
                                true};
        if (task.state != TaskState::ended || fleet_.observed_exits.erase(exit) == 0) continue;
        const wire::TaskStatus next{task.job,           agent.next_task++, revision_,
                                    TaskState::running, ExitCause::none,   false};
        agent.state.tasks.push_back(next);
        note_direct_start(index, next);
        if (machines_[index]->command_token(tokens()) < agent.state.fencing_token) ++counts_.refused_starts;
        agent.take_token(machines_[index]->command_token(tokens()), now_s);
        agent.changed = true;
      }
      record_assignments(index);
      deliver(index, now_s, true);
    }
  }

  jobs::Names names_;
  state::StateCache cache_;
  Fleet fleet_;
  std::unordered_map<core::JobId, JobFailures> job_failures_;
  std::vector<Machine*> machines_;
  std::vector<ModelAgent> agents_;
  std::vector<std::size_t> exited_;
  std::uint64_t revision_ = kPartitionToken;
  bool records_direct_starts_;
  Counts counts_;
};

class RaisedTokenLoad : public testing::TestWithParam<std::size_t> {};
// A raised token counts as a change at most once per half lease. Every machine has started tasks at the
// beginning, and the busy ones start more.
TEST_P(RaisedTokenLoad, AddsFewHeartbeatsAndRefusesNoStart) {
  const auto machines = GetParam();
  const auto before = Load(machines, false).run();
  const auto after = Load(machines, true).run();
  EXPECT_GT(after.raised_tokens, 0u);
  const auto busy_machines = (machines + kMachinesPerBusyOne - 1) / kMachinesPerBusyOne;
  const auto half_leases = static_cast<std::size_t>(kDurationS / (kLeaseS / 2)) + 1;
  const auto most_heartbeats = before.heartbeats + (machines - busy_machines) + busy_machines * half_leases;
  EXPECT_LE(after.heartbeats, most_heartbeats);
  EXPECT_EQ(after.task_ends, before.task_ends);
  EXPECT_EQ(after.ended_tasks_reported, before.ended_tasks_reported);
  EXPECT_EQ(after.unconfirmed_ends, 0u);
  EXPECT_EQ(after.refused_starts, 0u);
}
INSTANTIATE_TEST_SUITE_P(Machines, RaisedTokenLoad, testing::Values(400, 4000));

}  // namespace
}  // namespace finchrun::agent
