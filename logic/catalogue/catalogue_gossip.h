#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"

#include <map>
#include <string>

namespace lagoondeck {

struct Context;
struct MembershipView;
class CatalogueIntake;

namespace proto {
class CatalogueGossip;
class PeerMessage;
} // namespace proto

/// Spreads the catalogue among the members: a new change goes at once to a few of them, and each
/// node compares its revision with one random member now and then, in both directions.
class CatalogueGossiper
{
public:
    CatalogueGossiper(Catalogue &catalogue, CatalogueIntake &intake, const MembershipView &view)
        : catalogue(catalogue), intake(intake), view(view)
    { }

    /// Compares with one random member.
    void compare(Context &context);
    /// Sends what came in force since the last call to a few random members.
    void spread(Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds the revision in force to a message that is sent anyway.
    void fillGossip(proto::PeerMessage &message) const;

private:
    void take(const proto::PeerMessage &message, Context &context);
    void ask(const std::string &address, Context &context);
    void serve(const proto::PeerMessage &message, Context &context);
    void fillHead(proto::CatalogueGossip &gossip) const;
    /// Adds the changes after a revision; false when the log does not reach back.
    bool fillChanges(Revision after, proto::CatalogueGossip &gossip) const;
    void fillState(proto::CatalogueGossip &gossip) const;

    Catalogue &catalogue;
    CatalogueIntake &intake;
    const MembershipView &view;
    Revision spreadUpTo;
    Instant lastAsked {};
};

} // namespace lagoondeck
