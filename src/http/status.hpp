// HTTP's status codes by name, as far as this program sends or expects them.
#pragma once

namespace finchrun::http::status {

/// Not of HTTP: no answer came, so the request might have been carried out, or might still be.
inline constexpr int kNoAnswer = 0;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace finchrun::http::status
