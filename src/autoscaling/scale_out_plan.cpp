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

/// A machine's room that nothing is placed on.
struct Room {
  core::PartitionId partition;
  core::MachineTypeId type;
  bool spot = false;
  core::Resources free;
};

/// The kind that costs least for a job.
struct Offer {
  MachineKind kind;
  int tasks_per_machine = 1;
  double price_per_task = 0;
};

/// A machine that has been starting for much longer than its type usually takes is not waited for any more:
/// machines are rented for the work elsewhere. If it comes up after all it is used, or given back when idle.
bool is_boot_overdue(const Machine& machine, const MachineType& type, core::TimePoint now) {
  constexpr double kBootsWaitedFor = 2;  // usual boots take up to 1.5 times the type's boot time
  const auto starting_since = machine.status == "starting" ? machine.starting_since : machine.first_seen;
  return core::seconds_between(starting_since, now) > kBootsWaitedFor * type.boot_s;
}

/// Orders kinds by their names joined with `|`: of several kinds that are needed equally, the first in this
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

/// One run over the backlog: what its first jobs take is gone for the later ones.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(const ControllerState& state, const CapacityBackoff& backoff, core::TimePoint now)
      : state_(state), backoff_(backoff), now_(now) {
    collect_quotas();
    collect_room();
    spot_work_exists_ = std::any_of(
        state.job_classes.begin(), state.job_classes.end(),
        [](const sched::JobClassProfile& job_class) { return job_class.spot && job_class.tasks >= 1; });
  }

  void add(const scheduling::BacklogItem& item) {
    const auto& demand = item.demand;
    const auto& zone = state_.names.zones.name(state_.partitions.zone(item.partition));
    auto& quota = quotas_[demand.team.index];
    auto waiting = demand.gang ? static_cast<std::uint32_t>(demand.tasks.size()) : demand.count;
    waiting -= fill_arriving_room(item, quota, waiting);
    const bool relieve = waiting > 0 && needs_on_demand_relief(demand, zone);
    if (relieve) waiting -= fill_spare_spot(item, waiting);
    if (waiting == 0 || !quota.allows(demand.need)) return;
    const auto offer = cheapest(demand, zone, demand.spot || relieve, waiting);
    if (!offer) return;
    std::uint32_t tasks = 0;
    for (; tasks < waiting && quota.allows(demand.need); ++tasks) quota.used += demand.need;
    needed_[offer->kind] += static_cast<double>(tasks) / offer->tasks_per_machine;
  }

  [[nodiscard]] std::vector<ScaleOutRequest> requests() const {
    std::vector<ScaleOutRequest> requests;
    for (const auto& [kind, machines] : needed_) requests.push_back({kind, machines});
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

  /// Room on machines that were rented and are starting, and on spot instances that are up or starting.
  void collect_room() {
    for (const auto& [id, machine] : state_.fleet.all()) {
      if (!machine.partition.valid() || !state_.leads(machine.partition)) continue;
      if (machine.terminating || machine.quarantined || machine.gone) continue;
      const auto* type = state_.fleet.machine_type(machine.type);
      if (!type) continue;
      Room room{machine.partition, machine.type, machine.spot, type->size};
      if (machine.has_heartbeat) {
        room.free -= state_.used_on(id);
      } else {
        if (is_boot_overdue(machine, *type, now_)) continue;
        arriving_.push_back(room);
      }
      if (machine.spot) spare_spot_.push_back(room);
    }
  }

  /// Room that is on its way meets the backlog first. Returns how many of the waiting tasks it takes.
  std::uint32_t fill_arriving_room(const scheduling::BacklogItem& item, sched::TeamQuota& quota,
                                   std::uint32_t waiting) {
    const auto& demand = item.demand;
    const auto takes = [&](const Room& room) {
      return room.partition == item.partition && demand.need.fits_in(room.free) && (!room.spot || demand.spot) &&
             jobs::type_allowed(demand.types, room.type);
    };
    std::uint32_t filled = 0;
    auto room = arriving_.begin();
    for (; filled < waiting && quota.allows(demand.need); ++filled) {
      room = std::find_if(room, arriving_.end(), takes);
      if (room == arriving_.end()) break;
      room->free -= demand.need;
      quota.used += demand.need;
    }
    return filled;
  }

  /// Where on-demand machines have run out, work that may use spot instances is given some, so that it leaves
  /// the on-demand ones to this job.
  [[nodiscard]] bool needs_on_demand_relief(const sched::Demand& demand, const std::string& zone) const {
    return !demand.spot && spot_work_exists_ && !on_demand_available(demand, zone);
  }

  /// Some on-demand kind that the job may use is not backed off.
  [[nodiscard]] bool on_demand_available(const sched::Demand& demand, const std::string& zone) const {
    for (std::size_t i = 0; i < state_.fleet.machine_types.size(); ++i) {
      const auto& type = state_.fleet.machine_types[i];
      if (!jobs::type_allowed(demand.types, state_.fleet.machine_type_ids[i]) || !offered_in(type, zone))
        continue;
      if (!demand.need.fits_in(type.size)) continue;
      if (!backoff_.backing_off({type.name, zone, false}, now_)) return true;
    }
    return false;
  }

  /// Spot room that is there or on its way counts as relief before any more is rented for it.
  std::uint32_t fill_spare_spot(const scheduling::BacklogItem& item, std::uint32_t waiting) {
    std::uint32_t filled = 0;
    for (auto& room : spare_spot_) {
      if (room.partition != item.partition) continue;
      for (; filled < waiting && item.demand.need.fits_in(room.free); ++filled) room.free -= item.demand.need;
    }
    return filled;
  }

  [[nodiscard]] std::optional<Offer> cheapest(const sched::Demand& demand, const std::string& zone,
                                              bool spot_too, std::uint32_t waiting) const {
    std::optional<Offer> best;
    for (std::size_t i = 0; i < state_.fleet.machine_types.size(); ++i) {
      const auto& type = state_.fleet.machine_types[i];
      if (!jobs::type_allowed(demand.types, state_.fleet.machine_type_ids[i]) || !offered_in(type, zone))
        continue;
      const int tasks_per_machine = demand.need.max_copies_in(type.size);
      if (tasks_per_machine < 1) continue;
      for (const bool spot : {false, true}) {
        if (spot && !spot_too) continue;
        Offer offer{{type.name, zone, spot}, tasks_per_machine, 0};
        if (backoff_.backing_off(offer.kind, now_)) continue;
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
  std::vector<sched::TeamQuota> quotas_;  // by team
  std::vector<Room> arriving_;            // rented, without a heartbeat yet
  std::vector<Room> spare_spot_;
  bool spot_work_exists_ = false;
  std::map<MachineKind, double, ByJoinedName> needed_;  // machines
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
  constexpr int kMostAtOnce = 50;  // the cloud's limit
  const int needed = static_cast<int>(std::ceil(machines));
  return std::min(kMostAtOnce, std::max(std::min(batch, needed), needed / 2));
}

}  // namespace finchrun::autoscaling
