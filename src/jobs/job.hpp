// Jobs, their durable records, and the format of these records in the key-value store.
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "jobs/intervals.hpp"

namespace finchrun::jobs {

namespace json = boost::json;

// Maps names to dense indices, for the whole process.
struct Names {
  core::Interner<core::TeamId> teams;
  core::Interner<core::ZoneId> zones;
  core::Interner<core::MachineTypeId> types;
  core::Interner<core::ImageId> images;
  core::Interner<core::JobClassId> job_classes;
  core::Interner<core::JobId> jobs;
  core::Interner<core::MachineId> machines;
  core::Interner<core::PartitionId> partitions;
};

enum class Priority { idle = 0, normal = 1, high = 2, prod = 3 };

enum class Shape {
  array,    // independent tasks, each of which runs to completion
  gang,     // all tasks run at the same time, or none does
  service,  // replicas that run until the job is cancelled; a replica that ends is restarted
};

// The expected run time of tasks that run until they are cancelled.
inline constexpr double kUnlimitedRunTimeS = std::numeric_limits<double>::infinity();

/// Returns true if a job may use machines of this type. `types`: the types that the job allows; nullopt: any.
inline bool type_allowed(const std::optional<std::vector<core::MachineTypeId>>& types,
                         core::MachineTypeId type) {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

struct JobSpec {
  core::JobClassId job_class;
  core::TeamId team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  core::Resources need;
  core::ImageId image;
  double image_gb = 0;
  std::optional<std::vector<core::MachineTypeId>> allowed_types;  // nullopt: any
  std::optional<core::ZoneId> zone;
  bool single_zone = false;
  bool spread = false;
  bool spot = false;
  double expected_run_s = 0;  // the user's estimate of a task's run time; `kUnlimitedRunTimeS` for a service
  double checkpoint_interval_s = 0;
  double checkpoint_save_s = 0;
  std::optional<double> deadline_s;  // after the submission
  double submitted_s = 0;            // seconds since 1970

  [[nodiscard]] bool is_gang() const { return shape == Shape::gang; }
  [[nodiscard]] bool is_service() const { return shape == Shape::service; }
  // Returns true if all tasks must run at the same time for the job to be fully useful.
  [[nodiscard]] bool needs_all_tasks() const { return shape != Shape::array; }
  [[nodiscard]] bool allows_type(core::MachineTypeId t) const { return type_allowed(allowed_types, t); }
  // Returns the grace period for a checkpoint when a task is stopped; 0 if the job has no checkpoints.
  [[nodiscard]] double stop_grace_s() const {
    return checkpoint_interval_s > 0 ? checkpoint_save_s * 1.5 + 2 : 0;
  }
  // Returns the maximum number of tasks in one zone; with `spread` half of all tasks, rounded up.
  [[nodiscard]] std::uint32_t max_tasks_per_zone() const { return spread ? (tasks + 1) / 2 : tasks; }
};

enum class Status { live, done, cancelled };

// Tasks [from, to) belong to the partition, and its leader schedules them.
struct TaskRange {
  std::uint32_t from = 0, to = 0;
  core::PartitionId partition;
  bool operator==(const TaskRange&) const = default;
};

// The record of a job, stored under `jobs/<id>`.
struct JobRecord {
  Status status = Status::live;
  JobSpec spec;                   // of a job that is not live: only the fields for status and quota
  std::vector<TaskRange> ranges;  // sorted; empty if the job is not live
  std::uint64_t revision = 0;
};

// A task that may be on a machine. Recorded before its start command is sent, and removed only once the task
// is certainly gone from the machine.
struct TaskAssignment {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  core::MachineId machine;
  std::uint64_t agent_incarnation = 0;
  bool operator==(const TaskAssignment&) const = default;
};

// The assignments and done tasks of one job in one shard of a partition's records, which is stored under
// `runs/<part>/<shard>` and written by the partition's leader.
struct JobAssignments {
  std::vector<TaskAssignment> assignments;
  Intervals done;

  [[nodiscard]] bool empty() const { return assignments.empty() && done.spans().empty(); }
  bool operator==(const JobAssignments&) const = default;
};

json::value to_json(const JobRecord& record, const Names& names);
json::value to_json(const JobAssignments& recorded, const Names& names);
// Returns an upper bound of the record's size in its shard, however its tasks end.
std::size_t max_stored_bytes(const JobAssignments& recorded, const Names& names);
// Upper bound of the size of one more assignment, on a machine that the record does not name yet.
inline constexpr std::size_t kMaxAssignmentBytes = 48;
// Both throw on an invalid record: only controllers write records, so the cause is a bug or a newer release.
JobRecord job_from_json(const json::value& value, Names& names);
JobAssignments assignments_from_json(const json::value& value, Names& names);

const char* name_of(Priority priority);
const char* name_of(Shape shape);
std::optional<Priority> priority_from(std::string_view text);

}  // namespace finchrun::jobs
