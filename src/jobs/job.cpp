#include "jobs/job.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace finchrun::jobs {
namespace {

std::uint64_t whole(const json::value& v) { return v.to_number<std::uint64_t>(); }

// Marks a standing job in its record, in the place of the expected run time. Earlier versions rewrite a
// record with the fields they know and drop all others, so a field of its own would be lost when one of them
// moves the job's ranges, and its replicas would be taken for tasks that end.
constexpr double kStandingMark = -1;

constexpr std::pair<Priority, const char*> kPriorities[] = {{Priority::idle, "idle"},
                                                            {Priority::normal, "normal"},
                                                            {Priority::high, "high"},
                                                            {Priority::prod, "prod"}};

}  // namespace

const char* name_of(Priority p) {
  for (const auto& [value, name] : kPriorities)
    if (value == p) return name;
  return "normal";
}

const char* name_of(Shape s) {
  switch (s) {
    case Shape::gang:
      return "gang";
    case Shape::standing:
      return "standing";
    default:
      return "array";
  }
}

std::optional<Priority> priority_from(std::string_view s) {
  for (const auto& [value, name] : kPriorities)
    if (s == name) return value;
  return std::nullopt;
}

json::value to_json(const JobRecord& r, const Names& names) {
  json::object o;
  const JobSpec& s = r.spec;
  if (r.status != Status::live) {
    // Tasks that are not certainly gone still take room on machines and of the team's limit.
    o["st"] = r.status == Status::done ? "done" : "cancelled";
    o["n"] = s.tasks;
    o["team"] = names.teams.name(s.team);
    o["need"] = json::array{s.need.cpus, s.need.gpus, s.need.ram_gb};
    return o;
  }
  o["st"] = "live";
  o["lane"] = names.job_classes.name(s.job_class);
  o["team"] = names.teams.name(s.team);
  o["gang"] = s.gang();
  o["pri"] = name_of(s.priority);
  o["n"] = s.tasks;
  o["need"] = json::array{s.need.cpus, s.need.gpus, s.need.ram_gb};
  o["img"] = names.images.name(s.image);
  o["gb"] = s.image_gb;
  if (s.types) {
    json::array types;
    for (auto t : *s.types) types.emplace_back(names.types.name(t));
    o["types"] = std::move(types);
  }
  if (s.zone) o["zone"] = names.zones.name(*s.zone);
  o["onez"] = s.one_zone;
  o["sprd"] = s.spread;
  o["spot"] = s.spot;
  o["exp"] = s.standing() ? kStandingMark : s.expected_run_s;
  o["ckpt"] = s.checkpoint_s;
  o["save"] = s.save_s;
  if (s.deadline_s) o["due"] = *s.deadline_s;
  o["at"] = s.submitted_s;
  json::array ranges;
  for (const auto& range : r.ranges)
    ranges.push_back(json::array{range.from, range.to, names.partitions.name(range.partition)});
  o["r"] = std::move(ranges);
  return o;
}

