#include "autoscaling/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <variant>

#include "autoscaling/machine_inventory.hpp"
#include "autoscaling/machine_release.hpp"
#include "autoscaling/scale_out_plan.hpp"

namespace finchrun::autoscaling {
namespace {

using controller::ControllerState;

constexpr double kMachineTypesIntervalS = 120;
constexpr double kMachineTypesRetryS = 0.5;  // while no types are known, and nothing can be rented
constexpr double kMachineListIntervalS = 2;  // minimum; the cloud's rate limit may require a longer one
constexpr double kScaleOutIntervalS = 1;
constexpr double kLoopIntervalS = 0.25;
constexpr double kNoCapacityBackoffS = 15;
constexpr double kFailedRequestBackoffS = 4;

}  // namespace

asio::awaitable<void> Autoscaler::run() {
  core::TimePoint next_list{}, next_machine_types{}, next_scale_out{};
  while (true) {
    const auto now = core::SteadyClock::now();
    if (now >= next_machine_types) {
      co_await refresh_machine_types();
      const bool known =
          state_.with([](ControllerState& state) { return !state.fleet.machine_types.empty(); });
      next_machine_types = now + runtime_.jitter(known ? kMachineTypesIntervalS : kMachineTypesRetryS);
    }
    if (now >= next_list) {
      next_list = now + runtime_.jitter(std::max(kMachineListIntervalS, cloud_.list_interval_s()));
      const bool cloud_available = co_await refresh_machines();
      co_await scale_in(cloud_available);
    }
    if (now >= next_scale_out) {
      next_scale_out = now + runtime_.jitter(kScaleOutIntervalS);
      co_await scale_out();
    }
    co_await runtime_.sleep(kLoopIntervalS);
  }
}

asio::awaitable<void> Autoscaler::refresh_machine_types() {
  auto answer = co_await cloud_.machine_types();
  auto* machine_types = std::get_if<std::vector<cloud::MachineType>>(&answer);
  if (!machine_types) co_return;
  state_.with([&](ControllerState& state) {
    state.fleet.machine_type_ids.clear();
    for (const auto& type : *machine_types)
      state.fleet.machine_type_ids.push_back(state.names.types.intern(type.name));
    state.fleet.machine_types = std::move(*machine_types);
  });
}

asio::awaitable<bool> Autoscaler::refresh_machines() {
  const auto answer = co_await cloud_.machines();
  const auto* list = std::get_if<cloud::MachineList>(&answer);
  if (!list) co_return false;
  const auto now = core::SteadyClock::now();
  state_.with([&](ControllerState& state) {
    apply_machine_list(state, *list, now);
    finish_missing_machines(state, *list, now);
  });
  co_return true;
}

asio::awaitable<void> Autoscaler::scale_in(bool cloud_available) {
  const auto now = core::SteadyClock::now();
  const auto decisions = state_.with([&](ControllerState& state) {
    if (!is_current(state, now)) return std::vector<ScaleInDecision>{};
    reconcile_recorded_machines(state, now);
    log_silent_recorded_machines(state, now);
    auto planned = plan_scale_in(state, now);
    begin_release(state, planned, now);
    return std::move(planned.request);
  });
  if (decisions.empty()) co_return;
  std::vector<std::string> names;
  for (const auto& decision : decisions) names.push_back(decision.name);
  const auto answer = co_await cloud_.release(names);
  state_.with([&](ControllerState& state) {
    for (const auto& decision : decisions) {
      if (const auto* error = std::get_if<cloud::Error>(&answer))
        fail_release(state, decision, *error, cloud_available);
      else
        finish_release(state, decision);
    }
    if (std::holds_alternative<cloud::Released>(answer)) forgive_refused_releases(state);
  });
}

std::optional<Autoscaler::Rental> Autoscaler::next_rental(core::TimePoint now) {
  return state_.with([&](ControllerState& state) -> std::optional<Rental> {
    auto requests = plan_scale_out(state, backlog_, backoff_, now);
    if (requests.empty()) return std::nullopt;
    auto& most_needed = requests.front();
    return Rental{
        std::move(most_needed.kind),
        machines_in_one_request(most_needed.machines, state.tuning.scale_out_batch),
        fmt::format("{}-{}-{}", state.settings.label, state.incarnation, ++scale_out_count_),
    };
  });
}

asio::awaitable<void> Autoscaler::scale_out() {
  const auto now = core::SteadyClock::now();
  const auto rental = next_rental(now);
  if (!rental) co_return;
  const auto& kind = rental->kind;
  const auto answer =
      co_await cloud_.scale_out(rental->request_id, kind.type, kind.zone, kind.spot, rental->count);
  const auto* rented = std::get_if<cloud::Rented>(&answer);
  const auto count = rented ? rented->machines.size() : 0;
  spdlog::info("scale out type={} zone={} spot={} requested={} rented={} request_id={}", kind.type, kind.zone,
               kind.spot, rental->count, count, rental->request_id);
  if (rented) {
    add_rented_machines(kind, rented->machines);
    if (count < static_cast<std::size_t>(rental->count))
      backoff_.back_off(kind, now + runtime_.jitter(kNoCapacityBackoffS));
  } else if (std::get<cloud::Error>(answer) == cloud::Error::no_capacity) {
    backoff_.back_off(kind, now + runtime_.jitter(kNoCapacityBackoffS));
  } else {
    // The machines may have been rented all the same; they would appear in the list. An immediate retry could
    // rent twice as many.
    backoff_.back_off(kind, now + runtime_.jitter(kFailedRequestBackoffS));
  }
}

void Autoscaler::add_rented_machines(const MachineKind& kind, const std::vector<std::string>& machines) {
  state_.with([&](ControllerState& state) {
    for (const auto& name : machines) {
      auto& machine = state.fleet.find_or_add(state.names, name, identity_of(state, name, kind));
      machine.status = "starting";
      machine.first_seen = machine.starting_since = core::SteadyClock::now();
    }
  });
}

}  // namespace finchrun::autoscaling
