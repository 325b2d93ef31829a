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
    proto::WorldNews &encodedUpdate = *message->mutable_world();
    encodedUpdate.set_from(update.fromRevision);
    encodedUpdate.set_to(update.toRevision);
    encodedUpdate.set_full(update.isFullState);
    encodedUpdate.set_wants(update.isStateRequest);
    encodedUpdate.set_digest(update.digest);
    encodedUpdate.set_origin(update.origin.value);
    encodedUpdate.set_history(update.history);
    encodedUpdate.set_config_version(update.configVersion);
    encodedUpdate.set_evacuation_digest(update.evacuationDigest);
    encodedUpdate.set_grace_us(update.removalGrace.count());
    for (const StoreChange &change : update.changes) {
        proto::WorldItem &item = *encodedUpdate.add_items();
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
    const proto::WorldNews &encodedUpdate = message.world();
    StoreUpdateReceived received;
    received.sender = message.sender_address();
    received.update.fromRevision = encodedUpdate.from();
    received.update.toRevision = encodedUpdate.to();
    received.update.isFullState = encodedUpdate.full();
    received.update.isStateRequest = encodedUpdate.wants();
    received.update.digest = encodedUpdate.digest();
    received.update.origin = InstanceId(encodedUpdate.origin());
    received.update.history = encodedUpdate.history();
    received.update.configVersion = encodedUpdate.config_version();
    received.update.evacuationDigest = encodedUpdate.evacuation_digest();
    received.update.removalGrace = Duration(encodedUpdate.grace_us());
    for (const proto::WorldItem &item : encodedUpdate.items()) {
        received.update.changes.push_back(
                item.removed() ? wire::readRemoval(item.key(), item.revision())
                               : wire::readChange(item.key(), item.value(), item.revision()));
    }
    return received;
}

} // namespace lagoondeck
