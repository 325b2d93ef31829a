#include "logic/catalogue/catalogue_sync.h"

#include "logic/catalogue/watcher_choice.h"
#include "logic/context.h"
#include "logic/events.h"
#include "logic/jitter.h"
#include "logic/membership/member.h"

namespace lagoondeck {

namespace {

constexpr Duration stepPeriod = std::chrono::milliseconds(250);
constexpr double stepSpread = 0.3;
/// A new node asks its peers first and reads the store only after this time.
constexpr Duration peersFirst = std::chrono::seconds(1);

} // namespace

CatalogueSync::CatalogueSync(Catalogue &catalogue, const MembershipView &view)
    : view(view), intake(catalogue), watcher(catalogue, this->intake),
      gossiper(catalogue, this->intake, view)
{ }

void CatalogueSync::start(Context &context)
{
    this->started = context.now;
    this->setTimer(context);
}

void CatalogueSync::onTimer(Context &context)
{
    this->watcher.step(this->shouldWatch(context.now), context);
    this->gossiper.compare(context);
    this->setTimer(context);
}

bool CatalogueSync::onStoreReply(const StoreReplied &reply, Context &context)
{
    const bool own = this->watcher.onStoreReply(reply, context);
    if (own) {
        this->gossiper.spread(context);
    }
    return own;
}

void CatalogueSync::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    this->gossiper.onPeerMessage(message, context);
    this->gossiper.spread(context);
}

void CatalogueSync::fillGossip(proto::PeerMessage &message) const
{
    this->gossiper.fillGossip(message);
}

bool CatalogueSync::shouldWatch(Instant now) const
{
    const bool mayRead = this->ready() || now - this->started >= peersFirst;
    return mayRead && isWatcher(this->view);
}

void CatalogueSync::setTimer(Context &context) const
{
    context.emit(SetTimer {Timer {TimerKind::Catalogue},
                           context.now + jittered(stepPeriod, stepSpread, context.random)});
}

} // namespace lagoondeck
