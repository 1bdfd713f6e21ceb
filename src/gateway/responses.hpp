// The HTTP status codes of the interfaces, and responses that say why a request was not carried out.
#pragma once

#include <optional>
#include <string_view>

#include "http/server.hpp"
#include "wire/messages.hpp"

namespace finchrun::gateway {

/// The HTTP status codes that the interfaces of users and agents use.
namespace http_status {
inline constexpr int kNoAnswer = 0;      ///< of `http::Answer`: nothing came back
inline constexpr int kOk = 200;          ///< carried out
inline constexpr int kCreated = 201;     ///< a job was accepted
inline constexpr int kBadRequest = 400;  ///< malformed; final
inline constexpr int kNotFound = 404;    ///< no such job, proved by a linearizable read; or no such path
inline constexpr int kMethodNotAllowed = 405;    ///< a known path under another method
inline constexpr int kConflict = 409;            ///< of an agent: the command was for an earlier incarnation
inline constexpr int kMisdirected = 421;         ///< to an agent: another controller leads the partition
inline constexpr int kUnprocessable = 422;       ///< the job can never run; final
inline constexpr int kServiceUnavailable = 503;  ///< not carried out now, may be repeated
}  // namespace http_status

inline http::Response error_response(int status, std::string_view why,
                                     std::optional<int> retry_after_s = std::nullopt) {
  return {status, wire::render_error(why), retry_after_s};
}

/// 503 with Retry-After: the request was not carried out, and may be repeated.
inline http::Response retry_later(std::string_view why, int seconds = 1) {
  return error_response(http_status::kServiceUnavailable, why, seconds);
}

}  // namespace finchrun::gateway
