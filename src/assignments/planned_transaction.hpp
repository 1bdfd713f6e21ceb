// A transaction in the making: what it compares, what it writes, and what may happen once it is durable.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent/fleet.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::assignments {

/// One compare-and-swap transaction, and what follows it. Nothing that it stands for may leave this
/// controller before its commit was answered with `done` (write-ahead).
struct PlannedTransaction {
  std::vector<state::Compare> compares;
  std::vector<state::Write> writes;
  /// Log lines, whole, for the moment at which the transaction is durable; dropped if it never is.
  std::vector<std::string> log;
  /// Task attempts whose start commands may leave once the transaction is durable, by machine.
  std::map<core::MachineId, std::vector<agent::TaskAttempt>> starts;

  /// Has the transaction fail unless the key is at this revision (0: does not exist). The first call for a
  /// key counts, further ones change nothing: all come from the same copy of the store.
  void require(const std::string& key, std::uint64_t revision);
};

}  // namespace finchrun::assignments
