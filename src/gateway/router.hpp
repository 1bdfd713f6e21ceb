// Dispatches HTTP requests to the component that handles them, by method and path.
#pragma once

#include "gateway/agent_gateway.hpp"
#include "gateway/job_api.hpp"

namespace finchrun::gateway {

/// The HTTP interface for users, agents, the load balancer's health checks and the operators' monitoring.
class Router {
 public:
  Router(controller::SharedState& state, JobApi& jobs, AgentGateway& agent_gateway)
      : state_(state), jobs_(jobs), agent_gateway_(agent_gateway) {}

  /// Answers a request, with 404 or 405 if no component handles it.
  asio::awaitable<http::Response> handle(http::Request request);

 private:
  http::Response metrics_page();

  controller::SharedState& state_;
  JobApi& jobs_;
  AgentGateway& agent_gateway_;
};

}  // namespace finchrun::gateway
