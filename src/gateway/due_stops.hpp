// Which stops of cancelled jobs' tasks are due, decided from the state alone.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "controller/controller_state.hpp"

namespace finchrun::gateway {

/// Most machines to which stops are under way at the same time: each that does not answer holds a socket for
/// seconds.
inline constexpr std::size_t kMostStopsInFlight = 32;

/// Stops to send now, by machine.
using StopsByMachine = std::map<core::MachineId, std::vector<wire::Command>>;

/// The stops that are due: of each task of a cancelled job that may still be on a machine of ours, at once,
/// then again and again with growing pauses of 1 to 8 s. Those that are returned are noted as sent; those
/// that find `in_flight` machines too many are due again in the next round. `jitter` makes a pause of about
/// so many seconds.
StopsByMachine take_due_stops(controller::ControllerState& state, std::size_t in_flight, core::TimePoint now,
                              const std::function<core::SteadyClock::duration(double)>& jitter);

}  // namespace finchrun::gateway
