// Dispatches HTTP requests to the component that handles them, by method and path.
#pragma once

#include "gateway/agent_gateway.hpp"
#include "gateway/job_api.hpp"

namespace finchrun::gateway {

/// The HTTP interface for users, agents and the load balancer's health checks.
class Router {
 public:
  Router(JobApi& jobs, AgentGateway& agents) : jobs_(jobs), agents_(agents) {}

  /// Answers a request, with 404 or 405 if no component handles it.
  asio::awaitable<http::Response> handle(http::Request request);

 private:
  JobApi& jobs_;
  AgentGateway& agents_;
};

}  // namespace finchrun::gateway
