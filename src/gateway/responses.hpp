// Builds error responses.
#pragma once

#include <optional>
#include <string_view>

#include "http/server.hpp"
#include "http/status.hpp"
#include "wire/messages.hpp"

namespace finchrun::gateway {

inline http::Response error_response(int status, std::string_view reason,
                                     std::optional<int> retry_after_s = std::nullopt) {
  return {status, wire::render_error(reason), retry_after_s};
}

/// Returns 503 with Retry-After: the request was not carried out and may be repeated.
inline http::Response retry_later(std::string_view reason, int retry_after_s = 1) {
  return error_response(http::status::kServiceUnavailable, reason, retry_after_s);
}

}  // namespace finchrun::gateway
