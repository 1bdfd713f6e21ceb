// What controllers say to each other: cereal, versioned, one request and one answer a frame.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace finchrun::peer {

inline constexpr std::uint32_t kVersion = 2;
inline constexpr std::size_t kMaxFrame = 4 * 1024 * 1024;

// Asks how the other gets on with the key-value store, and for the cancellations that it knows.
struct Ping {
  std::string label;
  std::uint64_t revision = 0;  // everything until then the sender has read
  template <class A>
  void serialize(A& a) {
    a(label, revision);
  }
};
// A job that is recorded as cancelled: its record, and the revision of the change.
struct CancellationNotice {
  std::string job, record;
  std::uint64_t revision = 0;
  template <class A>
  void serialize(A& a) {
    a(job, record, revision);
  }
};
struct Pong {
  double state_age_s = 0;  // since its newest answered read of the store's changes was sent
  // With what the other has read, `cancelled` names every job that this process, or an earlier one of its
  // label, has told any user to be cancelled.
  bool complete = false;
  std::vector<CancellationNotice> cancelled;
  template <class A>
  void serialize(A& a) {
    a(state_age_s, complete, cancelled);
  }
};
// A agent's report that reached a controller which doesn't own its partition.
struct HeartbeatRelay {
  std::string heartbeat;
  template <class A>
  void serialize(A& a) {
    a(heartbeat);
  }
};
// A request to the key-value store by a controller that it refuses.
struct StoreRequest {
  bool post = false;
  std::string target, body;
  template <class A>
  void serialize(A& a) {
    a(post, target, body);
  }
};
struct Reply {
  std::int32_t status = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(status, body);
  }
};
using Message = std::variant<Ping, Pong, HeartbeatRelay, StoreRequest, Reply, CancellationNotice>;

inline std::string encode(const Message& m) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kVersion, m);
  return std::move(out).str();
}
// Nothing for another version's message or one that makes no sense.
inline std::optional<Message> decode(const std::string& frame) {
  try {
    std::istringstream in(frame);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t version = 0;
    archive(version);
    if (version != kVersion) return std::nullopt;
    Message m;
    archive(m);
    return m;
  } catch (const std::exception&) {  // cereal's own, or an absurd length
    return std::nullopt;
  }
}

}  // namespace finchrun::peer
