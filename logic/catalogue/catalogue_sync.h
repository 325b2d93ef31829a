#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"
#include "logic/catalogue/catalogue_gossip.h"
#include "logic/catalogue/catalogue_intake.h"
#include "logic/catalogue/catalogue_watcher.h"

namespace lagoondeck {

struct Context;
struct MembershipView;
struct StoreReplied;

/// Keeps this node's catalogue in step with the store and with the other members. A few members
/// watch the store; the rest hear of changes from one another.
class CatalogueSync
{
public:
    /// Both references must outlive this object; the view changes under it.
    CatalogueSync(Catalogue &catalogue, const MembershipView &view);

    /// Sets the first timer.
    void start(Context &context);
    /// TimerKind::Catalogue.
    void onTimer(Context &context);
    /// Returns whether the operation was this part's own.
    bool onStoreReply(const StoreReplied &reply, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds the revision in force to a message that is sent anyway.
    void fillGossip(proto::PeerMessage &message) const;

    /// Whether this node has learned a catalogue from the store or from a member.
    bool ready() const { return this->intake.ready(); }
    /// Operations started on the store so far.
    std::uint64_t storeOperations() const { return this->watcher.operationsStarted(); }

private:
    bool shouldWatch(Instant now) const;
    void setTimer(Context &context) const;

    const MembershipView &view;
    CatalogueIntake intake;
    CatalogueWatcher watcher;
    CatalogueGossiper gossiper;
    Instant started {};
};

} // namespace lagoondeck
