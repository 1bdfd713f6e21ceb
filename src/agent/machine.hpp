// What this controller knows of one machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace finchrun::agent {

/// One machine: what the cloud's list, its agent's heartbeats and our own commands have shown of it. Nothing
/// here is durable; a new leader learns it anew from the list and the heartbeats.
struct Machine {
  // --- What it is: from the cloud's list, or from its own heartbeat if that comes first.
  core::MachineId id;
  std::string name;
  std::string endpoint;  ///< of its agent, for direct commands; empty: not known yet
  core::MachineTypeId type;
  core::ZoneId zone;
  core::PartitionId partition;  ///< not valid: outside the deployment's zones
  bool spot = false;
  core::TimePoint first_seen{};  ///< by this process

  // --- The cloud's list, which lags.
  bool listed = false;               ///< in the newest list
  bool ever_listed = false;          ///< in some list that this process has read
  std::string status;                ///< in the cloud's words: starting, running, failed
  core::TimePoint starting_since{};  ///< by the cloud's count

  // --- Heartbeats, newest only (docs/design.md "Why the rules hold", 4).
  bool has_heartbeat = false;           ///< the fields below hold something, and the machine is not deleted
  std::uint64_t agent_incarnation = 0;  ///< a new one starts when the agent's lease has run out
  std::uint64_t sequence = 0;           ///< of the heartbeat, within the incarnation
  std::uint64_t fencing_token = 0;      ///< highest that the agent had seen
  core::TimePoint last_heartbeat{};     ///< that its agent sent by itself, not in answer to a direct command
  std::optional<double> termination_notice_s;  ///< the cloud takes the spot instance back after this time
  /// Its last heartbeat to us was for another leader, which its agent seems not to reach: we relayed it
  /// there.
  bool relayed = false;

  // --- Whether what we send arrives there.
  /// When it was last asked directly: it does not know our fencing token, or may not get our answers.
  core::TimePoint last_probe{};
  /// A direct command got no answer, and none has since.
  std::optional<core::TimePoint> direct_command_failed_at;
  core::TimePoint redirected_at{};  ///< when we last sent its agent to the partition's leader
  /// Since when nothing shows that what we answer arrives there, though its heartbeats come. Such a machine
  /// gets nothing new: its tasks would wait on it in vain.
  std::optional<core::TimePoint> unreachable_since;
  core::TimePoint unreachable_in_incarnation{};  ///< the same, but since its newest incarnation began

  // --- What is on it.
  std::size_t unrecorded_tasks = 0;  ///< that its agent holds and no record names
  core::TimePoint idle_since{};      ///< the newest heartbeat with which something was on it
  /// Images that it should hold with their size in GB, least recently used first.
  std::vector<std::pair<core::ImageId, double>> images;

  // --- Faults.
  std::set<core::JobId> failed_jobs;  ///< whose tasks failed here since the last task that ended well
  core::TimePoint cordoned_until{};   ///< other machines are preferred until then
  bool quarantined = false;           ///< takes nothing more, and is returned once it is empty

  // --- Scale in.
  bool terminating = false;  ///< the cloud is being asked to delete it
  bool gone = false;         ///< its deletion was answered; the list may show it a little longer

  // --- Reservation: room is being made here for this job.
  core::JobId reserved_for;
  core::TimePoint reserved_ready{};  ///< when the room is expected to be there
  core::TimePoint reserved_until{};  ///< when the reservation lapses

  [[nodiscard]] bool unreachable() const { return unreachable_since.has_value(); }
  /// Something that we sent has not arrived, in its newest incarnation.
  void mark_unreachable(core::TimePoint now) {
    unreachable_in_incarnation = now;
    if (!unreachable_since) unreachable_since = now;
  }
  /// Something proves that what we send arrives there.
  void heard() { unreachable_since.reset(); }

  /// A message of the agent with these numbers is no newer than the newest one that was taken in.
  [[nodiscard]] bool is_outdated(std::uint64_t incarnation, std::uint64_t message_sequence) const {
    return has_heartbeat &&
           std::pair(incarnation, message_sequence) <= std::pair(agent_incarnation, sequence);
  }
  [[nodiscard]] bool holds(core::ImageId image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& held) { return held.first == image; });
  }
  /// The image is used now. The least recently used images go while all together are larger than the cache,
  /// as the agent does it; the last one stays.
  void use_image(core::ImageId image, double image_gb, std::optional<double> cache_gb);
};

}  // namespace finchrun::agent
