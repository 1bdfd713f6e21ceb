// What is sent to the key-value store and what comes back from it, as plain values.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace finchrun::state {

namespace json = boost::json;

/// A condition of a transaction: the key's value is the one that was written at this revision.
struct Compare {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key does not exist
};

/// One change of a transaction.
struct Write {
  std::string key;
  std::optional<json::value> value;  ///< nothing: delete
  /// The store deletes the key when this lease ends.
  std::optional<std::uint64_t> store_lease = std::nullopt;
};

/// Compare-and-swap over several keys: if all conditions hold, all changes are applied, else none.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

/// What is certain about a transaction after its commit. Only after `unknown` may it still be applied, at any
/// later time; after all others but `done` nothing of it is or will be.
enum class CommitStatus {
  done,           ///< applied
  conflict,       ///< a condition failed, nothing applied
  lease_expired,  ///< the store lease has ended, nothing applied
  refused,        ///< not executed: over a rate limit, or an outage
  too_large,      ///< not sent: a value or the transaction is over the service's limits
  malformed,      ///< not executed: a mistake of ours
  unknown,        ///< no answer: might be applied, now or later
};
/// The enumerator's own name, for log lines.
const char* name_of(CommitStatus status);

struct CommitResult {
  CommitStatus outcome = CommitStatus::unknown;
  std::uint64_t revision = 0;       ///< with `done`: of the changes; with `conflict`: of the store
  std::vector<std::string> failed;  ///< with `conflict`: the keys whose condition failed
};

/// A key's value as of a revision.
struct KeyUpdate {
  std::string key;
  std::optional<json::value> value;  ///< nothing: the key was deleted
  std::uint64_t revision = 0;        ///< at which this value was written, or the key deleted
};

}  // namespace finchrun::state
