#include "jobs/job.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace finchrun::jobs {
namespace {

std::uint64_t to_uint64(const json::value& value) { return value.to_number<std::uint64_t>(); }

// Marks a service in its record, in place of the expected run time. Earlier releases rewrite a record with
// the fields that they know. They would drop an additional field when they move the job's ranges, and
// replicas would then count as tasks that end.
constexpr double kServiceRunTimeMark = -1;

constexpr std::pair<Priority, const char*> kPriorities[] = {{Priority::idle, "idle"},
                                                            {Priority::normal, "normal"},
                                                            {Priority::high, "high"},
                                                            {Priority::prod, "prod"}};

}  // namespace

const char* name_of(Priority priority) {
  for (const auto& [value, name] : kPriorities)
    if (value == priority) return name;
  return "normal";
}

const char* name_of(Shape shape) {
  switch (shape) {
    case Shape::gang:
      return "gang";
    case Shape::service:
      return "standing";
    default:
      return "array";
  }
}

std::optional<Priority> priority_from(std::string_view text) {
  for (const auto& [value, name] : kPriorities)
    if (text == name) return value;
  return std::nullopt;
}

json::value to_json(const JobRecord& record, const Names& names) {
  json::object stored;
  const JobSpec& spec = record.spec;
  if (record.status != Status::live) {
    // The team and the need stay, since tasks that may still run use machines and the team's quota.
    stored["st"] = record.status == Status::done ? "done" : "cancelled";
    stored["n"] = spec.tasks;
    stored["team"] = names.teams.name(spec.team);
    stored["need"] = json::array{spec.need.cpus, spec.need.gpus, spec.need.ram_gb};
    return stored;
  }
  stored["st"] = "live";
  stored["lane"] = names.job_classes.name(spec.job_class);
  stored["team"] = names.teams.name(spec.team);
  stored["gang"] = spec.is_gang();
  stored["pri"] = name_of(spec.priority);
  stored["n"] = spec.tasks;
  stored["need"] = json::array{spec.need.cpus, spec.need.gpus, spec.need.ram_gb};
  stored["img"] = names.images.name(spec.image);
  stored["gb"] = spec.image_gb;
  if (spec.allowed_types) {
    json::array types;
    for (const auto type : *spec.allowed_types) types.emplace_back(names.types.name(type));
    stored["types"] = std::move(types);
  }
  if (spec.zone) stored["zone"] = names.zones.name(*spec.zone);
  stored["onez"] = spec.single_zone;
  stored["sprd"] = spec.spread;
  stored["spot"] = spec.spot;
  stored["exp"] = spec.is_service() ? kServiceRunTimeMark : spec.expected_run_s;
  stored["ckpt"] = spec.checkpoint_interval_s;
  stored["save"] = spec.checkpoint_save_s;
  if (spec.deadline_s) stored["due"] = *spec.deadline_s;
  stored["at"] = spec.submitted_s;
  json::array ranges;
  for (const auto& range : record.ranges)
    ranges.push_back(json::array{range.from, range.to, names.partitions.name(range.partition)});
  stored["r"] = std::move(ranges);
  return stored;
}

JobRecord job_from_json(const json::value& value, Names& names) {
  const auto& stored = value.as_object();
  JobRecord record;
  const auto& status = stored.at("st").as_string();
  JobSpec& spec = record.spec;
  spec.tasks = static_cast<std::uint32_t>(to_uint64(stored.at("n")));
  spec.team = names.teams.intern(stored.at("team").as_string());
  const auto& need = stored.at("need").as_array();
  spec.need = {need.at(0).to_number<double>(), need.at(1).to_number<double>(),
               need.at(2).to_number<double>()};
  if (status != "live") {
    record.status = status == "done" ? Status::done : Status::cancelled;
    return record;
  }
  spec.job_class = names.job_classes.intern(stored.at("lane").as_string());
  spec.shape = stored.at("gang").as_bool() ? Shape::gang : Shape::array;
  spec.priority = priority_from(stored.at("pri").as_string()).value();
  spec.image = names.images.intern(stored.at("img").as_string());
  spec.image_gb = stored.at("gb").to_number<double>();
  if (const auto* types = stored.if_contains("types")) {
    spec.allowed_types.emplace();
    for (const auto& type : types->as_array())
      spec.allowed_types->push_back(names.types.intern(type.as_string()));
  }
  if (const auto* zone = stored.if_contains("zone")) spec.zone = names.zones.intern(zone->as_string());
  spec.single_zone = stored.at("onez").as_bool();
  spec.spread = stored.at("sprd").as_bool();
  spec.spot = stored.at("spot").as_bool();
  spec.expected_run_s = stored.at("exp").to_number<double>();
  if (spec.expected_run_s < 0) {
    spec.shape = Shape::service;
    spec.expected_run_s = kUnlimitedRunTimeS;
  }
  spec.checkpoint_interval_s = stored.at("ckpt").to_number<double>();
  spec.checkpoint_save_s = stored.at("save").to_number<double>();
  if (const auto* due = stored.if_contains("due")) spec.deadline_s = due->to_number<double>();
  spec.submitted_s = stored.at("at").to_number<double>();
  for (const auto& item : stored.at("r").as_array()) {
    const auto& fields = item.as_array();
    const auto partition = names.partitions.find(fields.at(2).as_string());
    if (!partition) throw std::runtime_error("range of an unknown partition");
    record.ranges.push_back({static_cast<std::uint32_t>(to_uint64(fields.at(0))),
                             static_cast<std::uint32_t>(to_uint64(fields.at(1))), *partition});
  }
  return record;
}

