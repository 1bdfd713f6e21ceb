// Reads machine types and the machine list from the cloud; scales out for the backlog, and scales in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "autoscaling/capacity_backoff.hpp"
#include "autoscaling/scale_in_plan.hpp"
#include "cloud/cloud_client.hpp"
#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "scheduling/backlog.hpp"

namespace finchrun::autoscaling {

namespace asio = boost::asio;

/// Rents machines for the backlog, and releases machines that are idle, broken or silent. Carries out the
/// decisions of scale_out_plan and scale_in_plan.
class Autoscaler {
 public:
  Autoscaler(controller::Runtime& runtime, controller::SharedState& state, cloud::CloudClient& cloud,
             const scheduling::Backlog& backlog)
      : runtime_(runtime), state_(state), cloud_(cloud), backlog_(backlog) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  /// One scale-out request to the cloud.
  struct Rental {
    MachineKind kind;
    int count = 0;
    /// Unique, so that the cloud executes the request at most once.
    std::string request_id;
  };

  asio::awaitable<void> refresh_machine_types();
  /// Returns true if the cloud has answered with its list.
  asio::awaitable<bool> refresh_machines();
  /// `cloud_available`: the cloud has just answered another request.
  asio::awaitable<void> scale_in(bool cloud_available);
  asio::awaitable<void> scale_out();
  std::optional<Rental> next_rental(core::TimePoint now);
  void add_rented_machines(const MachineKind& kind, const std::vector<std::string>& machines);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  cloud::CloudClient& cloud_;
  const scheduling::Backlog& backlog_;
  CapacityBackoff backoff_;
  std::uint64_t scale_out_count_ = 0;
};

}  // namespace finchrun::autoscaling
