// Messages between controllers: one request and one answer, each in a frame.
//
// Two versions exchange frames during an upgrade, so frames must not change by a byte: the fields and their
// order, the order of the messages in `Message`, and the version. A new message is appended to `Message`,
// and sent only to members whose member record says that they support it.
#pragma once

#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace finchrun::peer {

/// The version at the start of every frame. A controller answers frames of another version with status 400.
inline constexpr std::uint32_t kProtocolVersion = 2;
/// Largest frame in bytes, without the size field. A connection that announces a larger one is closed.
inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;

/// Sent by every controller to every other one about once a second, answered with `Pong`. Asks how fresh the
/// other's view of the key-value store is, and which cancellations it knows.
struct Ping {
  std::string label;           ///< of the sender
  std::uint64_t revision = 0;  ///< up to which the sender has read all of the store's changes
};

/// A job that is recorded as cancelled. Sent to all others by the controller that is about to confirm the
/// cancellation to its user, and as part of `Pong`. On its own it is answered with `Reply` 200; correctness
/// does not depend on its arrival.
struct CancellationNotice {
  std::string job;             ///< name
  std::string record;          ///< JSON, as in the store
  std::uint64_t revision = 0;  ///< of the change
};

/// The answer to `Ping`. Rule `ran_cancelled` relies on `complete`: agent leases are renewed while all
/// controllers answer completely, even if the store does not answer.
struct Pong {
  double state_age_s = 0;  ///< since the sender's newest answered read of the store's changes was sent
  /// True if `cancelled`, together with what the receiver has read, names every job that the sender's
  /// process, or an earlier one of its label, has confirmed to any user as cancelled.
  bool complete = false;
  std::vector<CancellationNotice> cancelled;
};

/// An agent's heartbeat, relayed to the leader of the agent's partition by the controller that received it,
/// because the agent can't reach the leader. Answered with `Reply`: the leader's answer to the agent.
struct HeartbeatRelay {
  std::string heartbeat;  ///< its body, as the agent sent it
};

/// A request to the key-value store, relayed through a controller with a fresh view of it because the store
/// refuses or does not answer the sender. Answered with `Reply`: the store's response, status 0 if none
/// came.
struct StoreRequest {
  bool post = false;  ///< POST if true, else GET
  std::string target, body;
};

/// An HTTP response, the answer to every request but `Ping`. Status 400: not a request, or not understood.
struct Reply {
  std::int32_t status = 0;
  std::string body;
};

using Message = std::variant<Ping, Pong, HeartbeatRelay, StoreRequest, Reply, CancellationNotice>;

enum class DecodeError {
  other_version,  ///< a frame of another version; its message is not parsed
  malformed,      ///< truncated, an unknown message, or not a frame at all
};

std::string encode(const Message& message);
/// Never throws, whatever the frame contains.
boost::system::result<Message, DecodeError> decode(const std::string& frame);

/// Returns the message in the answer to a request; nullopt if no answer came, or one of another type.
template <class Expected>
std::optional<Expected> decode_answer(const std::optional<std::string>& frame) {
  if (!frame) return std::nullopt;
  auto message = decode(*frame);
  auto* expected = message ? std::get_if<Expected>(&*message) : nullptr;
  if (!expected) return std::nullopt;
  return std::move(*expected);
}

}  // namespace finchrun::peer
