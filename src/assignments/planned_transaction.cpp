#include "assignments/planned_transaction.hpp"

#include <algorithm>

namespace finchrun::assignments {

void PlannedTransaction::require_revision(const std::string& key, std::uint64_t revision) {
  if (std::none_of(compares.begin(), compares.end(), [&](const auto& compare) { return compare.key == key; }))
    compares.push_back({key, revision});
}

state::TransactionCost PlannedTransaction::compares_cost() const {
  state::TransactionCost cost;
  for (const auto& compare : compares) cost += state::compare_cost(compare.key);
  return cost;
}

}  // namespace finchrun::assignments
