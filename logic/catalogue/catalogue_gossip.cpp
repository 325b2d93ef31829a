#include "logic/catalogue/catalogue_gossip.h"

#include "logic/catalogue/catalogue_intake.h"
#include "logic/catalogue/catalogue_records.h"
#include "logic/context.h"
#include "logic/membership/member.h"
#include "logic/membership/peer_message.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace lagoondeck {

namespace {

/// Members that a new change is sent to at once by each node that takes it.
constexpr std::size_t fanOut = 3;
/// At most one question in this time, so that one lack is not answered many times.
constexpr Duration askInterval = std::chrono::milliseconds(100);

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

void CatalogueGossiper::compare(Context &context)
{
    for (const Member *member : pickMembers(this->view, 1, context.random)) {
        auto message = newPeerMessage(this->view.self);
        this->fillHead(*message->mutable_catalogue());
        message->mutable_catalogue()->set_wants(!this->intake.ready());
        context.emit(SendPeerMessage {member->peerAddress, std::move(message)});
    }
}

void CatalogueGossiper::spread(Context &context)
{
    if (this->catalogue.revision() == this->spreadUpTo) {
        return;
    }
    auto message = newPeerMessage(this->view.self);
    this->fillHead(*message->mutable_catalogue());
    this->fillChanges(this->spreadUpTo, *message->mutable_catalogue());
    this->spreadUpTo = this->catalogue.revision();
    for (const Member *member : pickMembers(this->view, fanOut, context.random)) {
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
        this->take(message, context);
    }
    if (!this->intake.ready()) {
        return;
    }
    const Revision theirs(gossip.revision());
    if (theirs < this->catalogue.revision() || !gossip.ready()) {
        this->serve(message, context);
    }
}

/// Takes what the sender has and this node lacks, or asks for it.
void CatalogueGossiper::take(const proto::PeerMessage &message, Context &context)
{
    const proto::CatalogueGossip &gossip = message.catalogue();
    const Revision theirs(gossip.revision());
    if (theirs < this->catalogue.revision() && this->intake.ready()) {
        return;
    }
    const std::string source = sourceName(message);
    IntakeResult result = IntakeResult::Gap;
    if (gossip.is_full_state()) {
        CatalogueState state {theirs, gossip.head_change_id(), {}};
        for (const proto::EntryRecord &record : gossip.entries()) {
            if (auto entry = readRecord(record)) {
                state.entries.push_back(std::move(*entry));
            }
        }
        result = this->intake.takeState(state, source, context);
    } else if (gossip.changes_size() > 0) {
        std::vector<CatalogueChange> changes;
        for (const proto::ChangeRecord &record : gossip.changes()) {
            if (auto change = readRecord(record)) {
                changes.push_back(std::move(*change));
            }
        }
        result = this->intake.takeChanges(changes, gossip.base_change_id(), source, context);
    } else if (this->intake.ready()) {
        result = this->intake.checkHead(theirs, gossip.head_change_id(), source, context);
    }
    if (result == IntakeResult::Gap) {
        this->ask(message.sender_address(), context);
    }
}

void CatalogueGossiper::ask(const std::string &address, Context &context)
{
    if (context.now - this->lastAsked < askInterval) {
        return;
    }
    this->lastAsked = context.now;
    auto message = newPeerMessage(this->view.self);
    this->fillHead(*message->mutable_catalogue());
    message->mutable_catalogue()->set_wants(true);
    context.emit(SendPeerMessage {address, std::move(message)});
}

/// Sends the sender what it lacks. The whole state goes only to a member that asks, since several
/// may notice the same lack.
void CatalogueGossiper::serve(const proto::PeerMessage &message, Context &context)
{
    auto reply = newPeerMessage(this->view.self);
    proto::CatalogueGossip &gossip = *reply->mutable_catalogue();
    this->fillHead(gossip);
    const bool known = message.catalogue().ready();
    if (!(known && this->fillChanges(Revision(message.catalogue().revision()), gossip))
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
    gossip.set_ready(this->intake.ready());
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
