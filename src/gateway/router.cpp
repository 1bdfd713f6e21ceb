#include "gateway/router.hpp"

#include "gateway/cancellation_progress.hpp"
#include "gateway/responses.hpp"
#include "gateway/routes.hpp"
#include "metrics/metrics.hpp"

namespace finchrun::gateway {

namespace {

http::Response response_to(RouteError error) {
  switch (error) {
    case RouteError::method_not_allowed:
      return error_response(http::status::kMethodNotAllowed, "method not allowed");
    case RouteError::no_such_job:
      return error_response(http::status::kNotFound, "no such job");
    case RouteError::no_such_path:
      break;
  }
  return error_response(http::status::kNotFound, "no such path");
}

}  // namespace

asio::awaitable<http::Response> Router::handle(http::Request request) {
  const auto parsed = parse_route(request.method, request.target);
  if (const auto* error = std::get_if<RouteError>(&parsed)) co_return response_to(*error);
  const auto& route = std::get<Route>(parsed);
  switch (route.endpoint) {
    case Endpoint::heartbeat:
      co_return co_await agent_gateway_.handle_request(std::move(request.body));
    case Endpoint::readiness:
      if (!jobs_.is_ready()) co_return retry_later("no news from the state service");
      co_return http::Response{http::status::kOk, "{}"};
    case Endpoint::metrics:
      co_return metrics_page();
    case Endpoint::submit:
      co_return co_await jobs_.submit(std::move(request.body));
    case Endpoint::query:
      co_return co_await jobs_.query(route.job);
    case Endpoint::cancel:
      co_return co_await jobs_.cancel(route.job);
  }
  co_return response_to(RouteError::no_such_path);
}

http::Response Router::metrics_page() {
  state_.with([](const controller::ControllerState& state) {
    const auto now = core::SteadyClock::now();
    metrics::set_state(state.cache.revision(), core::seconds_between(state.synchronized_at, now));
    const auto lingering = lingering_tasks(state, now);
    metrics::set_cancellations(static_cast<double>(lingering.tasks), lingering.oldest_s,
                               core::seconds_between(state.cancellations_known_at(now), now));
    for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
      const core::PartitionId partition{index};
      metrics::set_fencing_token(state.names.partitions.name(partition),
                                 state.leads(partition) ? state.fencing_token(partition) : 0);
    }
  });
  http::Response page{http::status::kOk, metrics::render()};
  page.content_type = metrics::kContentType;
  return page;
}

}  // namespace finchrun::gateway
