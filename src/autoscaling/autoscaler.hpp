// The cloud: machine types, the lagging machine list, scale out for the backlog, scale in.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cloud/cloud.hpp"
#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "scheduling/backlog.hpp"

namespace finchrun::autoscaling {

namespace asio = boost::asio;

// What one kind of machine is wanted for.
struct ScaleOutRequest {
  std::string type, zone;
  bool spot = false;
  double machines = 0;
  std::string slot;
};

/// Rents machines for the backlog, and returns those that are idle, broken or silent.
class Autoscaler {
 public:
  Autoscaler(controller::Runtime& runtime, controller::SharedState& state, cloud::Cloud& cloud,
             const scheduling::Backlog& backlog)
      : runtime_(runtime), state_(state), cloud_(cloud), backlog_(backlog) {}

  /// Runs until the process ends.
  asio::awaitable<void> run();

 private:
  asio::awaitable<void> refresh_machine_types();
  asio::awaitable<void> refresh_machines();
  asio::awaitable<void> scale_in();
  asio::awaitable<void> scale_out();
  std::vector<ScaleOutRequest> plan_scale_out(controller::ControllerState& w, core::TimePoint now);

  controller::Runtime& runtime_;
  controller::SharedState& state_;
  cloud::Cloud& cloud_;
  const scheduling::Backlog& backlog_;
  std::map<std::string, core::TimePoint> no_capacity_until_;
  std::uint64_t scale_out_count_ = 0;
};

}  // namespace finchrun::autoscaling
