#include "autoscaling/scale_out_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace finchrun::autoscaling {
namespace {

using agent::Machine;
using cloud::MachineType;
using controller::ControllerState;

/// The unused capacity of a machine.
struct FreeCapacity {
  core::PartitionId partition;
  core::MachineTypeId type;
  bool spot = false;
  core::Resources free;
};

/// A kind of machine that the job may use, with its price.
struct Offer {
  MachineKind kind;
  int tasks_per_machine = 1;
  double price_per_task = 0;
};

/// Returns true if the machine has been starting for much longer than is usual for its type. Other machines
/// are then rented for the work. If it comes up after all, it is used, or released when idle.
bool is_boot_overdue(const Machine& machine, const MachineType& type, core::TimePoint now) {
  constexpr double kMaxBootTimeFactor = 2;  // normal boots take up to 1.5 times the type's boot time
  const auto starting_since = machine.status == "starting" ? machine.starting_since : machine.first_seen;
  return core::seconds_between(starting_since, now) > kMaxBootTimeFactor * type.boot_s;
}

/// Orders kinds by their names joined with `|`. Of several kinds that are needed equally, the first in this
/// order is rented first.
struct ByJoinedName {
  static std::string joined(const MachineKind& kind) {
    return kind.type + "|" + kind.zone + (kind.spot ? "|spot" : "|own");
  }
  bool operator()(const MachineKind& a, const MachineKind& b) const { return joined(a) < joined(b); }
};

bool offered_in(const MachineType& type, const std::string& zone) {
  return std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
}

/// One pass over the backlog. Earlier jobs use up capacity and quota before later ones.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(const ControllerState& state, const CapacityBackoff& backoff, core::TimePoint now)
      : state_(state), backoff_(backoff), now_(now) {
    collect_quotas();
    collect_capacity();
    spot_work_exists_ = std::any_of(state.job_class_profiles.begin(), state.job_class_profiles.end(),
                                    [](const sched::JobClassProfile& job_class) {
                                      return job_class.spot && job_class.active_tasks >= 1;
                                    });
  }

  void add(const scheduling::BacklogItem& item) {
    const auto& demand = item.demand;
    const auto& zone = state_.names.zones.name(state_.partitions.zone(item.partition));
    auto& quota = quotas_[demand.team.index];
    auto waiting = demand.gang ? static_cast<std::uint32_t>(demand.tasks.size()) : demand.count;
    waiting -= use_starting_capacity(item, quota, waiting);
    const bool needs_relief = waiting > 0 && needs_on_demand_relief(demand, zone);
    if (needs_relief) waiting -= use_spot_capacity(item, waiting);
    if (waiting == 0 || !quota.allows(demand.need)) return;
    const auto offer = cheapest_offer(demand, zone, demand.spot || needs_relief, waiting);
    if (!offer) return;
    std::uint32_t tasks = 0;
    for (; tasks < waiting && quota.allows(demand.need); ++tasks) quota.used += demand.need;
    needed_machines_[offer->kind] += static_cast<double>(tasks) / offer->tasks_per_machine;
  }

  [[nodiscard]] std::vector<ScaleOutRequest> requests() const {
    std::vector<ScaleOutRequest> requests;
    for (const auto& [kind, machines] : needed_machines_) requests.push_back({kind, machines});
    std::sort(requests.begin(), requests.end(),
              [](const ScaleOutRequest& a, const ScaleOutRequest& b) { return a.machines > b.machines; });
    return requests;
  }

 private:
  void collect_quotas() {
    const auto used = state_.used_by_team();
    for (std::size_t team = 0; team < used.size(); ++team) {
      const auto& limits = state_.settings.teams[team];
      quotas_.push_back({used[team], limits.cpus_max, limits.gpus_max});
    }
  }

  /// Collects the capacity of starting machines, and the free capacity of spot instances.
  void collect_capacity() {
    for (const auto& [id, machine] : state_.fleet.machines()) {
      if (!machine.partition.valid() || !state_.leads(machine.partition)) continue;
      if (machine.terminating || machine.quarantined || machine.deleted) continue;
      const auto* type = state_.fleet.machine_type(machine.type);
      if (!type) continue;
      FreeCapacity capacity{machine.partition, machine.type, machine.spot, type->size};
      if (machine.has_heartbeat) {
        capacity.free -= state_.allocated_on(id);
      } else {
        if (is_boot_overdue(machine, *type, now_)) continue;
        starting_capacity_.push_back(capacity);
      }
      if (machine.spot) spot_capacity_.push_back(capacity);
    }
  }

