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

/// Jobs, for their users. Every controller answers for every job. What is answered is durable, and
/// linearizable: no answer is older than an earlier one of any controller, since each rests on a read of the
/// key-value store that was sent after the request came, or on a final state, which can't change (rule
/// `forgotten`).
///
/// 503 says that nothing was decided and that the request may be repeated. 400, 404 and 422 are final to the
/// user, so 404 and 422 are given only after a linearizable read has shown that the job is not known.
class JobApi {
 public:
  JobApi(controller::SharedState& state, state::KeyValueStore& store, coordination::StateFollower& follower,
         coordination::PeerTable& peers, coordination::PeerService& peer_service)
      : state_(state), store_(store), follower_(follower), peers_(peers), peer_service_(peer_service) {}

  /// Accepts a job: 201. Idempotent: a job that is known already is answered with its state, 200, whatever
  /// else the submission says. 400: malformed; 422: it can never run; 503: not decided.
  asio::awaitable<http::Response> submit(std::string body);
  /// The state of a job: 200, 404 or 503.
  asio::awaitable<http::Response> query(std::string id);
  /// Cancels a job by compare-and-swap on its record; idempotent: one that is over is answered with its
  /// state. Once 200 was answered no task of the job starts (rule `ran_cancelled`). 404: no such job; 503:
  /// not decided, and the job might be cancelled all the same.
  asio::awaitable<http::Response> cancel(std::string id);
  /// Should the load balancer send users here?
  [[nodiscard]] bool ready();

 private:
  http::Response status_of(core::JobId id);
  bool knows(const std::string& job);
  bool out_of_touch_with_store();
  asio::awaitable<http::Response> commit_submission(std::string job, state::Transaction transaction);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  coordination::PeerTable& peers_;
  coordination::PeerService& peer_service_;
};

}  // namespace finchrun::gateway
