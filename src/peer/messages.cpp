#include "peer/messages.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace finchrun::peer {

// cereal finds these functions by argument-dependent lookup. The order of the fields is part of the frame
// format.
template <class Archive>
void serialize(Archive& archive, Ping& ping) {
  archive(ping.label, ping.revision);
}
template <class Archive>
void serialize(Archive& archive, CancellationNotice& notice) {
  archive(notice.job, notice.record, notice.revision);
}
template <class Archive>
void serialize(Archive& archive, Pong& pong) {
  archive(pong.state_age_s, pong.complete, pong.cancelled);
}
template <class Archive>
void serialize(Archive& archive, HeartbeatRelay& relay) {
  archive(relay.heartbeat);
}
template <class Archive>
void serialize(Archive& archive, StoreRequest& request) {
  archive(request.post, request.target, request.body);
}
template <class Archive>
void serialize(Archive& archive, Reply& reply) {
  archive(reply.status, reply.body);
}

std::string encode(const Message& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kProtocolVersion, message);
  return std::move(out).str();
}

boost::system::result<Message, DecodeError> decode(const std::string& frame) {
  try {
    std::istringstream in(frame);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t version = 0;
    archive(version);
    if (version != kProtocolVersion) return DecodeError::other_version;
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {  // thrown by cereal, or for an implausible length
    return DecodeError::malformed;
  }
}

}  // namespace finchrun::peer
