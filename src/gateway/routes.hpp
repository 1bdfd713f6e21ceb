// The paths of the interface, as typed routes.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace finchrun::gateway {

/// What can be asked of a controller over HTTP.
enum class Endpoint {
  heartbeat,  ///< POST /hello: of agents
  readiness,  ///< GET /up: of the load balancer
  submit,     ///< POST /submissions: of users
  query,      ///< GET /submissions/<job>
  cancel,     ///< POST /submissions/<job>/abort
};
struct Route {
  Endpoint endpoint;
  std::string job;  ///< of `query` and `cancel`
  bool operator==(const Route&) const = default;
};
enum class RouteError {
  no_such_path,
  method_not_allowed,
  no_such_job,  ///< what stands in the job's place can't be the id of any job
};

/// The route of a request. What follows a question mark in `target` is ignored.
std::variant<Route, RouteError> parse_route(std::string_view method, std::string_view target);

}  // namespace finchrun::gateway
