#include "gateway/routes.hpp"

#include <optional>

#include "wire/messages.hpp"

namespace finchrun::gateway {

namespace {

constexpr std::string_view kHeartbeatPath = "/hello";
constexpr std::string_view kReadinessPath = "/up";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kJobPrefix = "/submissions/";
constexpr std::string_view kCancelSuffix = "/abort";

std::string_view method_of(Endpoint endpoint) {
  const bool reads =
      endpoint == Endpoint::readiness || endpoint == Endpoint::metrics || endpoint == Endpoint::query;
  return reads ? "GET" : "POST";
}

// Matches the path only, without checking the job id.
std::optional<Route> route_of(std::string_view path) {
  if (path == kHeartbeatPath) return Route{Endpoint::heartbeat, {}};
  if (path == kReadinessPath) return Route{Endpoint::readiness, {}};
  if (path == kMetricsPath) return Route{Endpoint::metrics, {}};
  if (path == kJobsPath) return Route{Endpoint::submit, {}};
  if (!path.starts_with(kJobPrefix)) return std::nullopt;
  auto job = path.substr(kJobPrefix.size());
  if (job.ends_with(kCancelSuffix)) {
    job.remove_suffix(kCancelSuffix.size());
    return Route{Endpoint::cancel, std::string(job)};
  }
  if (job.empty() || job.find('/') != std::string_view::npos) return std::nullopt;
  return Route{Endpoint::query, std::string(job)};
}

}  // namespace

std::variant<Route, RouteError> parse_route(std::string_view method, std::string_view target) {
  auto route = route_of(target.substr(0, target.find('?')));
  if (!route) return RouteError::no_such_path;
  if (method != method_of(route->endpoint)) return RouteError::method_not_allowed;
  const bool names_job = route->endpoint == Endpoint::query || route->endpoint == Endpoint::cancel;
  if (names_job && !wire::is_valid_job_id(route->job)) return RouteError::no_such_job;
  return std::move(*route);
}

}  // namespace finchrun::gateway
