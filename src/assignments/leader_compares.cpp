#include "assignments/leader_compares.hpp"

namespace finchrun::assignments {

using controller::ControllerState;

void require_leadership(const ControllerState& state, core::PartitionId partition,
                        PlannedTransaction& transaction) {
  const auto& name = state.names.partitions.name(partition);
  transaction.require_revision(state::keys::leadership(name), state.fencing_token(partition));
  transaction.require_revision(state::keys::fence(name), state.cache.fence(partition));
}

state::TransactionCost leadership_cost(const ControllerState& state, core::PartitionId partition) {
  const auto& name = state.names.partitions.name(partition);
  return state::compare_cost(state::keys::leadership(name)) + state::compare_cost(state::keys::fence(name));
}

}  // namespace finchrun::assignments
