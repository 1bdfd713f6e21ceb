// The key-value store's protocol: how requests are written and what answers mean. The client
// (state/key_value_store.hpp) sends and receives; nothing here does, nor does anything here keep state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/settings.hpp"
#include "http/status.hpp"
#include "http/transport.hpp"
#include "state/transaction.hpp"

namespace finchrun::state {

/// Why a request to the key-value store has no result.
enum class StoreError {
  refused,           ///< not executed: over a rate limit (ours or the service's), or the service is out
  no_answer,         ///< none in time: what was asked for may have been done, or still be
  revision_too_old,  ///< the changes since then are no longer kept: everything has to be read anew
  malformed_answer,  ///< not an answer of this protocol
};
/// The enumerator's own name, for log lines.
const char* name_of(StoreError error);

template <class T>
using Result = std::variant<T, StoreError>;

/// Every change since the revision that was asked from, in the order of the store.
struct Changes {
  std::uint64_t revision = 0;  ///< up to which these are all
  std::vector<KeyUpdate> events;
};

/// One page of all keys with their values, in the order of the keys.
struct ListPage {
  bool more = false;
  std::uint64_t revision = 0;  ///< of the store when this page was read; the next page may show a later one
  std::vector<KeyUpdate> items;
};

/// Whether a store lease goes on.
enum class LeaseRenewal {
  renewed,
  expired,  ///< certain: the store has deleted the keys that were attached to it
  unknown,  ///< no answer, or refused: it goes on until its time is over
};

/// The body of a transaction, and what of it the service would refuse for its size.
struct CommitBody {
  std::string text;
  std::string oversized_key;  ///< of a value over the limit; empty: there is none
  std::size_t oversized_bytes = 0;
};
CommitBody commit_body(const Transaction& transaction, const config::StoreLimits& limits);
/// Of a request for a store lease that ends this long after its last renewal.
std::string lease_body(int ttl_ms);
std::string changes_target(std::uint64_t from);
/// The first page if `after` is empty, else the one after that key.
std::string list_target(const std::string& after, int limit);
std::string renewal_target(std::uint64_t store_lease);

/// An answer that does not parse is as good as none: the outcome is unknown.
CommitResult commit_result(const http::ClientResponse& answer);
Result<Changes> changes_result(const http::ClientResponse& answer);
Result<ListPage> list_result(const http::ClientResponse& answer);
/// The number of the store lease.
Result<std::uint64_t> lease_result(const http::ClientResponse& answer);
LeaseRenewal renewal_result(const http::ClientResponse& answer);

}  // namespace finchrun::state
