#include "state/transaction_limits.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace finchrun::state {
namespace {

// Bytes around a compare's key: {"k":,"stamp":18446744073709551615},
constexpr std::size_t kCompareBytes = 36;
// Around a write's key and value: {"set":,"data":,"hold":18446744073709551615},
constexpr std::size_t kWriteBytes = 45;

std::size_t quoted_bytes(const std::string& key) {
  return boost::json::serialize(boost::json::string(key)).size();
}

}  // namespace

TransactionCost& TransactionCost::operator+=(const TransactionCost& other) {
  writes += other.writes;
  compares += other.compares;
  bytes += other.bytes;
  largest_value_bytes = std::max(largest_value_bytes, other.largest_value_bytes);
  return *this;
}

TransactionCost operator+(TransactionCost left, const TransactionCost& right) { return left += right; }

TransactionCost compare_cost(const std::string& key) {
  return {.writes = 0, .compares = 1, .bytes = kCompareBytes + quoted_bytes(key), .largest_value_bytes = 0};
}

TransactionCost write_cost(const std::string& key, std::size_t value_bytes) {
  return {.writes = 1,
          .compares = 0,
          .bytes = kWriteBytes + quoted_bytes(key) + value_bytes,
          .largest_value_bytes = value_bytes};
}

const char* name_of(TransactionLimit limit) {
  switch (limit) {
    case TransactionLimit::writes:
      return "writes";
    case TransactionLimit::compares:
      return "compares";
    case TransactionLimit::bytes:
      return "bytes";
    case TransactionLimit::value_bytes:
      break;
  }
  return "value_bytes";
}

std::optional<LimitExcess> TransactionLimits::excess(const TransactionCost& cost) const {
  const LimitExcess checks[] = {
      {TransactionLimit::writes, cost.writes, limits_.max_writes()},
      {TransactionLimit::compares, cost.compares, limits_.max_compares()},
      {TransactionLimit::bytes, cost.bytes + kTransactionFrameBytes,
       config::StoreLimits::kMaxTransactionBytes},
      {TransactionLimit::value_bytes, cost.largest_value_bytes, limits_.enforced_value_bytes()},
  };
  const auto exceeded = std::find_if(std::begin(checks), std::end(checks),
                                     [](const LimitExcess& check) { return check.needed > check.allowed; });
  return exceeded == std::end(checks) ? std::nullopt : std::optional(*exceeded);
}

}  // namespace finchrun::state
