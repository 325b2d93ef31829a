#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"
#include "logic/catalogue/catalogue_gossip.h"
#include "logic/catalogue/catalogue_updater.h"
#include "logic/catalogue/catalogue_watcher.h"

namespace lagoondeck {

struct Context;
struct MembershipView;
struct StoreReplied;

/// Keeps this instance's catalogue synchronized with the store and with the other members. A few
/// members watch the store; the others receive changes by gossip.
class CatalogueSync
{
public:
    /// Both references must outlive this object. The view may change between calls.
    CatalogueSync(Catalogue &catalogue, const MembershipView &view);

    /// Sets the first timer.
    void start(Context &context);
    /// Called when the TimerKind::Catalogue timer fires.
    void onTimer(Context &context);
    /// Returns whether the reply belongs to an operation of this class.
    bool onStoreReply(const StoreReplied &reply, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds this instance's revision to an outgoing message of another component.
    void fillGossip(proto::PeerMessage &message) const;

    /// Whether this instance has received a catalogue from the store or from a member.
    bool isReady() const { return this->updater.isReady(); }
    /// The number of store operations started so far.
    std::uint64_t storeOperations() const { return this->watcher.operationsStarted(); }

private:
    bool shouldWatch(Instant now) const;
    void setTimer(Context &context) const;

    const MembershipView &view;
    CatalogueUpdater updater;
    CatalogueWatcher watcher;
    CatalogueGossiper gossiper;
    Instant started {};
};

} // namespace lagoondeck