JobRecord job_from_json(const json::value& v, Names& names) {
  const auto& o = v.as_object();
  JobRecord r;
  const auto& status = o.at("st").as_string();
  JobSpec& s = r.spec;
  s.tasks = static_cast<std::uint32_t>(whole(o.at("n")));
  s.team = names.teams.intern(o.at("team").as_string());
  const auto& need = o.at("need").as_array();
  s.need = {need.at(0).to_number<double>(), need.at(1).to_number<double>(), need.at(2).to_number<double>()};
  if (status != "live") {
    r.status = status == "done" ? Status::done : Status::cancelled;
    return r;
  }
  s.job_class = names.job_classes.intern(o.at("lane").as_string());
  s.shape = o.at("gang").as_bool() ? Shape::gang : Shape::array;
  s.priority = priority_from(o.at("pri").as_string()).value();
  s.image = names.images.intern(o.at("img").as_string());
  s.image_gb = o.at("gb").to_number<double>();
  if (const auto* types = o.if_contains("types")) {
    s.types.emplace();
    for (const auto& t : types->as_array()) s.types->push_back(names.types.intern(t.as_string()));
  }
  if (const auto* zone = o.if_contains("zone")) s.zone = names.zones.intern(zone->as_string());
  s.one_zone = o.at("onez").as_bool();
  s.spread = o.at("sprd").as_bool();
  s.spot = o.at("spot").as_bool();
  s.expected_run_s = o.at("exp").to_number<double>();
  if (s.expected_run_s < 0) {
    s.shape = Shape::standing;
    s.expected_run_s = kNoEnd;
  }
  s.checkpoint_s = o.at("ckpt").to_number<double>();
  s.save_s = o.at("save").to_number<double>();
  if (const auto* due = o.if_contains("due")) s.deadline_s = due->to_number<double>();
  s.submitted_s = o.at("at").to_number<double>();
  for (const auto& item : o.at("r").as_array()) {
    const auto& a = item.as_array();
    auto partition = names.partitions.find(a.at(2).as_string());
    if (!partition) throw std::runtime_error("range of an unknown part");
    r.ranges.push_back(
        {static_cast<std::uint32_t>(whole(a.at(0))), static_cast<std::uint32_t>(whole(a.at(1))), *partition});
  }
  return r;
}

// Entries are grouped by attempt and machine: those of a large array then fit the service's limit on values.
json::value to_json(const JobAssignments& r, const Names& names) {
  std::map<std::uint64_t, std::map<std::pair<core::MachineId, std::uint64_t>, json::array>> groups;
  for (const auto& e : r.assignments) groups[e.attempt][{e.machine, e.agent_incarnation}].push_back(e.task);
  json::array assignments;
  for (auto& [attempt, machines] : groups) {
    json::array list;
    for (auto& [at, tasks] : machines)
      list.push_back(json::array{names.machines.name(at.first), at.second, std::move(tasks)});
    assignments.push_back(json::array{attempt, std::move(list)});
  }
  json::array done;
  for (const auto& [a, b] : r.done.spans()) done.push_back(json::array{a, b});
  return json::object{{"p", std::move(assignments)}, {"d", std::move(done)}};
}

JobAssignments assignments_from_json(const json::value& v, Names& names) {
  const auto& o = v.as_object();
  JobAssignments r;
  for (const auto& item : o.at("p").as_array()) {
    const auto& a = item.as_array();
    const auto attempt = whole(a.at(0));
    for (const auto& group : a.at(1).as_array()) {
      const auto& g = group.as_array();
      const auto machine = names.machines.intern(g.at(0).as_string());
      const auto agent_incarnation = whole(g.at(1));
      for (const auto& task : g.at(2).as_array())
        r.assignments.push_back(
            {static_cast<std::uint32_t>(whole(task)), attempt, machine, agent_incarnation});
    }
  }
  for (const auto& item : o.at("d").as_array()) {
    const auto& a = item.as_array();
    r.done.add(static_cast<std::uint32_t>(whole(a.at(0))), static_cast<std::uint32_t>(whole(a.at(1))));
  }
  return r;
}

std::size_t bytes_at_most(const JobAssignments& r, const Names& names) {
  // Of the record's text: [12345,12346], for what is done; ["name",1234,[12345]], for a machine's first task,
  // which leaves less than that behind when it ends; for each task more what it becomes then; [123456789,[]],
  // for an attempt.
  constexpr std::size_t kFrame = 48, kSpan = 14, kMachine = 20, kTaskMore = kSpan, kAttempt = 15;
  std::size_t bytes = kFrame + kSpan * r.done.spans().size();
  std::vector<std::pair<std::uint64_t, core::MachineId>> groups;
  groups.reserve(r.assignments.size());
  for (const auto& e : r.assignments) groups.emplace_back(e.attempt, e.machine);
  std::sort(groups.begin(), groups.end());
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (i == 0 || groups[i].first != groups[i - 1].first) bytes += kAttempt;
    const bool first = i == 0 || groups[i] != groups[i - 1];
    bytes += first ? kMachine + names.machines.name(groups[i].second).size() : kTaskMore;
  }
  return bytes;
}

}  // namespace finchrun::jobs
