#pragma once

#include <memory>

namespace lagoondeck {

struct Member;

namespace proto {
class PeerMessage;
}

/// An empty message that names its sender.
std::shared_ptr<proto::PeerMessage> newPeerMessage(const Member &self);

} // namespace lagoondeck
