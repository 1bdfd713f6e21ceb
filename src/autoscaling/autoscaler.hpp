// The cloud: machine types, the lagging machine list, scale out for the backlog, scale in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "autoscaling/capacity_backoff.hpp"
#include "autoscaling/scale_in_plan.hpp"
#include "cloud/cloud.hpp"
#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "scheduling/backlog.hpp"

namespace finchrun::autoscaling {

namespace asio = boost::asio;

/// Rents machines for the backlog, and returns those that are idle, broken or silent. What to rent and to
/// return is decided in scale_out_plan and scale_in_plan; this carries it out.
class Autoscaler {
 public:
  Autoscaler(controller::Runtime& runtime, controller::SharedState& state, cloud::Cloud& cloud,
             const scheduling::Backlog& backlog)
      : runtime_(runtime), state_(state), cloud_(cloud), backlog_(backlog) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  /// One request to the cloud.
  struct Rental {
    MachineKind kind;
    int count = 0;
    /// Made once by this process, so that the cloud takes a repeated request for the same one.
    std::string request_id;
  };

  asio::awaitable<void> refresh_machine_types();
  asio::awaitable<void> refresh_machines();
  asio::awaitable<void> scale_in();
  asio::awaitable<void> scale_out();
  std::optional<Rental> next_rental(core::TimePoint now);
  void take_over_rented(const MachineKind& kind, const std::vector<std::string>& machines);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  cloud::Cloud& cloud_;
  const scheduling::Backlog& backlog_;
  CapacityBackoff backoff_;
  std::uint64_t scale_out_count_ = 0;
};

}  // namespace finchrun::autoscaling
