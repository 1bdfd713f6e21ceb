// Data types of requests to the key-value store and of its answers.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace finchrun::state {

namespace json = boost::json;

/// A condition of a transaction: the key's value was written at this revision.
struct Compare {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key does not exist
};

struct Write {
  std::string key;
  std::optional<json::value> value;  ///< nullopt: delete the key
  /// The store deletes the key when this lease expires.
  std::optional<std::uint64_t> store_lease = std::nullopt;
};

/// Compare-and-swap over several keys: if all conditions hold, all changes are applied, else none.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

/// What is known about a transaction after its commit. Only after `unknown` may it still be applied, at any
/// later time. After any other status but `done`, none of it is ever applied.
enum class CommitStatus {
  done,           ///< applied
  conflict,       ///< a condition failed, nothing applied
  lease_expired,  ///< the store lease has ended, nothing applied
  refused,        ///< not executed: over a rate limit, or the store is down
  too_large,      ///< not sent: a value or the transaction is over the service's limits
  malformed,      ///< not executed: the store rejected the request as invalid
  unknown,        ///< no answer: may be applied, now or later
};
/// The enumerator's name, for log lines.
const char* name_of(CommitStatus status);
/// Returns true if the same transaction will never be applied, however often it is sent.
bool is_permanent_refusal(CommitStatus status);

struct CommitResult {
  CommitStatus outcome = CommitStatus::unknown;
  std::uint64_t revision = 0;            ///< with `done`: of the changes; with `conflict`: of the store
  std::vector<std::string> failed_keys;  ///< with `conflict`: the keys whose condition failed
};

/// A key's value as of a revision.
struct KeyUpdate {
  std::string key;
  std::optional<json::value> value;  ///< nullopt: the key was deleted
  std::uint64_t revision = 0;        ///< of this write or deletion
};

}  // namespace finchrun::state
