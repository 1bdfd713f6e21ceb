// Parses the HTTP interface's paths into typed routes.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace finchrun::gateway {

/// The operations of a controller's HTTP interface.
enum class Endpoint {
  heartbeat,  ///< POST /hello, from agents
  readiness,  ///< GET /up, from the load balancer
  metrics,    ///< GET /metrics, from the operators' monitoring
  submit,     ///< POST /submissions, from users
  query,      ///< GET /submissions/<job>
  cancel,     ///< POST /submissions/<job>/abort
};
struct Route {
  Endpoint endpoint;
  std::string job;  ///< only for `query` and `cancel`
  bool operator==(const Route&) const = default;
};
enum class RouteError {
  no_such_path,
  method_not_allowed,
  no_such_job,  ///< the path has an invalid job id
};

/// Returns the route of a request. Ignores the query part of `target`.
std::variant<Route, RouteError> parse_route(std::string_view method, std::string_view target);

}  // namespace finchrun::gateway
