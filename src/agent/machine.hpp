// The state of one machine, as known to this controller.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/direct_starts.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"

namespace finchrun::agent {

/// What never changes about a machine. Every source that names a machine of a partition knows it; only
/// records name no type.
struct MachineIdentity {
  core::MachineTypeId type;  ///< not valid: not known yet
  core::ZoneId zone;
  core::PartitionId partition;  ///< not valid: outside the deployment's zones
  bool spot = false;
};

/// The fencing tokens that the leader of a partition may use for its agents.
struct FencingTokens {
  std::uint64_t of_partition = 0;  ///< the revision of the leadership record
  /// Any token up to this one is above those of earlier leaders and below those of later ones
  /// (docs/design.md "Why the rules hold", 4).
  std::uint64_t highest_available = 0;
};

/// One machine, as shown by the cloud's list, its agent's heartbeats and the answers to direct commands. This
/// state is not durable; a new leader rebuilds it from the list and the heartbeats.
struct Machine : MachineIdentity {
  // --- Identity: from the source that names the machine first.
  core::MachineId id;
  std::string name;
  std::string endpoint;          ///< address of the agent, for direct commands; empty: unknown
  core::TimePoint first_seen{};  ///< by this process

  // --- The cloud's list, which lags behind.
  bool listed = false;               ///< in the newest list
  bool ever_listed = false;          ///< in any list that this process has read
  std::string status;                ///< the cloud's value: starting, running or failed
  core::TimePoint starting_since{};  ///< according to the cloud

  // --- The newest heartbeat (docs/design.md "Why the rules hold", 4).
  bool has_heartbeat = false;                  ///< the fields below are set, and the machine is not deleted
  std::uint64_t agent_incarnation = 0;         ///< a new one starts when the agent's lease has expired
  std::uint64_t sequence = 0;                  ///< of the heartbeat, within the incarnation
  std::uint64_t fencing_token = 0;             ///< the highest that the agent had seen
  core::TimePoint last_heartbeat{};            ///< excludes the answers to direct commands
  core::TimePoint last_message{};              ///< the newest heartbeat or answer to a direct command
  core::TimePoint last_direct_answer{};        ///< the newest answer to a direct command
  std::optional<double> termination_notice_s;  ///< time until the cloud terminates the spot instance
  /// This controller relayed the machine's last heartbeat to the leader without a redirect, since the agent
  /// seemed unable to reach the leader.
  bool relayed_without_redirect = false;

  // --- Commands.
  /// The highest fencing token above the partition's own that this controller has used for the agent; 0:
  /// none. Read it through `command_token`.
  std::uint64_t raised_token = 0;
  DirectStarts direct_starts;
  /// The agent's newest message shows ends of assigned tasks whose starts it could still execute, if it lost
  /// its tasks. They count once a message shows that it obeys a higher fencing token, which a probe brings.
  bool has_unconfirmed_ends = false;

  bool renewal_refused = false;  ///< its last heartbeat was not answered, because of a cancelled task

  // --- Whether messages of this controller reach the agent.
  /// Time of the last probe. Probes go to agents that don't know this controller's fencing token or may be
  /// unreachable.
  core::TimePoint last_probe{};
  /// Set when a direct command got no answer, and cleared by the next answer.
  std::optional<core::TimePoint> direct_command_failed_at;
  core::TimePoint redirected_at{};  ///< the last redirect to the leader, or the last relay after one
  /// Set while heartbeats arrive, but nothing shows that the answers to them reach the agent. No task is
  /// placed on such a machine, since it would not start.
  std::optional<core::TimePoint> unreachable_since;
  core::TimePoint last_marked_unreachable{};  ///< time of the last call of `mark_unreachable`

  // --- Tasks and images.
  std::size_t unrecorded_tasks = 0;  ///< number of tasks that the agent holds and no record names
  core::TimePoint idle_since{};      ///< time of the newest heartbeat with tasks or assignments
  /// Images expected in the machine's cache with their size in GB, least recently used first.
  std::vector<std::pair<core::ImageId, double>> cached_images;

  // --- Failures.
  std::set<core::JobId> failed_jobs;  ///< jobs with failed tasks here since the last task that succeeded
  core::TimePoint cordoned_until{};   ///< other machines are preferred until then
  bool quarantined = false;           ///< gets no more tasks, and is deleted once it is empty

  // --- Scale in.
  bool terminating = false;     ///< the cloud is being asked to delete the machine
  bool deleted = false;         ///< it is proved gone, although a list may still show it
  bool silence_logged = false;  ///< the log tells that tasks are recorded on the machine while it is silent
  bool release_failed = false;  ///< the cloud did not confirm the last requested deletion; the log tells it
  core::TimePoint release_requested_at{};  ///< time of the last request for its deletion
  int refused_releases =
      0;  ///< requests that failed while the cloud was available, less later confirmed ones

  // --- Reservation: capacity is being freed here for this job.
  core::JobId reserved_for;
  core::TimePoint reservation_ready_at{};    ///< expected time at which the capacity is free
  core::TimePoint reservation_expires_at{};  ///< expiry of the reservation

  void set_identity(const MachineIdentity& identity) { static_cast<MachineIdentity&>(*this) = identity; }
  [[nodiscard]] bool is_unreachable() const { return unreachable_since.has_value(); }
  /// Records that a message of this controller may not have reached the agent's newest incarnation.
  void mark_unreachable(core::TimePoint now) {
    last_marked_unreachable = now;
    if (!unreachable_since) unreachable_since = now;
  }
  /// Records that a message of this controller has reached the agent.
  void mark_reachable() { unreachable_since.reset(); }

  /// Returns true if a message of the agent with these numbers is not newer than the newest one handled.
  [[nodiscard]] bool is_outdated(std::uint64_t incarnation, std::uint64_t message_sequence) const {
    return has_heartbeat &&
           std::pair(incarnation, message_sequence) <= std::pair(agent_incarnation, sequence);
  }
  /// Returns the fencing token of messages to the agent.
  [[nodiscard]] std::uint64_t command_token(FencingTokens tokens) const {
    return std::max(tokens.of_partition, raised_token);
  }
  /// Makes `command_token` higher than `superseded`, so that the agent refuses what was sent under
  /// `superseded` once it has received a message with it. Takes the lowest such token, which leaves the
  /// others for later. Returns false if none is available.
  bool raise_command_token(std::uint64_t superseded, FencingTokens tokens) {
    if (command_token(tokens) <= superseded && superseded < tokens.highest_available)
      raised_token = superseded + 1;
    return command_token(tokens) > superseded;
  }
  [[nodiscard]] bool has_image(core::ImageId image) const {
    return std::any_of(cached_images.begin(), cached_images.end(),
                       [&](const auto& held) { return held.first == image; });
  }
  /// Marks the image as most recently used and, as the agent does, evicts the least recently used ones while
  /// the total exceeds the cache size. The last image is never evicted.
  void use_image(core::ImageId image, double image_gb, std::optional<double> cache_gb);
};

}  // namespace finchrun::agent
