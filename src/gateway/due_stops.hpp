// Selects the stop commands for tasks of cancelled jobs that are due. Does no I/O.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "controller/controller_state.hpp"

namespace finchrun::gateway {

/// Maximum number of machines with stop commands in flight: each one that does not answer holds a socket for
/// seconds.
inline constexpr std::size_t kMaxStopsInFlight = 32;

/// Stop commands to send now, by machine.
using StopsByMachine = std::map<core::MachineId, std::vector<wire::Command>>;

/// Returns the stop commands that are due, for each task of a cancelled job that may still be on a machine of
/// a partition led here: the first at once, later ones with a backoff of 1 to 8 s. Returned commands are
/// noted as sent; those above the limit, with `in_flight` machines counted, stay due. `jitter` returns a
/// random duration around the given number of seconds.
StopsByMachine take_due_stops(controller::ControllerState& state, std::size_t in_flight, core::TimePoint now,
                              const std::function<core::SteadyClock::duration(double)>& jitter);

}  // namespace finchrun::gateway
