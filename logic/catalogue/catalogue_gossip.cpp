#include "logic/catalogue/catalogue_gossip.h"

#include "logic/catalogue/catalogue_records.h"
#include "logic/catalogue/catalogue_updater.h"
#include "logic/context.h"
#include "logic/membership/member.h"
#include "logic/membership/peer_message.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace lagoondeck {

namespace {

/// The number of members to which each instance that applies a new change sends it immediately.
constexpr std::size_t broadcastFanOut = 3;
/// At most one request is sent per interval, so that missing changes are not sent repeatedly.
constexpr Duration requestInterval = std::chrono::milliseconds(100);

std::vector<const Member *> pickMembers(const MembershipView &view, std::size_t count,
                                        RandomEngine &random)
{
    std::vector<const Member *> all;
    all.reserve(view.others.size());
    for (const Member &member : view.others) {
        all.push_back(&member);
    }
    std::vector<const Member *> picked;
    std::ranges::sample(all, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count),
                        random);
    return picked;
}

std::string sourceName(const proto::PeerMessage &message)
{
    return "peer " + message.sender();
}

} // namespace

void CatalogueGossiper::compareRevisions(Context &context)
{
    for (const Member *member : pickMembers(this->view, 1, context.random)) {
        auto message = newPeerMessage(this->view.self);
        this->fillHead(*message->mutable_catalogue());
        message->mutable_catalogue()->set_wants(!this->updater.isReady());
        context.emit(SendPeerMessage {member->peerAddress, std::move(message)});
    }
}

void CatalogueGossiper::broadcastChanges(Context &context)
{
    if (this->catalogue.revision() == this->broadcastUpTo) {
        return;
    }
    auto message = newPeerMessage(this->view.self);
    this->fillHead(*message->mutable_catalogue());
    this->fillChanges(this->broadcastUpTo, *message->mutable_catalogue());
    this->broadcastUpTo = this->catalogue.revision();
    for (const Member *member : pickMembers(this->view, broadcastFanOut, context.random)) {
        context.emit(SendPeerMessage {member->peerAddress, message});
    }
}

void CatalogueGossiper::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    if (!message.has_catalogue()) {
        return;
    }
    const proto::CatalogueGossip &gossip = message.catalogue();
    if (gossip.ready()) {
        this->applyOrRequest(message, context);
    }
    if (!this->updater.isReady()) {
        return;
    }
    const Revision senderRevision(gossip.revision());
    if (senderRevision < this->catalogue.revision() || !gossip.ready()) {
        this->sendMissing(message, context);
    }
}

/// Applies the changes or the state in the message, or requests what is still missing.
void CatalogueGossiper::applyOrRequest(const proto::PeerMessage &message, Context &context)
{
    const proto::CatalogueGossip &gossip = message.catalogue();
    const Revision senderRevision(gossip.revision());
    if (senderRevision < this->catalogue.revision() && this->updater.isReady()) {
        return;
    }
    const std::string source = sourceName(message);
    CatalogueUpdateResult result = CatalogueUpdateResult::Gap;
    if (gossip.is_full_state()) {
        CatalogueState state {senderRevision, gossip.head_change_id(), {}};
        for (const proto::EntryRecord &record : gossip.entries()) {
            if (auto entry = readRecord(record)) {
                state.entries.push_back(std::move(*entry));
            }
        }
        result = this->updater.applyState(state, source, context);
    } else if (gossip.changes_size() > 0) {
        std::vector<CatalogueChange> changes;
        for (const proto::ChangeRecord &record : gossip.changes()) {
            if (auto change = readRecord(record)) {
                changes.push_back(std::move(*change));
            }
        }
        result = this->updater.applyChanges(changes, gossip.base_change_id(), source, context);
    } else if (this->updater.isReady()) {
        result = this->updater.checkHead(senderRevision, gossip.head_change_id(), source, context);
    }
    if (result == CatalogueUpdateResult::Gap) {
        this->requestChanges(message.sender_address(), context);
    }
}

void CatalogueGossiper::requestChanges(const std::string &address, Context &context)
{
    if (context.now - this->lastRequestAt < requestInterval) {
        return;
    }
    this->lastRequestAt = context.now;
    auto message = newPeerMessage(this->view.self);
    this->fillHead(*message->mutable_catalogue());
    message->mutable_catalogue()->set_wants(true);
    context.emit(SendPeerMessage {address, std::move(message)});
}

/// Sends the changes that the sender is missing. The complete state is sent only on request,
/// because several members may notice at the same time that the sender is behind.
void CatalogueGossiper::sendMissing(const proto::PeerMessage &message, Context &context)
{
    auto reply = newPeerMessage(this->view.self);
    proto::CatalogueGossip &gossip = *reply->mutable_catalogue();
    this->fillHead(gossip);
    const bool senderIsReady = message.catalogue().ready();
    if (!(senderIsReady && this->fillChanges(Revision(message.catalogue().revision()), gossip))
        && message.catalogue().wants()) {
        this->fillState(gossip);
    }
    context.emit(SendPeerMessage {message.sender_address(), std::move(reply)});
}

void CatalogueGossiper::fillGossip(proto::PeerMessage &message) const
{
    this->fillHead(*message.mutable_catalogue());
}

void CatalogueGossiper::fillHead(proto::CatalogueGossip &gossip) const
{
    gossip.set_revision(this->catalogue.revision().value);
    gossip.set_head_change_id(this->catalogue.headChangeId());
    gossip.set_ready(this->updater.isReady());
}

bool CatalogueGossiper::fillChanges(Revision after, proto::CatalogueGossip &gossip) const
{
    const auto changes = this->catalogue.changesAfter(after);
    const auto base = this->catalogue.changeIdAt(after);
    if (!changes || !base) {
        return false;
    }
    gossip.set_base_change_id(*base);
    for (const CatalogueChange &change : *changes) {
        writeRecord(change, *gossip.add_changes());
    }
    return true;
}

void CatalogueGossiper::fillState(proto::CatalogueGossip &gossip) const
{
    gossip.set_is_full_state(true);
    for (const auto &[name, entry] : this->catalogue.entries()) {
        writeRecord(entry, *gossip.add_entries());
    }
}

} // namespace lagoondeck
