// A job, what is durable about it, and the form in which the key-value store keeps that.
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

// The one place where names become dense indices.
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
  array,     // independent tasks, each runs to completion
  gang,      // all tasks run at the same time, or none does
  standing,  // replicas that run until the job is cancelled; one that ends runs again
};

// The expected run time of what has no end in sight.
inline constexpr double kNoEnd = std::numeric_limits<double>::infinity();

/// A machine of this type may be used. `types`: those that a job allows; nothing: any.
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
  std::optional<std::vector<core::MachineTypeId>> types;  // nothing: any
  std::optional<core::ZoneId> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double expected_run_s = 0;  // its user's estimate of a task's run time; `kNoEnd` for a service
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
  double submitted_s = 0;  // time of day

  [[nodiscard]] bool gang() const { return shape == Shape::gang; }
  [[nodiscard]] bool standing() const { return shape == Shape::standing; }
  // All of its tasks have to run at the same time to be of full use.
  [[nodiscard]] bool needs_all_tasks() const { return shape != Shape::array; }
  [[nodiscard]] bool allows_type(core::MachineTypeId t) const { return type_allowed(types, t); }
  // Grace to give when the task is stopped, so that it can save: none if it can't.
  [[nodiscard]] double stop_grace_s() const { return checkpoint_s > 0 ? save_s * 1.5 + 2 : 0; }
  // `spread`: most of the tasks that may be in one zone.
  [[nodiscard]] std::uint32_t zone_cap() const { return spread ? (tasks + 1) / 2 : tasks; }
};

enum class Status { live, done, cancelled };

// Tasks [from, to) belong to a partition; whoever owns the partition owns them.
struct Range {
  std::uint32_t from = 0, to = 0;
  core::PartitionId partition;
  bool operator==(const Range&) const = default;
};

// `jobs/<id>`
struct JobRecord {
  Status status = Status::live;
  JobSpec spec;               // once the job is over: only what display needs
  std::vector<Range> ranges;  // sorted; empty once the job is over
  std::uint64_t revision = 0;
};

// A task that may be on a machine: recorded before its start command leaves, removed only once it is
// certainly gone.
struct TaskAssignment {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  core::MachineId machine;
  std::uint64_t agent_incarnation = 0;
  bool operator==(const TaskAssignment&) const = default;
};

// What one shard of a partition's records, `runs/<part>/<shard>`, holds of a job; written by the partition's
// owner.
struct JobAssignments {
  std::vector<TaskAssignment> assignments;
  Intervals done;

  [[nodiscard]] bool empty() const { return assignments.empty() && done.spans().empty(); }
  bool operator==(const JobAssignments&) const = default;
};

json::value to_json(const JobRecord& r, const Names& names);
json::value to_json(const JobAssignments& r, const Names& names);
// Bytes that the record takes in its shard at most, however its tasks end.
std::size_t bytes_at_most(const JobAssignments& r, const Names& names);
// The same for one assignment more, on a machine that the record does not name yet.
inline constexpr std::size_t kAssignmentBytes = 48;
// These throw on records that make no sense: they are ours, so that is a bug or a newer version.
JobRecord job_from_json(const json::value& v, Names& names);
JobAssignments assignments_from_json(const json::value& v, Names& names);

const char* name_of(Priority p);
const char* name_of(Shape s);
std::optional<Priority> priority_from(std::string_view s);

}  // namespace finchrun::jobs
