// HTTP's status codes by name, as far as this program sends or expects them.
#pragma once

namespace finchrun::http::status {

/// Not of HTTP: no answer came, so the request might have been carried out, or might still be.
inline constexpr int kNoAnswer = 0;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;     ///< a job was accepted
inline constexpr int kBadRequest = 400;  ///< malformed; final
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;  ///< of an agent: the command was for an earlier incarnation
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;  ///< to an agent: another controller leads the partition
inline constexpr int kUnprocessable = 422;       ///< the job can never run; final
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;  ///< not carried out now, may be repeated

}  // namespace finchrun::http::status
