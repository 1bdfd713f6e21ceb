// The HTTP interface for users (submissions, queries, cancellations), and the load balancer's readiness
// check.
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

/// Answers users' requests about jobs. Every controller answers for every job. Answers are durable and
/// linearizable: each is based on a read of the key-value store that was sent after the request arrived, or
/// on a final job state, so no answer is older than an earlier answer of any controller (rule `forgotten`).
///
/// Status 503 means that nothing was decided and the request may be repeated. 400, 404 and 422 are final to
/// the user, so 404 and 422 are returned only after a linearizable read has shown that the job does not
/// exist.
class JobApi {
 public:
  JobApi(controller::SharedState& state, state::KeyValueStore& store, coordination::StateFollower& follower,
         coordination::PeerTable& peers, coordination::PeerService& peer_service)
      : state_(state), store_(store), follower_(follower), peers_(peers), peer_service_(peer_service) {}

  /// Accepts a job: 201. Idempotent: for a job that was accepted before, returns 200 with its state, whatever
  /// the other fields of the submission are. 400: malformed; 422: the job can never run; 503: not decided.
  asio::awaitable<http::Response> submit(std::string body);
  /// Returns the state of a job: 200, 404 or 503.
  asio::awaitable<http::Response> query(std::string id);
  /// Cancels a job by compare-and-swap on its record. Idempotent: for a finished or cancelled job, returns
  /// its state. After an answer of 200 no task of the job starts (rule `ran_cancelled`). 404: no such job;
  /// 503: not decided, and the job may or may not be cancelled.
  asio::awaitable<http::Response> cancel(std::string id);
  /// Returns true if the load balancer should send users to this controller.
  [[nodiscard]] bool is_ready();

 private:
  http::Response status_of(core::JobId id);
  bool job_exists(const std::string& job);
  bool is_store_unreachable();
  asio::awaitable<http::Response> commit_submission(std::string job, state::Transaction transaction);

  controller::SharedState& state_;
  state::KeyValueStore& store_;
  coordination::StateFollower& follower_;
  coordination::PeerTable& peers_;
  coordination::PeerService& peer_service_;
};

}  // namespace finchrun::gateway
