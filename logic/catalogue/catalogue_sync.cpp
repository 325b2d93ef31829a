#include "logic/catalogue/catalogue_sync.h"

#include "logic/catalogue/watcher_choice.h"
#include "logic/context.h"
#include "logic/events.h"
#include "logic/jitter.h"
#include "logic/membership/member.h"

namespace lagoondeck {

namespace {

constexpr Duration stepPeriod = std::chrono::milliseconds(250);
constexpr double stepJitter = 0.3;
/// A new instance first waits this long for its peers to send the catalogue before it reads the
/// store.
constexpr Duration peersOnlyDuration = std::chrono::seconds(1);

} // namespace

CatalogueSync::CatalogueSync(Catalogue &catalogue, const MembershipView &view)
    : view(view), updater(catalogue), watcher(catalogue, this->updater),
      gossiper(catalogue, this->updater, view)
{ }

void CatalogueSync::start(Context &context)
{
    this->started = context.now;
    this->setTimer(context);
}

void CatalogueSync::onTimer(Context &context)
{
    this->watcher.step(this->shouldWatch(context.now), context);
    this->gossiper.compareRevisions(context);
    this->setTimer(context);
}

bool CatalogueSync::onStoreReply(const StoreReplied &reply, Context &context)
{
    const bool handled = this->watcher.onStoreReply(reply, context);
    if (handled) {
        this->gossiper.broadcastChanges(context);
    }
    return handled;
}

void CatalogueSync::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    this->gossiper.onPeerMessage(message, context);
    this->gossiper.broadcastChanges(context);
}

void CatalogueSync::fillGossip(proto::PeerMessage &message) const
{
    this->gossiper.fillGossip(message);
}

bool CatalogueSync::shouldWatch(Instant now) const
{
    const bool mayRead = this->isReady() || now - this->started >= peersOnlyDuration;
    return mayRead && isWatcher(this->view);
}

void CatalogueSync::setTimer(Context &context) const
{
    context.emit(SetTimer {Timer {TimerKind::Catalogue},
                           context.now + jittered(stepPeriod, stepJitter, context.random)});
}

} // namespace lagoondeck
