/// Greedy placement (bin packing) within one partition, in the order of precedence and weight. A gang is
/// placed only if all of its tasks fit. Functions work on a snapshot and have no side effects.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "sched/rank.hpp"

namespace finchrun::sched {

/// The snapshot of a machine in a scheduling round.
struct Node {
  core::MachineId id;
  core::MachineTypeId type;
  core::ZoneId zone;
  bool spot = false;
  core::Resources size;                 // total resources
  core::Resources free;                 // size minus all tasks that may run on it
  std::vector<core::ImageId> images;    // cached or being fetched
  std::size_t fetches_in_progress = 0;  // image fetches that share the bandwidth
  std::vector<core::JobId> replicas;    // services with a replica on this machine
  double fetch_gb_per_s = 1;
  std::vector<double> scarcity;        // by job class, see `compute_scarcity`
  core::JobId reserved_for;            // the job with a reservation; other tasks must end before it starts
  double reservation_starts_in_s = 0;  // until that job is expected to start
  double start_delay_s = 0;            // expected additional start time on this machine
};

/// The waiting tasks of one job in one partition. All have the same requirements.
struct Demand {
  core::JobId job;
  std::uint64_t job_revision = 0;  // of the job record
  core::TeamId team;
  core::ImageId image;
  double image_gb = 0;
  core::Resources need;  // per task
  int priority = 0;      // a `jobs::Priority`
  bool gang = false;
  bool is_service = false;  // service replicas, which run without an end
  bool spot = false;        // may use spot instances
  std::optional<std::vector<core::MachineTypeId>> allowed_types;  // nullopt: any
  std::optional<core::ZoneId> zone;                               // nullopt: any
  std::uint32_t count = 0;                                        // number of waiting tasks
  std::vector<std::uint32_t> tasks;  // the first waiting tasks; all tasks of a gang
  std::uint32_t zone_headroom = 0;   // additional tasks that the zone may run (`spread`)
  double waited_s = 0;               // since submission
  double expected_run_s = 0;         // the user's estimate for one task
  core::JobClassId job_class;
  bool within_guarantee = false;     // fits in its team's guarantee with the team's earlier unfinished jobs
  bool may_claim_guarantee = false;  // is within the guarantee and has waited longer than the grace period
  bool deferrable = false;           // has a deadline that is still far away
  bool has_reservation = false;      // machines are already reserved or being freed for it

  /// Resources that must be free at once to start: those of one task, or of all tasks of a gang.
  [[nodiscard]] core::Resources need_to_start() const {
    return gang ? need * static_cast<double>(tasks.size()) : need;
  }
};

/// The typical requirements of a job class's recent jobs and its number of running or waiting tasks.
struct JobClassProfile {
  core::Resources need;
  bool spot = false;
  std::optional<std::vector<core::MachineTypeId>> allowed_types;
  double active_tasks = 0;  // running or waiting
};

/// The resource usage and limit of a team (rule `quota`).
struct TeamQuota {
  core::Resources used;
  double cpus_max = 0, gpus_max = 0;  // 0: no limit
  [[nodiscard]] bool allows(const core::Resources& more) const {
    return (gpus_max <= 0 || used.gpus + more.gpus <= gpus_max + core::Resources::kRoundingTolerance) &&
           (cpus_max <= 0 || used.cpus + more.cpus <= cpus_max + core::Resources::kRoundingTolerance);
  }
};

/// The placement of one task on a machine.
struct Placement {
  std::size_t demand = 0;  // index into the demands
  std::uint32_t task = 0;
  core::MachineId machine;
};

/// The result of `place`.
struct Plan {
  std::vector<Placement> placements;   // in the order of placing; contiguous for each demand
  std::vector<std::size_t> unplaced;   // demands with waiting tasks, in the order of placing
  std::vector<Node> nodes;             // with free resources after placing
  std::vector<TeamQuota> team_quotas;  // by team, with usage after placing
};

/// Fills in `Node::scarcity`: for each job class that can run on the node, the number of its tasks divided by
/// the number of its tasks that fit in the empty partition.
void compute_scarcity(std::vector<Node>& nodes, const std::vector<JobClassProfile>& job_classes);

/// Returns true if the node has the image or is fetching it.
bool has_or_fetches_image(const Node& node, core::ImageId image);

/// Returns the time to fetch the demand's image without concurrent fetches; 0 if the node has or fetches it.
double fetch_s(const Demand& demand, const Node& node);

/// Returns true if the demand may start despite the node's reservation: it is the reserving job, or its tasks
/// are expected to end before that job starts.
bool respects_reservation(const Demand& demand, const Node& node);

/// Returns true if the job allows the machine's type and zone, and spot instances if the machine is one (rule
/// `wrong_place`).
bool is_allowed_on(const Demand& demand, const Node& node);

/// Returns the primary sort key of the placing order; the weight orders demands of equal precedence.
int precedence(const Demand& demand);

/// Places as many tasks as fit. `costs` is indexed by demand, `quotas` by team. No team exceeds its quota,
/// and no gang is placed in part.
Plan place(std::vector<Node> nodes, const std::vector<Demand>& demands, const std::vector<Costs>& costs,
           std::vector<TeamQuota> quotas);

}  // namespace finchrun::sched
