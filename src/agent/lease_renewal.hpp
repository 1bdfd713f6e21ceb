// The one place that decides whether an answer may renew an agent's lease although tasks of cancelled jobs
// may be on its machine, or may yet be started there.
#pragma once

#include <optional>
#include <vector>

#include "agent/heartbeat_handler.hpp"

namespace finchrun::agent {

/// Completes the answer to a heartbeat, outdated or not, so that it may renew the lease of its agent: a stop
/// for each attempt of a cancelled job that is not proved gone, before all other commands, and a fencing
/// token above the direct starts of these attempts. So no renewed lease outlives such a task by itself.
///
/// Where no such token is available, as in an outage of the key-value store, a start that is still on its way
/// may be executed for as long as the lease goes on. The lease is then renewed only until
/// `HeartbeatContext::renewal_window_s` after the time before which no user was told of the cancellation.
/// Returns the attempt for which the answer must not be sent; empty if it may be.
std::optional<TaskAttempt> complete_renewal(const HeartbeatContext& context, Machine& machine,
                                            const wire::Heartbeat& heartbeat,
                                            std::vector<wire::Command>& commands);

}  // namespace finchrun::agent
