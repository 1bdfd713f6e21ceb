// Greedy placement within one partition: highest weight first; a gang only when all of its tasks fit.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "sched/rank.hpp"

namespace finchrun::sched {

struct Node {
  core::MachineId id;
  core::MachineTypeId type;
  core::ZoneId zone;
  bool spot = false;
  core::Resources size;
  core::Resources free;
  std::vector<core::ImageId> images;  // cached, or being fetched
  std::size_t fetching = 0;           // images that are being fetched now: they share the rate
  std::vector<core::JobId> replicas;  // standing jobs with a task here
  double fetch_gb_per_s = 1;
  std::vector<double> scarcity;  // by job class: how much the job class needs machines like this one
  core::JobId reserved_for;      // room is kept here for this job: others only while they end in time
  double reserved_in_s = 0;      // how long it will be until that job can start here
  double risk = 0;               // seconds that starting here is expected to cost more than elsewhere
};

struct Demand {
  core::JobId job;
  std::uint64_t job_revision = 0;  // of the record that it was made from
  core::TeamId team;
  core::ImageId image;
  double image_gb = 0;
  core::Resources need;
  int priority = 0;
  bool gang = false;
  bool standing = false;  // replicas without an end in sight
  bool spot = false;
  std::optional<std::vector<core::MachineTypeId>> types;
  std::optional<core::ZoneId> zone;
  std::uint32_t count = 0;           // waiting tasks in all
  std::vector<std::uint32_t> tasks;  // the first of them; for a gang all
  std::uint32_t room_in_zone = 0;    // how many more tasks this zone may take (`spread`)
  double waited_s = 0;
  double expected_run_s = 0;  // the leader's estimate of a task's run time
  core::JobClassId job_class;
  bool within = false;           // fits its team's guarantee together with the team's earlier unfinished jobs
  bool guaranteed = false;       // and has waited for longer than room needs to come free by itself
  bool deferrable = false;       // only its deadline counts, and that is still far
  bool has_reservation = false;  // room is being made or kept for it already
};

// What jobs of a job class look like lately, and how many of their tasks run or wait.
struct JobClassProfile {
  core::Resources need;
  bool spot = false;
  std::optional<std::vector<core::MachineTypeId>> types;
  double tasks = 0;
};

struct TeamQuota {
  core::Resources used;
  double cpus_max = 0, gpus_max = 0;  // 0: no limit
  [[nodiscard]] bool allows(const core::Resources& more) const {
    return (gpus_max <= 0 || used.gpus + more.gpus <= gpus_max + core::Resources::kSlack) &&
           (cpus_max <= 0 || used.cpus + more.cpus <= cpus_max + core::Resources::kSlack);
  }
};

struct Placement {
  std::size_t demand = 0;  // index into the demands
  std::uint32_t task = 0;
  core::MachineId machine;
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<std::size_t> unplaced;  // demands with tasks left, highest weight first
  std::vector<Node> nodes;            // with what is free after placing
  std::vector<TeamQuota> teams;
};

// How much each job class, by its id, would miss a machine of the node's type and kind: its tasks over the
// places that the fleet has for them. Filled into `Node::wanted`.
void mark_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes);

// May the demand start on a machine where room is kept? Its own does; another only if it will be over in
// time.
bool open_to(const Demand& d, const Node& n);

// True if the machine is of a type, zone and kind that the job allows.
bool allowed(const Demand& d, const Node& n);

Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamQuota> teams);

}  // namespace finchrun::sched
