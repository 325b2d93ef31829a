#include "drivers/edge/peer_store_update.h"

#include "core/value_compression.h"
#include "platform/store_value_codec.h"
#include "proto/peer.pb.h"

namespace lagoondeck {

namespace {

/// Smaller values gain little. The values of targets and members are below this.
constexpr std::size_t minCompressedBytes = 2048;
/// The store takes values of up to one megabyte.
constexpr std::size_t maxValueBytes = 2 * 1024 * 1024;

void encodeValue(const StoreChange &change, bool mayCompress, proto::WorldItem &item)
{
    if (!mayCompress || change.encodedValue->size() < minCompressedBytes) {
        item.set_value(*change.encodedValue);
    } else {
        item.set_compressed_value(change.compressedValue != nullptr
                                          ? *change.compressedValue
                                          : compress(*change.encodedValue));
    }
}

StoreChange decodeItem(const proto::WorldItem &item)
{
    if (item.removed()) {
        return wire::readRemoval(item.key(), item.revision());
    }
    if (item.compressed_value().empty()) {
        return wire::readChange(item.key(), item.value(), item.revision());
    }
    // A value that can't be read is reported like one that someone else wrote.
    StoreChange change = wire::readChange(
            item.key(), decompress(item.compressed_value(), maxValueBytes).value_or(std::string()),
            item.revision());
    change.compressedValue = std::make_shared<const std::string>(item.compressed_value());
    return change;
}

} // namespace

std::shared_ptr<const proto::PeerMessage> writeStoreUpdate(const StoreUpdate &update,
                                                           bool mayCompress,
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
    encodedUpdate.mutable_bucket_digests()->Add(update.bucketDigests.begin(),
                                                update.bucketDigests.end());
    encodedUpdate.set_accepts_compression(update.isStateRequest);
    encodedUpdate.set_is_partial(update.isPartialState);
    encodedUpdate.mutable_buckets()->Add(update.buckets.begin(), update.buckets.end());
    for (const StoreChange &change : update.changes) {
        proto::WorldItem &item = *encodedUpdate.add_items();
        item.set_key(change.key);
        item.set_revision(change.revision);
        item.set_removed(change.removed);
        if (!change.removed && change.encodedValue != nullptr) {
            encodeValue(change, mayCompress, item);
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
    received.update.bucketDigests.assign(encodedUpdate.bucket_digests().begin(),
                                         encodedUpdate.bucket_digests().end());
    received.update.acceptsCompression = encodedUpdate.accepts_compression();
    received.update.isPartialState = encodedUpdate.is_partial();
    received.update.buckets.assign(encodedUpdate.buckets().begin(), encodedUpdate.buckets().end());
    for (const proto::WorldItem &item : encodedUpdate.items()) {
        received.update.changes.push_back(decodeItem(item));
    }
    return received;
}

} // namespace lagoondeck
