#pragma once

#include <memory>

namespace lagoondeck {

struct Member;

namespace proto {
class PeerMessage;
}

/// Returns a message with only the sender fields set.
std::shared_ptr<proto::PeerMessage> newPeerMessage(const Member &self);

} // namespace lagoondeck
