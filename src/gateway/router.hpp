// Requests by method and path, to the component that handles them.
#pragma once

#include "gateway/agent_gateway.hpp"
#include "gateway/job_api.hpp"

namespace finchrun::gateway {

/// The interface of users, agents and the load balancer's health checks.
class Router {
 public:
  Router(JobApi& jobs, AgentGateway& agents) : jobs_(jobs), agents_(agents) {}

  /// Answers a request; one that no component handles with 404 or 405.
  asio::awaitable<http::Response> handle(http::Request request);

 private:
  JobApi& jobs_;
  AgentGateway& agents_;
};

}  // namespace finchrun::gateway
