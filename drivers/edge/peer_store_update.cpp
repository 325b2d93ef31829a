#include "drivers/edge/peer_store_update.h"

#include "platform/store_value_codec.h"
#include "proto/peer.pb.h"

namespace lagoondeck {

std::shared_ptr<const proto::PeerMessage> writeStoreUpdate(const StoreUpdate &update,
                                                           const std::string &sender,
                                                           const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    proto::WorldNews &world = *message->mutable_world();
    world.set_from(update.fromRevision);
    world.set_to(update.toRevision);
    world.set_full(update.isFullState);
    world.set_wants(update.isStateRequest);
    world.set_digest(update.digest);
    world.set_origin(update.origin.value);
    world.set_grace_us(update.removalGrace.count());
    for (const StoreChange &change : update.changes) {
        proto::WorldItem &item = *world.add_items();
        item.set_key(change.key);
        item.set_revision(change.revision);
        item.set_removed(change.removed);
        if (!change.removed && change.encodedValue != nullptr) {
            item.set_value(*change.encodedValue);
        }
    }
    return message;
}

std::optional<StoreUpdateReceived> readStoreUpdate(const proto::PeerMessage &message)
{
    if (!message.has_world()) {
        return std::nullopt;
    }
    const proto::WorldNews &world = message.world();
    StoreUpdateReceived received;
    received.sender = message.sender_address();
    received.update.fromRevision = world.from();
    received.update.toRevision = world.to();
    received.update.isFullState = world.full();
    received.update.isStateRequest = world.wants();
    received.update.digest = world.digest();
    received.update.origin = InstanceId(world.origin());
    received.update.removalGrace = Duration(world.grace_us());
    for (const proto::WorldItem &item : world.items()) {
        received.update.changes.push_back(
                item.removed() ? wire::readRemoval(item.key(), item.revision())
                               : wire::readChange(item.key(), item.value(), item.revision()));
    }
    return received;
}

} // namespace lagoondeck
