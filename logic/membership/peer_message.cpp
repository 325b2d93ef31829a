#include "logic/membership/peer_message.h"

#include "logic/membership/member.h"
#include "proto/peer.pb.h"

namespace lagoondeck {

std::shared_ptr<proto::PeerMessage> newPeerMessage(const Member &self)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(self.id.value);
    message->set_sender_address(self.peerAddress);
    message->set_sender_incarnation(self.incarnation);
    return message;
}

} // namespace lagoondeck
