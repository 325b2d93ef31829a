#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"

#include <map>
#include <string>

namespace lagoondeck {

struct Context;
struct MembershipView;
class CatalogueUpdater;

namespace proto {
class CatalogueGossip;
class PeerMessage;
} // namespace proto

/// Replicates the catalogue among the members. A new change is sent to a few random members at
/// once. In addition, each instance periodically compares its revision with that of one random
/// member, and whichever of the two is behind receives the missing changes.
class CatalogueGossiper
{
public:
    CatalogueGossiper(Catalogue &catalogue, CatalogueUpdater &updater, const MembershipView &view)
        : catalogue(catalogue), updater(updater), view(view)
    { }

    /// Sends this instance's revision to one random member.
    void compareRevisions(Context &context);
    /// Sends the changes applied since the last call to a few random members.
    void broadcastChanges(Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds this instance's revision to an outgoing message of another component.
    void fillGossip(proto::PeerMessage &message) const;

private:
    void applyOrRequest(const proto::PeerMessage &message, Context &context);
    void requestChanges(const std::string &address, Context &context);
    void sendMissing(const proto::PeerMessage &message, Context &context);
    void fillHead(proto::CatalogueGossip &gossip) const;
    /// Adds the changes after a revision. Returns false when the log does not reach back that far.
    bool fillChanges(Revision after, proto::CatalogueGossip &gossip) const;
    void fillState(proto::CatalogueGossip &gossip) const;

    Catalogue &catalogue;
    CatalogueUpdater &updater;
    const MembershipView &view;
    Revision broadcastUpTo;
    Instant lastRequestAt {};
};

} // namespace lagoondeck