// Groups assignments by attempt and machine, so that those of a large array fit into the store's value limit.
json::value to_json(const JobAssignments& recorded, const Names& names) {
  std::map<std::uint64_t, std::map<std::pair<core::MachineId, std::uint64_t>, json::array>> groups;
  for (const auto& assignment : recorded.assignments)
    groups[assignment.attempt][{assignment.machine, assignment.agent_incarnation}].push_back(assignment.task);
  json::array assignments;
  for (auto& [attempt, machines] : groups) {
    json::array list;
    for (auto& [at, tasks] : machines)
      list.push_back(json::array{names.machines.name(at.first), at.second, std::move(tasks)});
    assignments.push_back(json::array{attempt, std::move(list)});
  }
  json::array done;
  for (const auto& [from, to] : recorded.done.spans()) done.push_back(json::array{from, to});
  return json::object{{"p", std::move(assignments)}, {"d", std::move(done)}};
}

JobAssignments assignments_from_json(const json::value& value, Names& names) {
  const auto& stored = value.as_object();
  JobAssignments recorded;
  for (const auto& item : stored.at("p").as_array()) {
    const auto& fields = item.as_array();
    const auto attempt = to_uint64(fields.at(0));
    for (const auto& group : fields.at(1).as_array()) {
      const auto& group_fields = group.as_array();
      const auto machine = names.machines.intern(group_fields.at(0).as_string());
      const auto agent_incarnation = to_uint64(group_fields.at(1));
      for (const auto& task : group_fields.at(2).as_array())
        recorded.assignments.push_back(
            {static_cast<std::uint32_t>(to_uint64(task)), attempt, machine, agent_incarnation});
    }
  }
  for (const auto& item : stored.at("d").as_array()) {
    const auto& fields = item.as_array();
    recorded.done.add(static_cast<std::uint32_t>(to_uint64(fields.at(0))),
                      static_cast<std::uint32_t>(to_uint64(fields.at(1))));
  }
  return recorded;
}

std::size_t max_stored_bytes(const JobAssignments& recorded, const Names& names) {
  // Bytes in the stored text. Each span of done tasks: [12345,12346]. Each machine with its first task:
  // ["name",1234,[12345]], which is longer than the span that this task leaves when it ends. Each further
  // task: the span that it leaves. Each attempt: [123456789,[]].
  constexpr std::size_t kFrameBytes = 48, kSpanBytes = 14, kMachineBytes = 20,
                        kAdditionalTaskBytes = kSpanBytes, kAttemptBytes = 15;
  std::size_t bytes = kFrameBytes + kSpanBytes * recorded.done.spans().size();
  std::vector<std::pair<std::uint64_t, core::MachineId>> groups;
  groups.reserve(recorded.assignments.size());
  for (const auto& assignment : recorded.assignments)
    groups.emplace_back(assignment.attempt, assignment.machine);
  std::sort(groups.begin(), groups.end());
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (i == 0 || groups[i].first != groups[i - 1].first) bytes += kAttemptBytes;
    const bool first = i == 0 || groups[i] != groups[i - 1];
    bytes += first ? kMachineBytes + names.machines.name(groups[i].second).size() : kAdditionalTaskBytes;
  }
  return bytes;
}

}  // namespace finchrun::jobs
