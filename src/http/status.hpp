// The HTTP status codes that this program sends or expects.
#pragma once

namespace finchrun::http::status {

/// Not an HTTP status: no response arrived. The request may have been executed, or may still be executed.
inline constexpr int kNoAnswer = 0;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;     ///< a job was accepted
inline constexpr int kBadRequest = 400;  ///< malformed request; not retried
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;  ///< from an agent: the command was for an earlier incarnation
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;  ///< to an agent: another controller leads the partition
inline constexpr int kUnprocessable = 422;       ///< the job can never run; not retried
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;  ///< not executed; may be retried

}  // namespace finchrun::http::status
