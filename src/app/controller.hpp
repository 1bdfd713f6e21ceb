// Connects the components of one controller.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "autoscaling/autoscaler.hpp"
#include "coordination/leadership.hpp"
#include "coordination/membership.hpp"
#include "gateway/cancelled_task_stopper.hpp"
#include "gateway/router.hpp"
#include "scheduling/partition_writer.hpp"

namespace finchrun::app {

namespace asio = boost::asio;

/// One controller of a deployment: its components, in the order of their dependencies, and their loops.
class Controller {
 public:
  Controller(asio::io_context& io, http::Network& network, const config::Settings& settings,
             const config::Tuning& tuning, std::uint32_t seed,
             std::vector<std::unique_ptr<peer::Link>> links);
  /// Starts the loops; they run until the context ends.
  void start();
  /// Binds the address for users and agents and the one for other controllers. Throws if that fails.
  void listen();

  /// Handles a request of a user, an agent or a health check.
  asio::awaitable<http::Response> handle(http::Request request);
  /// Handles a frame from another controller and returns the response frame.
  asio::awaitable<std::string> handle_peer(std::string frame);

 private:
  const config::Settings settings_;
  const config::Tuning tuning_;
  controller::Runtime runtime_;
  controller::Wakeup writer_wakeup_;
  coordination::PeerTable peers_;
  state::KeyValueStore store_;
  cloud::CloudClient cloud_;
  controller::SharedState state_;
  coordination::StateFollower follower_;
  coordination::Membership membership_;
  coordination::Leadership leadership_;
  gateway::AgentCommands commands_;
  gateway::CancelledTaskStopper cancelled_task_stopper_;
  gateway::AgentGateway agent_gateway_;
  coordination::PeerService peer_service_;
  gateway::JobApi jobs_;
  gateway::Router router_;
  assignments::WriteFences write_fences_;
  assignments::PlacementRecorder placement_recorder_;
  assignments::ExitRecorder exit_recorder_;
  scheduling::Preemptor preemptor_;
  scheduling::QuotaSharing quota_sharing_;
  scheduling::SchedulingRound round_;
  scheduling::Rebalancer rebalancer_;
  scheduling::UsageRecorder usage_recorder_;
  scheduling::PartitionWriter partition_writer_;
  autoscaling::Autoscaler autoscaler_;
};

}  // namespace finchrun::app
