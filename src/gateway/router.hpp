// Dispatches HTTP requests to the component that handles them, by method and path.
#pragma once

#include "gateway/agent_gateway.hpp"
#include "gateway/job_api.hpp"

namespace finchrun::gateway {

/// The HTTP interface for users, agents and the load balancer's health checks.
class Router {
 public:
  Router(JobApi& jobs, AgentGateway& agent_gateway) : jobs_(jobs), agent_gateway_(agent_gateway) {}

  /// Answers a request, with 404 or 405 if no component handles it.
  asio::awaitable<http::Response> handle(http::Request request);

 private:
  JobApi& jobs_;
  AgentGateway& agent_gateway_;
};

}  // namespace finchrun::gateway
