// What controllers say to each other: one request and one answer a frame.
//
// Frames are part of the interface between two versions during an upgrade, so they stay as they are byte for
// byte: the fields and their order, the order of the messages in `Message`, and the version. A message that
// is added goes to the end, and only to members whose record says that they know it.
#pragma once

#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace finchrun::peer {

/// Every frame starts with it. A controller answers the frames of another version with status 400.
inline constexpr std::uint32_t kVersion = 2;
/// In bytes, without its length. A longer one is none of ours, and the connection is closed.
inline constexpr std::size_t kMaxFrame = 4 * 1024 * 1024;

/// Sent by every controller to every other one about once a second; answered with `Pong`. Asks how the other
/// gets on with the key-value store, and for the cancellations that it knows.
struct Ping {
  std::string label;           ///< of the sender
  std::uint64_t revision = 0;  ///< the sender has read all of the store's changes until then
};

/// A job that is recorded as cancelled. Sent to all others by the controller that is about to confirm the
/// cancellation to its user, and within `Pong`. By itself answered with `Reply` 200; nothing rests on its
/// arrival.
struct CancellationNotice {
  std::string job;             ///< name
  std::string record;          ///< JSON, as in the store
  std::uint64_t revision = 0;  ///< of the change
};

/// The answer to `Ping`. Rule `ran_cancelled` rests on `complete`: leases are renewed while all controllers
/// answer completely, also when the store does not.
struct Pong {
  double state_age_s = 0;  ///< since the sender's newest answered read of the store's changes was sent
  /// With what the other has read, `cancelled` names every job that this process, or an earlier one of its
  /// label, has confirmed to any user as cancelled.
  bool complete = false;
  std::vector<CancellationNotice> cancelled;
};

/// An agent's heartbeat, sent to the leader of the agent's partition by the controller that received it: the
/// agent can't reach its leader. Answered with `Reply`: what the leader answers the agent.
struct HeartbeatRelay {
  std::string heartbeat;  ///< its body, as the agent sent it
};

/// A request to the key-value store, sent by a controller that the store refuses or doesn't answer to one
/// with a fresh view of the store. Answered with `Reply`: the store's response, status 0 if none came.
struct StoreRequest {
  bool post = false;  ///< else a GET
  std::string target, body;
};

/// An HTTP response, in answer to everything but `Ping`. Status 400: not a request, or not understood.
struct Reply {
  std::int32_t status = 0;
  std::string body;
};

using Message = std::variant<Ping, Pong, HeartbeatRelay, StoreRequest, Reply, CancellationNotice>;

enum class DecodeError {
  other_version,  ///< another version's frame: its message is not looked at
  malformed,      ///< cut short, an unknown message, or not a frame at all
};

std::string encode(const Message& message);
/// Never throws, whatever the frame holds.
boost::system::result<Message, DecodeError> decode(const std::string& frame);

/// The message in the answer to a request; nothing if no answer came, or one of another type.
template <class Expected>
std::optional<Expected> decode_answer(const std::optional<std::string>& frame) {
  if (!frame) return std::nullopt;
  auto message = decode(*frame);
  auto* expected = message ? std::get_if<Expected>(&*message) : nullptr;
  if (!expected) return std::nullopt;
  return std::move(*expected);
}

}  // namespace finchrun::peer