  /// Assigns waiting tasks to the capacity of starting machines. Returns the number of these tasks.
  std::uint32_t use_starting_capacity(const scheduling::BacklogItem& item, sched::TeamQuota& quota,
                                      std::uint32_t waiting) {
    const auto& demand = item.demand;
    const auto can_use = [&](const FreeCapacity& capacity) {
      return capacity.partition == item.partition && demand.need.fits_in(capacity.free) &&
             (!capacity.spot || demand.spot) && jobs::type_allowed(demand.allowed_types, capacity.type);
    };
    std::uint32_t filled = 0;
    auto capacity = starting_capacity_.begin();
    for (; filled < waiting && quota.allows(demand.need); ++filled) {
      capacity = std::find_if(capacity, starting_capacity_.end(), can_use);
      if (capacity == starting_capacity_.end()) break;
      capacity->free -= demand.need;
      quota.used += demand.need;
    }
    return filled;
  }

  /// Returns true if the job needs on-demand machines, and the zone has none left. Spot instances are then
  /// rented for other work that may use them, so that it frees on-demand machines for this job.
  [[nodiscard]] bool needs_on_demand_relief(const sched::Demand& demand, const std::string& zone) const {
    return !demand.spot && spot_work_exists_ && !on_demand_available(demand, zone);
  }

  /// Returns true if some on-demand kind that the job may use is not backed off.
  [[nodiscard]] bool on_demand_available(const sched::Demand& demand, const std::string& zone) const {
    for (std::size_t i = 0; i < state_.fleet.machine_types.size(); ++i) {
      const auto& type = state_.fleet.machine_types[i];
      if (!jobs::type_allowed(demand.allowed_types, state_.fleet.machine_type_ids[i]) ||
          !offered_in(type, zone))
        continue;
      if (!demand.need.fits_in(type.size)) continue;
      if (!backoff_.is_backed_off({type.name, zone, false}, now_)) return true;
    }
    return false;
  }

  /// Counts existing and starting spot capacity as relief before more is rented. Returns the number of
  /// waiting tasks that it covers.
  std::uint32_t use_spot_capacity(const scheduling::BacklogItem& item, std::uint32_t waiting) {
    std::uint32_t filled = 0;
    for (auto& capacity : spot_capacity_) {
      if (capacity.partition != item.partition) continue;
      for (; filled < waiting && item.demand.need.fits_in(capacity.free); ++filled)
        capacity.free -= item.demand.need;
    }
    return filled;
  }

  [[nodiscard]] std::optional<Offer> cheapest_offer(const sched::Demand& demand, const std::string& zone,
                                                    bool allow_spot, std::uint32_t waiting) const {
    std::optional<Offer> best;
    for (std::size_t i = 0; i < state_.fleet.machine_types.size(); ++i) {
      const auto& type = state_.fleet.machine_types[i];
      if (!jobs::type_allowed(demand.allowed_types, state_.fleet.machine_type_ids[i]) ||
          !offered_in(type, zone))
        continue;
      const int tasks_per_machine = demand.need.max_copies_in(type.size);
      if (tasks_per_machine < 1) continue;
      for (const bool spot : {false, true}) {
        if (spot && !allow_spot) continue;
        Offer offer{{type.name, zone, spot}, tasks_per_machine, 0};
        if (backoff_.is_backed_off(offer.kind, now_)) continue;
        offer.price_per_task =
            (spot ? type.spot_price : type.price) / std::min<double>(tasks_per_machine, waiting);
        if (!best || offer.price_per_task < best->price_per_task) best = std::move(offer);
      }
    }
    return best;
  }

  const ControllerState& state_;
  const CapacityBackoff& backoff_;
  core::TimePoint now_;
  std::vector<sched::TeamQuota> quotas_;         // by team
  std::vector<FreeCapacity> starting_capacity_;  // rented, without a heartbeat yet
  std::vector<FreeCapacity> spot_capacity_;
  bool spot_work_exists_ = false;
  std::map<MachineKind, double, ByJoinedName> needed_machines_;
};

}  // namespace

std::vector<ScaleOutRequest> plan_scale_out(const ControllerState& state, const scheduling::Backlog& backlog,
                                            const CapacityBackoff& backoff, core::TimePoint now) {
  if (state.fleet.machine_types.empty()) return {};  // not known yet
  ScaleOutPlanner planner(state, backoff, now);
  for (const auto& item : backlog)
    if (state.leads(item.partition)) planner.add(item);
  return planner.requests();
}

int machines_in_one_request(double machines, int batch) {
  constexpr int kMaxMachinesPerRequest = 50;  // the cloud's limit
  const int needed = static_cast<int>(std::ceil(machines));
  return std::min(kMaxMachinesPerRequest, std::max(std::min(batch, needed), needed / 2));
}

}  // namespace finchrun::autoscaling
