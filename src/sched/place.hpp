/// Greedy placement (bin packing) within one partition: the highest precedence and weight first; a gang only
/// when all of its tasks fit. Pure: everything here works on a snapshot.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "sched/rank.hpp"

namespace finchrun::sched {

/// A machine as a round sees it.
struct Node {
  core::MachineId id;
  core::MachineTypeId type;
  core::ZoneId zone;
  bool spot = false;
  core::Resources size;               // of the whole machine
  core::Resources free;               // size less what may run on it
  std::vector<core::ImageId> images;  // cached, or being fetched
  std::size_t fetching = 0;           // images that are being fetched now: they share the rate
  std::vector<core::JobId> replicas;  // services with a replica here
  double fetch_gb_per_s = 1;
  std::vector<double> scarcity;  // by job class: its tasks over the places for them, see `mark_scarcity`
  core::JobId reserved_for;      // reservation of this job: others only while they end in time
  double reserved_in_s = 0;      // how long it will be until that job can start here
  double risk_s = 0;             // how much longer a task is expected to take to start here than elsewhere
};

/// The waiting tasks of one job in one partition. They are all alike.
struct Demand {
  core::JobId job;
  std::uint64_t job_revision = 0;  // of the record that it was made from
  core::TeamId team;
  core::ImageId image;
  double image_gb = 0;
  core::Resources need;  // of one task
  int priority = 0;      // a `jobs::Priority`
  bool gang = false;
  bool standing = false;                                  // replicas of a service, without an end in sight
  bool spot = false;                                      // may use spot machines
  std::optional<std::vector<core::MachineTypeId>> types;  // nothing: any
  std::optional<core::ZoneId> zone;                       // nothing: any
  std::uint32_t count = 0;                                // waiting tasks in all
  std::vector<std::uint32_t> tasks;                       // the first of them; for a gang all
  std::uint32_t room_in_zone = 0;                         // how many more tasks this zone may take (`spread`)
  double waited_s = 0;                                    // since the job was submitted
  double expected_run_s = 0;                              // the user's estimate of a task's run time
  core::JobClassId job_class;
  bool within = false;           // fits its team's guarantee together with the team's earlier unfinished jobs
  bool guaranteed = false;       // `within`, and has waited for longer than room needs to come free by itself
  bool deferrable = false;       // only its deadline counts, and that is still far
  bool has_reservation = false;  // room is being made or kept for it already

  /// What has to be free at the same time for it to start: one task; of a gang all.
  [[nodiscard]] core::Resources need_at_once() const {
    return gang ? need * static_cast<double>(tasks.size()) : need;
  }
};

/// What jobs of a job class look like lately, and how many of their tasks run or wait.
struct JobClassProfile {
  core::Resources need;
  bool spot = false;
  std::optional<std::vector<core::MachineTypeId>> types;
  double tasks = 0;
};

/// What a team uses, and how much it may use at most (rule `quota`).
struct TeamQuota {
  core::Resources used;
  double cpus_max = 0, gpus_max = 0;  // 0: no limit
  [[nodiscard]] bool allows(const core::Resources& more) const {
    return (gpus_max <= 0 || used.gpus + more.gpus <= gpus_max + core::Resources::kRoundingTolerance) &&
           (cpus_max <= 0 || used.cpus + more.cpus <= cpus_max + core::Resources::kRoundingTolerance);
  }
};

struct Placement {
  std::size_t demand = 0;  // index into the demands
  std::uint32_t task = 0;
  core::MachineId machine;
};

/// What `place` decides.
struct Plan {
  std::vector<Placement> placements;  // in the order of placing; those of one demand follow each other
  std::vector<std::size_t> unplaced;  // demands with tasks left, in the order of placing
  std::vector<Node> nodes;            // with what is free after placing
  std::vector<TeamQuota> teams;       // with what is used after placing
};

/// How much each job class, by its id, would miss a machine of the node's type and kind: its tasks over the
/// places that the partition has for them. Filled into `Node::scarcity`.
void mark_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes);

/// True if the node has the image, or is fetching it.
bool holds(const Node& node, core::ImageId image);

/// How long the node takes to fetch the demand's image if it fetches nothing else; 0 if it holds it.
double fetch_s(const Demand& demand, const Node& node);

/// May the demand start on a machine where room is reserved? The reservation's job does; another only if it
/// will be over in time.
bool open_to(const Demand& demand, const Node& node);

/// True if the machine is of a type, zone and kind that the job allows (rule `wrong_place`).
bool allowed(const Demand& demand, const Node& node);

/// What goes before the weight in the order of placing: a higher class is placed first whatever it costs.
int precedence(const Demand& demand);

/// Places as many tasks as fit. `costs`: by demand; `quotas`: by team. Books no team beyond its quota and
/// starts no gang in part.
Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamQuota> quotas);

}  // namespace finchrun::sched
