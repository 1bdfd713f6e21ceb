// The compares that make the transaction of a late or deposed leader fail.
#pragma once

#include "assignments/planned_transaction.hpp"
#include "controller/controller_state.hpp"

namespace finchrun::assignments {

/// Requires the partition's fencing token and fence to be those of the snapshot.
void require_leadership(const controller::ControllerState& state, core::PartitionId partition,
                        PlannedTransaction& transaction);
/// Returns an upper bound of what `require_leadership` adds.
state::TransactionCost leadership_cost(const controller::ControllerState& state, core::PartitionId partition);

}  // namespace finchrun::assignments
