// What a transaction costs and what the key-value store allows. Planners and the store's client both ask
// here.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.hpp"

namespace finchrun::state {

/// Bytes of a request body around its compares and writes: {"when":[],"then":[]}
inline constexpr std::size_t kTransactionFrameBytes = 21;

/// The quantities of a transaction that the store limits.
struct TransactionCost {
  std::size_t writes = 0;
  std::size_t compares = 0;
  std::size_t bytes = 0;                ///< of the request body, without its frame
  std::size_t largest_value_bytes = 0;  ///< of the values that are written

  TransactionCost& operator+=(const TransactionCost& other);
};
TransactionCost operator+(TransactionCost left, const TransactionCost& right);

/// Upper bound of what one more compare costs.
TransactionCost compare_cost(const std::string& key);
/// Upper bound of what one more write costs. `value_bytes`: size of the serialized value.
TransactionCost write_cost(const std::string& key, std::size_t value_bytes);

/// The limits of one transaction.
enum class TransactionLimit { writes, compares, bytes, value_bytes };
/// The enumerator's name, for log lines.
const char* name_of(TransactionLimit limit);

/// A limit that a transaction exceeds.
struct LimitExcess {
  TransactionLimit limit = TransactionLimit::writes;
  std::size_t needed = 0;
  std::size_t allowed = 0;
};

/// The limits of one transaction, under the current settings and those announced. A transaction over one of
/// them is refused whole, however often it is sent.
class TransactionLimits {
 public:
  explicit TransactionLimits(const config::StoreLimits& limits) : limits_(limits) {}

  /// Returns the first limit that the cost exceeds; nullopt if the store accepts the transaction.
  [[nodiscard]] std::optional<LimitExcess> excess(const TransactionCost& cost) const;
  [[nodiscard]] bool allow(const TransactionCost& cost) const { return !excess(cost); }

 private:
  config::StoreLimits limits_;
};

}  // namespace finchrun::state
