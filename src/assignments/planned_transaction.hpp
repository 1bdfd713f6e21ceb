// A planned transaction: its compares, its writes, and the actions that follow once it is durable.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent/fleet.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

/// One compare-and-swap transaction and the actions that follow it. The controller must not act on it before
/// the commit was answered with `done` (write-ahead).
struct PlannedTransaction {
  std::vector<state::Compare> compares;
  std::vector<state::Write> writes;
  /// Complete log lines, written once the transaction is durable, dropped if the commit fails.
  std::vector<std::string> log_lines;
  /// Task attempts to start once the transaction is durable, by machine.
  std::map<core::MachineId, std::vector<agent::TaskAttempt>> starts;

  /// Makes the transaction fail unless the key is at this revision (0: does not exist). Further calls for the
  /// same key have no effect, since all revisions come from the same snapshot.
  void require_revision(const std::string& key, std::uint64_t revision);
  /// Returns an upper bound of what the compares cost.
  [[nodiscard]] state::TransactionCost compares_cost() const;
};

}  // namespace finchrun::assignments
