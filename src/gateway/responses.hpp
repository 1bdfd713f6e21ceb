// Responses that say why a request was not carried out.
#pragma once

#include <optional>
#include <string_view>

#include "http/server.hpp"
#include "http/status.hpp"
#include "wire/messages.hpp"

namespace finchrun::gateway {

inline http::Response error_response(int status, std::string_view why,
                                     std::optional<int> retry_after_s = std::nullopt) {
  return {status, wire::render_error(why), retry_after_s};
}

/// 503 with Retry-After: the request was not carried out, and may be repeated.
inline http::Response retry_later(std::string_view why, int seconds = 1) {
  return error_response(http::status::kServiceUnavailable, why, seconds);
}

}  // namespace finchrun::gateway
