// The users' interface: submissions, queries, cancellations; and readiness for the load balancer.
#pragma once

#include <string>

#include "controller/controller_state.hpp"
#include "controller/runtime.hpp"
#include "coordination/peer_service.hpp"
#include "coordination/peer_table.hpp"
#include "coordination/state_follower.hpp"
#include "http/server.hpp"
#include "state/key_value_store.hpp"

namespace finchrun::gateway {

namespace asio = boost::asio;

/// Jobs, for their users. What is answered is durable and never older than any earlier answer.
class JobApi {
 public:
  JobApi(controller::SharedState& state, state::KeyValueStore& store, coordination::StateFollower& follower,
         coordination::PeerTable& peers, coordination::PeerService& peer_service)
      : state_(state), store_(store), follower_(follower), peers_(peers), peer_service_(peer_service) {}

  /// Accepts a job; idempotent: a job that is known already is answered with its state.
  asio::awaitable<http::Response> submit(std::string body);
  asio::awaitable<http::Response> query(std::string id);
  /// Cancels a job by compare-and-swap on its record; idempotent.
  asio::awaitable<http::Response> cancel(std::string id);
  /// Should the load balancer send users here?
  [[nodiscard]] bool ready();

 private:
  http::Response status_of(core::JobId id);
  bool out_of_touch_with_store();

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  coordination::PeerTable& peers_;
  coordination::PeerService& peer_service_;
};

}  // namespace finchrun::gateway
